#!/usr/bin/env bash
# Names of the users' platform stand in `platform/` and `deploy/` only.
set -euo pipefail
cd "$(dirname "$0")/.."
names='kv-(key|range|watch|txn|lease|keep)|/-/|op/config|tls_key|expected_rev|heartbeat_addr|warmup_left_ms|traffic_split|path_prefix|target_latency_ms|LOFTDRIFT_CONFIG|Request-Id|packet_addr|BOUNCED|op/evacuate|allowed_regions|warmup_(s|per_s)'
if git grep -nE "$names" -- crates; then
    echo "names of the users' platform outside platform/" >&2
    exit 1
fi
