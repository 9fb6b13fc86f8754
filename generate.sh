#!/usr/bin/env bash
# Regenerates loompb and gen from their schemas with the generators that tools/go.mod pins.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && GOBIN="$bin" go install tool)
export PATH="$bin:$PATH"
protoc --go_out=. --go_opt=module=swiftloom --go-grpc_out=. --go-grpc_opt=module=swiftloom loompb/*.proto
goa gen swiftloom/loomdesign
rm -rf gen/http/cli gen/http/*/client/cli.go
gofmt -w gen loompb
