#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It needs Go and no network. The deploy file's build has to run before the cases.
set -eu
cd "$(dirname "$0")/_standin2"
mkdir -p bin
GOWORK=off go build -buildvcs=false -o bin/standin2 .
