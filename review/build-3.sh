#!/bin/sh
# Builds the stand-ins of the third review's cases; the gateway is that of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O --crate-name review_3 \
    -o target/review-3/review-3 review/standins-3/main.rs
