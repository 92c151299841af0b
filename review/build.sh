#!/bin/bash
# Builds the stand-ins and clients of the scripts in this folder. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
