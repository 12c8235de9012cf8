#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review, after the build of the deploy file. They use the standard
# library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/cases review/stand-ins-3/main.rs
