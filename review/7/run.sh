#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
if [ ! -x target/release/loftdrift-node ] || [ ! -x target/review-2/standin ]; then
    echo "build first: deploy/system.toml's build, then review/build-2.sh" >&2
    exit 2
fi
target/review-2/standin priority "$folder/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
