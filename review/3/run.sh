#!/usr/bin/env bash
# Exit 1 when the rule was broken, 0 when it held, 2 when the case could not
# run. TROUBLE=0 leaves out the loss of the disk.
cd "$(dirname "$0")/../.."
[ -x target/fireflydriftd ] && [ -x target/review/case3 ] || exit 2
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
target/review/case3 "$WORK" "$PWD/review/3/record.txt"
RESULT=$?
[ -n "${KEEP:-}" ] && cp -r "$WORK" "$KEEP"
exit $RESULT
