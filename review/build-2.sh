#!/usr/bin/env bash
# Builds the programs of the cases 4 and later: the stand-ins of store, engines, clients and links, and the checks.
# It needs rustc alone, no crate and no network. The project's own program is built by the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[4-9]/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O -o "target/review-2/case-$number" "$case"
done
