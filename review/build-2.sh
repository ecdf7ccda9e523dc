#!/usr/bin/env bash
# Builds what the cases in review/4 and up need, after the build of the deploy file: their stand-ins, and
# the version that deploy/service.toml names as the one in production, from the repository's history.
# Needs no network. Everything lands under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
export CARGO_NET_OFFLINE=true
cargo build --release --locked --manifest-path review/bed/Cargo.toml --target-dir target/bed
production=$(sed -n 's/^production = "\(.*\)"$/\1/p' deploy/service.toml)
folder=target/production
rm -rf "$folder/crates" "$folder/deploy"
mkdir -p "$folder"
git archive "$production" Cargo.toml Cargo.lock crates deploy | tar x -C "$folder"
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' "$folder/deploy/service.toml")
(cd "$folder" && CARGO_TARGET_DIR=target bash -c "$build")
