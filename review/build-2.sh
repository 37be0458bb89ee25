#!/usr/bin/env bash
# Builds the program that the scripts of review/6 to review/10 start: stand-ins for the store, the
# executors and the clients, without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review-2 review/standin-2/main.rs
