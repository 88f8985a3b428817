#!/usr/bin/env bash
# Runs every CppUTest program; prints their totals and, last, `N passed, N failed`. Failures that
# KNOWN-RED.txt lists are printed and passed over. Usage: run_tests.sh [BUILD] [KNOWN_RED_FILE]
set -uo pipefail
build="${1:-build}"
here="$(cd "$(dirname "$0")" && pwd)"
# shellcheck source=tools/known_red.sh
source "$here/known_red.sh"
known_red_read "${2:-$here/../KNOWN-RED.txt}"
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
  failed_tests="$(grep -aoE 'Failure in (IGNORE_)?TEST\([^)]*\)' <<<"$output" |
    sed -E 's/.*\(([^,]*), *([^)]*)\)/\1.\2/' | sort -u | tr '\n' ' ')"
  known_red_judge "$name" "$("$program" -ln 2>/dev/null | tr '\n' ' ')" "$failed_tests"
  # Only failures of listed tests are passed over: a program that ended early has others.
  if [ "$known_red_passed_over" -gt 0 ] && [ "${failures:-0}" -eq "$known_red_passed_over" ]; then
    failures=0
    ran=$((ran - known_red_passed_over))
  fi
  failed=$((failed + ${failures:-0}))
  # A program that ended without a summary counts as one failure and no pass.
  passed=$((passed + ${ran:-${failures:-0}} - ${failures:-0}))
done
known_red_finish "$here/../lab/faultsoak/seeds.txt"
echo "$passed passed, $((failed + known_red_errors)) failed"
[ "$failed" -eq 0 ] && [ "$known_red_errors" -eq 0 ] && [ "$passed" -gt 0 ]
