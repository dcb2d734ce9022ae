#!/usr/bin/env bash
# Case 9. Exits with 1 if the rule was broken, 0 if it was kept, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stand ] && [ -x target/deploy/knapweed-edge ] || exit 2
exec target/review-2/stand reborn review/9
