#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. With
# TROUBLE=0 the same is played without the disruption.
set -u
case_folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$case_folder/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
folder="$(mktemp -d)" || exit 2
trap 'kill "$driver" 2>/dev/null; wait "$driver" 2>/dev/null; rm -rf "$folder"' EXIT
trap 'exit 2' INT TERM
target/review/release/review-standin late-row "$folder" "$case_folder/record.txt" &
driver=$!
wait "$driver"
