#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/release/review-case restarts review/5/record.txt
