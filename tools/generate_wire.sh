#!/usr/bin/env bash
# Makes src/wire/generated/gorsetrail_generated.h from the schema; the result is committed, so a
# build needs no generator. Needs flatc 2.0.8 (Debian: flatbuffers-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
header=src/wire/generated/gorsetrail_generated.h
flatc --cpp --cpp-std c++17 --scoped-enums -o src/wire/generated src/wire/gorsetrail.fbs
sed -i -e '1i // NOLINTBEGIN' -e '$a // NOLINTEND' "$header"
