#!/usr/bin/env bash
# All tests: builds the programs first, because some tests start them as processes. Tests that KNOWN-RED.txt lists
# (one line each: test | cause | issue | command) are printed and passed over, no others.
set -euo pipefail
cd "$(dirname "$0")/.."
known_red=()
if [[ -f KNOWN-RED.txt ]]; then
    while IFS='|' read -r test _; do
        test="${test// /}"
        [[ -n $test ]] && known_red+=(--skip "$test")
    done < KNOWN-RED.txt
    echo "known to fail, passed over:"
    cat KNOWN-RED.txt
fi
cargo build --workspace --locked
cargo run --quiet --locked --package chervilfall_dev -- generate --check
cargo test --workspace --locked -- --exact "${known_red[@]}"
