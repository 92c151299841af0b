#!/bin/bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exit code: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")" || exit 2
REVIEW_ROOT=$(cd ../.. && pwd) REVIEW_TEMP=$(mktemp -d) || exit 2
REVIEW_RECORD=$PWD/record.txt
export REVIEW_ROOT REVIEW_TEMP REVIEW_RECORD
trap 'rm -rf "$REVIEW_TEMP"' EXIT
"$REVIEW_ROOT/target/review/release/list_entry"
code=$?
[ $code -le 1 ] && exit $code
exit 2
