# Sourced by the scripts that start a site of their own.

# prepare_site SOURCE TARGET: makes an operator's key pair in TARGET, and there SOURCE's settings
# and bundle with its public part in place of the placeholder. Fails if no key could be made.
prepare_site() {
  local source="$1" target="$2" key file
  mkdir -p "$target"
  "$bin/gorsetrail" keygen --name operator-a --out "$target/operator-a.pem" --force \
    --format json >"$target/key.json" || return 1
  key="$(grep -o '"public_key": *"[^"]*"' "$target/key.json" | cut -d'"' -f4)"
  for file in settings.json bundle.json; do
    sed "s|@OPERATOR_PUBLIC_KEY@|$key|" "$source/$file" >"$target/$file"
  done
}

# sign_and_publish TARGET LOG: signs TARGET's bundle with its key and publishes it in the log.
sign_and_publish() {
  local target="$1" log="$2"
  "$bin/gorsetrail" bundle sign "$target/bundle.json" --name operator-a --key "$target/operator-a.pem" \
    --out "$target/bundle.envelope" >/dev/null || return 1
  "$bin/gorsetrail" bundle publish "$target/bundle.envelope" --log "$log" --settings "$target/settings.json"
}
