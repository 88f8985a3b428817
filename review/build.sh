#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-9]/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "bin/$(basename "$source" .cpp)" "$source" standin/world.cpp
done
