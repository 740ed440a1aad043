#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and later start. They need nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/harness-2/main.rs
