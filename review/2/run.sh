#!/usr/bin/env bash
# Plays the case `twice` in separate processes. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0: without the disruption.
set -u
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
if [ ! -x "$root/target/release/loftdrift-node" ]; then
    echo "build first: cargo build --release --locked --bin loftdrift-node" >&2
    exit 2
fi
if [ ! -x "$root/target/review/standin" ]; then
    "$root/review/build.sh" || exit 2
fi
exec "$root/target/review/standin" twice "$root" "$folder"
