#!/usr/bin/env bash
# Builds the stand-ins of the cases 9 to 13. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/review3 review/standins-3/main.rs
