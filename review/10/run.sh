#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/fireflydriftd ] && [ -x target/review-2/case-10 ] || exit 2
WORK=$(mktemp -d) || exit 2
trap 'rm -rf "$WORK"' EXIT
export WORK RECORD="review/10/record.txt"
timeout 118 target/review-2/case-10
RESULT=$?
[ $RESULT -le 1 ] || RESULT=2
exit $RESULT
