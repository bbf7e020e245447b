#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out,
# CUT=whole lets the servers crash after the head of the answer.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/cases ] && [ -x target/pollencourse ] || exit 2
REVIEW_CASE=headcut exec target/review/cases review/3 target/pollencourse
