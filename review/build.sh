#!/usr/bin/env bash
# Builds the stand-ins and drivers of the review's scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/harness review/harness/main.rs
