#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
