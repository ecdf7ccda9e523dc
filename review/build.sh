#!/usr/bin/env bash
# Builds the stand-ins (state service, cloud, workers, users, network). They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/world"
cargo build --release --offline --quiet
