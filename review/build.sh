#!/bin/sh
# Builds the stand-ins and clients of the scripts. It needs no network; the build of the deploy file comes before it.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-driver ./review/_driver
