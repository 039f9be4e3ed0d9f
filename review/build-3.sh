#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into target/review-3/; needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for name in store server caller put raw; do
    g++ -std=c++20 -O1 -pthread -o "target/review-3/$name" "review/standins-3/$name.cc"
done
