#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 after the build of deploy/system.toml; it needs no network. They are one test
# binary, since no other file of the repository but those of platform/ may hold the platform's names.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review-3
GOFLAGS=-mod=mod GOPROXY=off go test -c -o ../target/review-3/standin3 ./standin3
