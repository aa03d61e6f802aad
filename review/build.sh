#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for SOURCE in review/[1-5]/scenario.cpp; do
  NUMBER=$(basename "$(dirname "$SOURCE")")
  g++ -std=c++20 -O1 -pthread -o "target/review/case$NUMBER" "$SOURCE"
done
