#!/bin/bash
# Plays the case after the build of the deploy file and review/build-3.sh. Exits with 1 if the rule was broken, 0 if it held and
# 2 if the case could not run. TROUBLE=0 plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-3 ] && [ -x target/arbutusthread ] || exit 2
exec target/review-3 herd "$folder"
