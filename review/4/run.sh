#!/bin/sh
cd "$(dirname "$0")/../.." && exec java -cp target/review Case4 review/4
