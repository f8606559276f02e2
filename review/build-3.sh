#!/bin/sh
# Builds the stand-ins of the third review, offline and without dependencies.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
    --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
