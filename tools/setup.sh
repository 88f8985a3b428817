#!/usr/bin/env bash
# Installs the Debian packages of tools/packages.txt that are missing.
set -euo pipefail
list="$(cd "$(dirname "$0")" && pwd)/packages.txt"
missing=()
while read -r package; do
  [ -n "$package" ] || continue
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done <"$list"
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
runner=()
[ "$(id -u)" -eq 0 ] || runner=(sudo)
"${runner[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${runner[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
