#!/usr/bin/env bash
# Builds the stand-ins and cases of the review, from any folder and without a network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
