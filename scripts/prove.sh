#!/usr/bin/env bash
# Proves the promises in processes: starts a cell for each fault, offers load, strikes, heals and
# compares every verdict with the endpoints' journals. Exits 0 only if no promise was broken.
#
#   scripts/prove.sh [--fault NAME] [--seconds N] [--seed N] [--rate N] [--users NAME] [--json]
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked
exec target/release/chervilfall-dev prove "$@"
