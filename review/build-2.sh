#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/4 to review/6, without a network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
