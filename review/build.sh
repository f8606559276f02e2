#!/usr/bin/env bash
# Builds the stand-ins and clients of all cases, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/case review/standin/main.rs
