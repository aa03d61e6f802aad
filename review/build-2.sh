#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -c review/stand-ins-2/rig.cpp -o target/review-2/rig.o
for N in 6 7 8 9 10; do
  [ -f "review/$N/case.cpp" ] || continue
  g++ -std=c++20 -O1 -I review/stand-ins-2 "review/$N/case.cpp" target/review-2/rig.o \
    -o "target/review-2/case-$N" -pthread
done
