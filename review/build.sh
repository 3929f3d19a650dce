#!/bin/sh
# Builds the stand-ins of the cases into target/. It needs the Go toolchain only.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS= GOPROXY=off go build -buildvcs=false -o ../../target/review-standin .
