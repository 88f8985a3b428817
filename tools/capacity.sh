#!/usr/bin/env bash
# Redoes the figures of docs/CAPACITY.md into docs/capacity: control cost a node by fleet size,
# bytes of a call and a record, cost of a decision, and the plot. Takes several minutes.
set -euo pipefail
build="${1:-build}"
out="docs/capacity"
sizes="${SIZES:-8 50 100 200 400}"
seconds="${SECONDS_MEASURED:-5}"
mkdir -p "$out"
for nodes in $sizes; do
  "$build/bin/gorsetrail-lab" fleet --nodes "$nodes" --seconds "$seconds" --format json >"$out/fleet-$nodes.json"
  echo "fleet of $nodes nodes: $out/fleet-$nodes.json"
done
for program in program_bench wire_bench scheduling_bench; do
  if [ -x "$build/bin/$program" ]; then "$build/bin/$program" >"$out/$program.txt"; fi
done
value() { grep -A2 "\"$2\"" "$1" | grep '"mean"' | grep -oE '[0-9.]+' | head -1; }
: >"$out/fleet.dat"
for file in $(ls "$out"/fleet-*.json | sort -t- -k2 -n); do
  nodes="$(basename "$file" .json)"
  echo "${nodes#fleet-} $(value "$file" control_cpu_percent) $(value "$file" control_kb_per_s) $(value "$file" control_memory_mb)" >>"$out/fleet.dat"
done
gnuplot -e "out='$out'" docs/capacity/fleet.gnuplot
