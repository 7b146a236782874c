#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/review. Needs no network where the project itself was built.
set -euo pipefail
cd "$(dirname "$0")/.."
export CARGO_TARGET_DIR=target/review
manifest=review/harness/Cargo.toml
cargo build --release --locked --offline --manifest-path "$manifest" ||
    cargo build --release --locked --manifest-path "$manifest"
