#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases (6 and up) into build/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/standins-2/*.cpp; do
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/$(basename "$source" .cpp)" "$source"
done
