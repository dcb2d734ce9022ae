#!/usr/bin/env bash
# Builds the stand-ins of the review cases into target/review/. Needs rustc only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings -o target/review/stand review/stand/stand.rs
