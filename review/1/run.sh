#!/bin/sh
cd "$(dirname "$0")/../.." && exec java -cp target/review Case1 review/1
