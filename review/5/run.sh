#!/usr/bin/env bash
# Plays case 5. Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case could not run. With
# TROUBLE=0 the operator sends no second version.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-standin-2 || { echo "run review/build-2.sh first"; exit 2; }
exec target/review-standin-2 weights review/5/record.txt
