#!/bin/sh
# Builds the stand-ins of the second review's cases (6 to 10) into bin/review-2. It needs no network: standard library only.
set -e
cd "$(dirname "$0")"
mkdir -p ../bin
CGO_ENABLED=0 go build -buildvcs=false -o ../bin/review-2 ./second
