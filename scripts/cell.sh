#!/usr/bin/env bash
# Builds, starts a cell of separate processes on loopback, offers a mixed load, and prints what
# it did. Exits 0 only if nothing was lost or doubled, as counted by the endpoints.
#
#   scripts/cell.sh [--seconds N] [--seed N] [--users consortium|association] [--rate N] [--keep]
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked
exec target/release/chervilfall-dev cell "$@"
