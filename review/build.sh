#!/bin/bash
# Builds the stand-ins of all cases into review/bin. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOPROXY=off GOWORK=off GOTOOLCHAIN=local go build -o bin/standin ./_standin
