#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, with the toolchain alone: they need no library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -D warnings -o target/review/cases review/standin/main.rs
