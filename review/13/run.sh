#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/release/review-3 ] || exit 2
CASE_FOLDER=review/13 exec target/review-3/release/review-3 undead
