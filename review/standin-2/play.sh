#!/usr/bin/env bash
# play.sh CASE FOLDER: plays one case. Exit code 1: the rule was broken, 0: it held, 2: the case
# could not run. TROUBLE=0 plays it without the disruption. Writes FOLDER/record.txt.
set -uo pipefail
case="$1"
folder="$(cd "$2" && pwd)"
cd "$(dirname "$0")/../.."
longest_s=110
command="$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)"
if [ ! -x "${command%% *}" ] || [ ! -x "review/bin-2/$case" ]; then
  echo "build first: the build line of deploy/system.toml, then review/build-2.sh" >&2
  exit 2
fi
temporary="$(mktemp -d)"
trap 'rm -rf "$temporary"' EXIT
timeout --kill-after=5 "$longest_s" "review/bin-2/$case" "$command" "$temporary" "$folder/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
