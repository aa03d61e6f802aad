#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11, 12, 14 and 15 start, into
# target/review-3/. Their shared parts (harness.h, harness.cpp) stand in review/11.
# To be run after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
OUT=target/review-3
mkdir -p "$OUT"
FLAGS=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -Ireview/11)
g++ "${FLAGS[@]}" -c review/11/harness.cpp -o "$OUT/harness.o"
for N in 11 12 14 15; do
  g++ "${FLAGS[@]}" "review/$N/case.cpp" "$OUT/harness.o" -o "$OUT/case-$N"
done
