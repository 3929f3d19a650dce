#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/review-2/. The
# build of the deploy file comes before it. It needs no network.
set -eu
cd "$(dirname "$0")/play2"
go build -o ../../target/review-2/ .
