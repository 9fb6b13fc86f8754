#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file. It needs no network:
# they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../../target/review-2/standin2 .
