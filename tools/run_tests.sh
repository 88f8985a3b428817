#!/usr/bin/env bash
# Runs every CppUTest program; prints their totals and, last, `N passed, N failed`.
set -uo pipefail
build="${1:-build}"
# Far above any program's time: a hang must end as a failure, not hold up the run.
hang_limit_s=600
passed=0
failed=0
for program in "$build"/bin/test_*; do
  name="$(basename "$program")"
  output="$(timeout "$hang_limit_s" "$program" 2>&1)"
  status=$?
  summary="$(grep -aE '^(OK|Errors) \(' <<<"$output" | tail -1)"
  ran="$(grep -oE '[0-9]+ ran' <<<"$summary" | grep -oE '[0-9]+')"
  failures="$(grep -oE '[0-9]+ failures' <<<"$summary" | grep -oE '[0-9]+')"
  echo "$name: ${summary:-ended without a summary (status $status)}"
  if [ -z "$summary" ] || { [ "$status" -ne 0 ] && [ "${failures:-0}" -eq 0 ]; }; then
    failures=1
  fi
  [ "${failures:-0}" -eq 0 ] || echo "$output"
  failed=$((failed + ${failures:-0}))
  # A program that ended without a summary counts as one failure and no pass.
  passed=$((passed + ${ran:-${failures:-0}} - ${failures:-0}))
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
