#!/usr/bin/env bash
# Builds the rig of the cases: the clients and the stand-ins for the platform's store and for
# runners. It needs Go and no network. The cases also need target/swiftloom, which the deploy
# file builds.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
cd rig
GOFLAGS="${GOFLAGS:-} -buildvcs=false" GOWORK=off go build -o ../../target/review-rig .
