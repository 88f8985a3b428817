#!/usr/bin/env bash
# Makes the headers of all FlatBuffers schemas; the results are committed, so a build needs no
# generator. Needs flatc 2.0.8 (Debian: flatbuffers-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
for schema in src/wire/gorsetrail src/ledger/ledger_record src/ledger/ledger_call src/edge/member_record src/edge/load_digest src/edge/request_record src/logstore/store_call src/membership/membership_message src/quota/quota_message; do
  header="$(dirname "$schema")/generated/$(basename "$schema")_generated.h"
  flatc --cpp --cpp-std c++17 --scoped-enums -o "$(dirname "$header")" "$schema.fbs"
  sed -i -e '1i // NOLINTBEGIN' -e '$a // NOLINTEND' "$header"
done
