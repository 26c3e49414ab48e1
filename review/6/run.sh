#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/redwingsill-platform ] && [ -x target/review-second ] || exit 2
exec target/review-second broken-promise review/6
