#!/bin/bash
# Builds the stand-ins of review/6 to review/10, without a network.
set -eu
cd "$(dirname "$0")/.."
cargo build --locked --offline --release --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-standins-2
