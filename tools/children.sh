# Sourced by scripts that run processes beside themselves.
children=()

# start LOG COMMAND...: starts a process whose id is appended to `children`.
start() {
  local log="$1"
  shift
  "$@" >"$log" 2>&1 &
  children+=($!)
}

end_all() {
  for child in "${children[@]}"; do kill -TERM "$child" 2>/dev/null; done
  wait
}
