#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked \
    --manifest-path review/standins-2/Cargo.toml
