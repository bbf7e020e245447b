#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start. Run it after the build of deploy/system.toml; it needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
out="$PWD/target/review-2"
mkdir -p "$out"
cd review/stage
GOFLAGS=-mod=mod GOPROXY=off go test -c -o "$out/stage" .
