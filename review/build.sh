#!/usr/bin/env bash
# Builds the stand-ins of all cases that have a script. Needs rustc only: no network and no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.rs; do
    number="$(basename "$(dirname "$case")")"
    rustc --edition 2024 -O -o "target/review/case-$number" "$case"
done
