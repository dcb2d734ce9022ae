#!/usr/bin/env bash
# Case 5 (forgotten). Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/deploy/knapweed-edge ] && [ -x target/review/stand ] || exit 2
exec timeout -k 2 118 target/review/stand case forgotten "$folder"
