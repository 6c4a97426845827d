#!/usr/bin/env bash
# Fails if a name from the users' platform API occurs in `crates/`. Such names belong only in
# `platform/` and `deploy/`.
set -euo pipefail
cd "$(dirname "$0")/.."
names='kv-(key|range|watch|txn|lease|keep)|/-/|op/config|tls_key|expected_rev|heartbeat_addr|warmup_left_ms|traffic_split|path_prefix|target_latency_ms|LOFTDRIFT_CONFIG|Request-Id|packet_addr|BOUNCED|op/evacuate|allowed_regions|warmup_(s|per_s)'
if git grep -nE "$names" -- crates; then
    echo "crates/ must not contain names from the users' platform API" >&2
    exit 1
fi
