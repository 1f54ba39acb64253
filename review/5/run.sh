#!/usr/bin/env bash
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/case-5
if [ ! -x "$program" ] || [ ! -x target/flamingod-platform ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
exec "$program" review/5/record.txt
