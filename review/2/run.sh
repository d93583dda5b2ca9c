#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rosereach ] && [ -x target/review-standin ] || { echo "build first: the deploy file's build line, then review/build.sh"; exit 2; }
exec target/review-standin unreadable review/2/record.txt
