#!/bin/sh
# Builds the stand-ins of the scripts. The nodes come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
