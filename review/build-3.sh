#!/bin/bash
# Builds the stand-ins of the second review. It needs no network: they use only the standard library.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
