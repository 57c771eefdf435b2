#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. The node's program comes from the
# build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standin-2/main.rs -o target/review-2/review-2
