#!/bin/sh
# Runs the case once; TROUBLE=0 runs it without the trouble. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/review-2 ] && [ -x target/release/foxtailhold-node ] || exit 2
RECORD="review/10" exec target/review-2/review-2 settings
