#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2/. Their shared
# parts (rig.h, rig.cpp, setup.h) stand in review/6.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -c review/6/rig.cpp -o target/review-2/rig.o
for N in 6 7 8 9 10; do
  g++ -std=c++20 -O1 -I review/6 "review/$N/case.cpp" target/review-2/rig.o \
    -o "target/review-2/case-$N" -pthread
done
