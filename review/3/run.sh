#!/bin/sh
cd "$(dirname "$0")/../.." && exec java -cp target/review Case3 review/3
