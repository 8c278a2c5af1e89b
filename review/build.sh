#!/bin/sh
# Compiles the stand-ins and cases of the review into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/harness/*.java
