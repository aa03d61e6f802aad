#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into
# target/review-3/. To be run after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=target/review-3
mkdir -p "$OUT"
FLAGS=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -Ireview/harness-3)
g++ "${FLAGS[@]}" -c review/harness-3/harness.cpp -o "$OUT/harness.o"
for N in 11 12 13 14 15; do
  [ -f "review/$N/case.cpp" ] || continue
  g++ "${FLAGS[@]}" "review/$N/case.cpp" "$OUT/harness.o" -o "$OUT/case-$N"
done
