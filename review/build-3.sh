#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15; it runs after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target/review-3
go build -o ../target/review-3/ ./standin3
