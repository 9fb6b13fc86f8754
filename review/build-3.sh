#!/usr/bin/env bash
# Builds the stand-ins of the third review, the cases 11 to 15, after the build of the deploy file. It needs
# no network: they use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target/review-3
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../../target/review-3/standin-3 .
