#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10, into target/. Run from anywhere, after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standins/standin.cc -o target/review/standin
for source in review/standins-2/*.cc; do
    g++ -std=c++20 -O1 -o "target/review-$(basename "$source" .cc)" "$source" -lpthread
done
