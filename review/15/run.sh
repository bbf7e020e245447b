#!/usr/bin/env bash
# All processes are killed twice while a part of a prompt crashes servers.
set -euo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/pollencourse ] || [ ! -x target/review-3/standin3 ]; then
  echo "build first: the build of deploy/system.toml, then review/build-3.sh" >&2
  exit 2
fi
exec target/review-3/standin3 poison review/15/record.txt
