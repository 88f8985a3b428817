#!/usr/bin/env bash
# Builds what the scripts of the cases 4 to 6 start beside the nodes, into review/bin-2. The nodes
# are built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin-2
shared=(standin-2/wire.cpp standin-2/store.cpp standin-2/record.cpp standin-2/replica.cpp
  standin-2/nodes.cpp standin-2/caller.cpp standin-2/deployment.cpp)
for case in lost_turn foreign_answer resumed_turn equal_turns; do
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread "standin-2/$case.cpp" "${shared[@]}" -o "bin-2/$case"
done
