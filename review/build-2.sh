#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file. It needs no network.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2
exec rustc --edition 2021 -O -o target/review-2/rig review/standin-2/main.rs
