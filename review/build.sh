#!/usr/bin/env bash
# Builds the stand-in that the scripts of the review start. It needs the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
