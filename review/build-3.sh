#!/bin/bash
# Builds the stand-ins of review/11 and review/12, without a network. They are those of the second review; the other cases
# are days for the bench and start none.
set -eu
cd "$(dirname "$0")/.."
cargo build --locked --offline --release --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-standins-2
