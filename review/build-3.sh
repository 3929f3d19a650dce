#!/bin/sh
# Builds the stand-ins that the scripts of the cases 11 to 13 start, into target/review-3/.
# The build of the deploy file comes before it. It needs no network.
set -eu
cd "$(dirname "$0")/play3"
GOFLAGS= GOPROXY=off go build -buildvcs=false -o ../../target/review-3/review-3 .
