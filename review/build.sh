#!/usr/bin/env bash
# Checks the stand-ins of the scripts, which are written in Python and need nothing but its standard library (3.11 or
# later). The project's own programs are built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in review/lib/*.py review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
if [ ! -x target/release/hemlockford ]; then
    cargo build --release --locked
fi
