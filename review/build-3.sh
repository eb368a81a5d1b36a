#!/usr/bin/env bash
# Builds the stand-ins of the third review. They need only the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standin-3 review/standin-3.rs
