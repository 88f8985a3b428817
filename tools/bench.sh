#!/usr/bin/env bash
# What the node adds to a streamed call: starts engines and one zone of three nodes on stand-ins,
# asks the engines directly and through a node in turn, and prints both. Not a test: figures only.
set -uo pipefail
build="${1:-build}"
bin="$build/bin"
run="run/bench"
settings="$run/settings.json"
. tools/children.sh
. tools/site.sh
trap end_all EXIT

rm -rf "$run"
prepare_site bench/relay/site "$run" || exit 1
start "$run/standins.log" "$bin/gorsetrail-lab" standin --config bench/relay/site/standins.json
for node in 1 2 3; do
  start "$run/node-$node.log" "$bin/gorsetraild" --settings "$settings" --node "$node" --incarnation 1 \
    --listen_callers "127.0.0.1:1710$node" --listen_peers "127.0.0.1:1720$node"
done
node_one="${children[1]}"
sleep 1
sign_and_publish "$run" 127.0.0.1:17001 >/dev/null || exit 1
"$bin/gorsetrail" bundle status --nodes 127.0.0.1:17101,127.0.0.1:17102,127.0.0.1:17103 --wait_version 1 >/dev/null || exit 1
engines="$(for engine in 1 2 3 4 5 6 7 8; do printf '%s127.0.0.1:1730%s' "$([ "$engine" -gt 1 ] && echo ,)" "$engine"; done)"
"$bin/relay_bench" --engines "$engines" --node 127.0.0.1:17101 --node_pid "$node_one" \
  --streams "${STREAMS:-1,64,512}" --tokens "${TOKENS:-100}" --rounds "${ROUNDS:-3}"
for program in wire_bench scheduling_bench; do
  [ -x "$bin/$program" ] && "$bin/$program"
done
exit 0
