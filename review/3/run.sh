#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of deploy/system.toml and review/build.sh.
set -euo pipefail
cd "$(dirname "$0")/../.."
standins=target/review/release/review-standins
if [[ ! -x target/release/chervilfall-node || ! -x $standins ]]; then
    echo "build the node and the stand-ins first"
    exit 2
fi
exec "$standins" unlisted-ends review/3
