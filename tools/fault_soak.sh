#!/usr/bin/env bash
# Fault soak: real edge nodes as separate processes between a stand-in store, replicas and clients,
# with faults from outside (proxies, signals).
# Usage: fault_soak.sh [--nodes N] [--subnet N] [--replaces OTHER] [BUILD] [SECONDS] [SEED...]
# With --replaces each node's first process is the server of the build folder OTHER, an earlier or
# later commit's; whatever ends under the faults is replaced by that of BUILD.
# Without seeds: the kept ones of lab/faultsoak/seeds.txt, then a fresh one. Exit code 0 only if no
# promise was broken. Logs of each seed stand in run/fault-soak/SEED.
# Nodes listen on 127.0.SUBNET.1 and up: soaks side by side need a subnet each.
set -uo pipefail
nodes=5
subnet=1
first_bin=""
while :; do
  case "${1:-}" in
    --nodes) nodes="${2:?how many}" ;;
    --subnet) subnet="${2:?which}" ;;
    --replaces) first_bin="${2:?which build}/bin" ;;
    *) break ;;
  esac
  shift 2
done
build="${1:-build}"
length_s="${2:-30}"
shift $(($# < 2 ? $# : 2))
bin="$build/bin"
seeds=("$@")
if [ "${#seeds[@]}" -eq 0 ]; then
  mapfile -t seeds < <(grep -oE '^[0-9]+' lab/faultsoak/seeds.txt)
  seeds+=("$(date +%s)")
fi

# As long as a list of thirty seeds takes.
wait_s=1800
# Two soaks with one subnet on one machine would share addresses, and see each other's requests;
# they may be started from different trees.
exec 9>"${TMPDIR:-/tmp}/gorsetrail-fault-soak-$subnet.lock"
if ! flock -n 9; then
  echo "fault soak: waiting for another one, which has subnet $subnet on this machine" >&2
  flock -w "$wait_s" 9 || exit 2
fi

# What a node takes, with room to spare, and how many processes a machine is asked to bear.
megabytes_of_node=64
most_nodes=200
megabytes="$(awk '/^MemTotal:/ {print int($2 / 1024)}' /proc/meminfo)"
if [ "$nodes" -gt "$most_nodes" ] || [ "$((nodes * megabytes_of_node))" -gt "$((megabytes / 2))" ]; then
  echo "fault soak: $nodes nodes are too many: $most_nodes at the most, and half of the memory" >&2
  exit 2
fi

# supervise RUN NODE: starts the node again whenever it ends, until the soak has ended.
supervise() {
  local run="$1" node="$2" process server="${first_bin:-$bin}/gorsetrail-edge"
  while [ ! -e "$run/ended" ]; do
    "$server" --settings "$run/node-$node.toml" >>"$run/node-$node.log" 2>&1 9>&- &
    process=$!
    echo "$process" >"$run/node-$node.pid"
    while kill -0 "$process" 2>/dev/null && [ ! -e "$run/ended" ]; do sleep 0.1; done
    rm -f "$run/node-$node.pid"
    if [ -e "$run/ended" ]; then kill -CONT "$process" 2>/dev/null; kill -KILL "$process" 2>/dev/null; fi
    wait "$process" 2>/dev/null
    server="$bin/gorsetrail-edge"
    sleep 0.3
  done
}

soak() {
  local seed="$1" run="run/fault-soak/$1" lab status
  rm -rf "$run"
  mkdir -p "$run"
  "$bin/gorsetrail-lab" fault-soak "$run" "$length_s" "$nodes" "$subnet" --seed "$seed" >"$run/report.json" 2>"$run/lab.log" &
  lab=$!
  while [ ! -e "$run/ready" ] && kill -0 "$lab" 2>/dev/null; do sleep 0.1; done
  local supervisors=()
  for ((node = 0; node < nodes; node++)); do
    supervise "$run" "$node" &
    supervisors+=($!)
  done
  wait "$lab"
  status=$?
  touch "$run/ended"
  wait "${supervisors[@]}"
  cat "$run/report.json"
  return "$status"
}

# shellcheck source=tools/known_red.sh
source "$(dirname "$0")/known_red.sh"
known_red_read "$(dirname "$0")/../KNOWN-RED.txt"
failed=()
for seed in "${seeds[@]}"; do
  soak "$seed" || known_red_soak "$seed" "run/fault-soak/$seed/report.json" || failed+=("$seed")
done
echo "fault soak: ${#seeds[@]} seeds, ${#failed[@]} failed: ${failed[*]:-none}"
[ "${#failed[@]}" -eq 0 ]
