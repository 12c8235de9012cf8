#!/usr/bin/env bash
# Builds the stand-ins and drivers that the scripts of review/6 and on start. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/drill review/stand-ins-2/main.rs
