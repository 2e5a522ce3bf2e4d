#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Needs target/release/azuregate and review/build.sh.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
[ -x target/review-standins ] && [ -x target/release/azuregate ] || exit 2
exec target/review-standins refused "$here/record.txt"
