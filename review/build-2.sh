#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. The deploy file builds the router.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
