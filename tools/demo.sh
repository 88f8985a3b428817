#!/usr/bin/env bash
# Runs both sites of deploy/ at their sizes on stand-ins: publishes a signed bundle, runs programs
# against every node while an engine leaves and a node stops as planned, checks every promise from
# outside, stops cleanly. Exit code 0 only if nothing was violated.
set -uo pipefail
build="${1:-build}"
bin="$build/bin"
run="run/demo"
sites="paino-lumo brazos-bend"
planned_stop_after_s=8
. tools/children.sh
. tools/site.sh
trap end_all EXIT

fail() {
  echo "demo: $1; logs stand in $run" >&2
  exit 1
}

# member_value SITE NODE KEY: a key of a member's entry in the site's settings.
member_value() {
  awk -v want="$2" -v key="\"$3\":" '
    $1 == "\"node\":" { gsub(",", "", $2); current = $2 }
    /"members"/ { inside = 1 }
    inside && current == want && $1 == key { gsub(/[",]/, "", $2); print $2; exit }' "deploy/$1/settings.json"
}
caller_addresses() {
  local list="" node
  for node in $(seq 1 "$(members_of "$1")"); do list+="${list:+,}$(member_value "$1" "$node" callers)"; done
  echo "$list"
}
members_of() { awk '/"members"/ { inside = 1 } inside && /"node":/ { count++ } END { print count }' "deploy/$1/settings.json"; }

start_node() {
  local site="$1" node="$2" incarnation="$3"
  start "$run/$site/node-$node.log" "$bin/gorsetraild" --settings "$run/$site/settings.json" \
    --node "$node" --zone "$(member_value "$site" "$node" zone)" --incarnation "$incarnation" \
    --listen_callers "$(member_value "$site" "$node" callers)" \
    --listen_peers "$(member_value "$site" "$node" peers)"
}

start_site() {
  local site="$1" node
  start "$run/$site/standins.log" "$bin/gorsetrail-lab" standin --config "deploy/$site/standins.json"
  for node in $(seq 1 "$(members_of "$site")"); do
    start_node "$site" "$node" 1
    [ "$node" -eq 2 ] && stop_later+=("${children[-1]}")
  done
}

publish_bundle() {
  local site="$1" log
  log="$(awk '/"log":/ { gsub(/[",]/, "", $2); print $2; exit }' "deploy/$site/settings.json")"
  sign_and_publish "$run/$site" "$log" || fail "$site: the bundle was not signed or published"
  "$bin/gorsetrail" bundle status --nodes "$(caller_addresses "$site")" --wait_version 1 --timeout_s 15 ||
    fail "$site: the bundle is not in force at every node"
}

rm -rf "$run"
stop_later=()
for site in $sites; do prepare_site "deploy/$site" "$run/$site" || fail "$site: no key"; done
for site in $sites; do start_site "$site"; done
sleep 1
for site in $sites; do publish_bundle "$site"; done

(
  sleep "$planned_stop_after_s"
  kill -TERM "${stop_later[@]}"
) &
"$bin/gorsetrail-lab" load --config deploy/demo/load.json --format table
status=$?
for stopped in "${stop_later[@]}"; do
  wait "$stopped" || fail "a planned stop did not end with code 0"
done
echo "planned stops ended with code 0: ${#stop_later[@]}"
[ "$status" -eq 0 ] || fail "promises were violated, or the load ended early"
