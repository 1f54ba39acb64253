#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/flamingod-platform ] && [ -x target/review-2/case-10 ] || exit 2
exec timeout --kill-after=5 115 target/review-2/case-10
