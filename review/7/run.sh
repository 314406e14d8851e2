#!/usr/bin/env bash
# Plays the case on loopback addresses, after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken,
# with 0 if it held and with 2 if the case could not run. With TROUBLE=0 there is no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/auburntray ] && [ -x target/review-2/rig ] || { echo "build first" >&2; exit 2; }
exec target/review-2/rig versions "review/7/record.txt"
