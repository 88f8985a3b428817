#!/usr/bin/env bash
# Usage: play.sh CASE PROGRAM. Plays a case once: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. The record goes to review/CASE/record.txt, settings and logs to a temporary
# folder that is removed afterwards. KEEP=FOLDER keeps them there.
set -uo pipefail
cd "$(dirname "$0")/.."
program="review/bin/$2"
if [ ! -x "$program" ] || [ ! -x target/bin/gorsetrail-edge ]; then
  echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
folder="${KEEP:-$(mktemp -d)}"
mkdir -p "$folder"
driver=""
# The nodes are children of the driver and end with it.
cleanup() {
  if [ -n "$driver" ]; then kill -KILL "$driver" 2>/dev/null; fi
  if [ -z "${KEEP:-}" ]; then rm -rf "$folder"; fi
}
trap cleanup EXIT
trap 'exit 2' INT TERM
"$program" "$folder" "review/$1/record.txt" &
driver=$!
waited=0
while kill -0 "$driver" 2>/dev/null && [ "$waited" -lt 1100 ]; do
  sleep 0.1
  waited=$((waited + 1))
done
if kill -0 "$driver" 2>/dev/null; then exit 2; fi
wait "$driver"
status=$?
driver=""
tail -n 1 "review/$1/record.txt"
if [ "$status" -gt 2 ]; then exit 2; fi
exit "$status"
