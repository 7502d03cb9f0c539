#!/usr/bin/env bash
# Builds the stand-ins that the cases start, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
${CXX:-g++} -std=c++20 -O2 -Wall -Wextra -pthread -o bin/standins standins/standins.cpp
