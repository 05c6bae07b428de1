#!/bin/bash
# Runs the first steps with the example: starts it, sends a message, and waits until it is delivered.
set -euo pipefail
cd "$(dirname "$0")/.."
log=$(mktemp)
EDGE_LISTEN=127.0.0.1:0 TOY_PORT=0 examples/start.sh > "$log" 2>&1 &
example=$!
trap 'kill "$example" 2> /dev/null; wait "$example" 2> /dev/null || true; rm -f "$log"' EXIT
wait_for() {
  for _ in $(seq 600); do
    grep -q "$1" "$log" && return
    kill -0 "$example" 2> /dev/null || break
    sleep 0.1
  done
  echo "the example did not print: $1"
  cat "$log"
  exit 1
}
wait_for ' serving '
address=$(sed -n 's/.* serving address=\([0-9.:]*\) .*/\1/p' "$log")
answer=$(python3 examples/send.py 'hello from the example' "$address")
[ "${answer##* }" = "+OK" ] || { echo "the node did not accept the message: $answer"; exit 1; }
wait_for 'delivered .*: hello from the example'
echo "the example delivered ${answer%% *}"
