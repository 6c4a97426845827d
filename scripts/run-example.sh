#!/usr/bin/env bash
# Starts the complete example system in separate processes from the settings files in examples/,
# fetches a response body with curl if it is installed, runs callers, and stops all its processes.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --bins
export RUST_LOG="${RUST_LOG:-warn}"
binaries=target/release
started=()
stop_all() { for process in "${started[@]}"; do kill "$process" 2>/dev/null || true; done; wait; }
trap stop_all EXIT

start() { "$@" >/dev/null & started+=("$!"); }
start $binaries/loftdrift-standin platform --config examples/platform.toml
start $binaries/loftdrift-standin fabric --config examples/fabric.toml
for name in tiles-1 tiles-2 dispatch-1 dispatch-2; do
    start $binaries/loftdrift-standin backend --config "examples/backend-$name.toml"
    start $binaries/loftdrift agent --config "examples/agent-$name.toml"
done
start $binaries/loftdrift balancer --config examples/balancer-1.toml
start $binaries/loftdrift balancer --config examples/balancer-2.toml

ctl() { $binaries/loftdrift ctl --platform 127.0.0.1:23790 "$@"; }
ctl --file examples/services.commands
ctl show backends
sleep 1
if command -v curl >/dev/null; then
    curl -sS --max-time 30 "http://127.0.0.1:28001/bytes/1000000?seed=1" | sha256sum
fi
$binaries/loftdrift-standin callers --config examples/callers-tiles.toml
echo "balancers and agents serve metrics, for example at http://127.0.0.1:29101/metrics"
