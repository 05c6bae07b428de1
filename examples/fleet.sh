#!/bin/bash
# A fleet of three nodes on loopback, two at site north and one at site south. Prints when they are connected
# and agree on the number of senders, then runs until Ctrl-C; with --once it exits at that point. Exits with
# status 1 if they do not agree within a minute.
# Try in another shell, with the folder that is printed:
#   build/indigosaddle status --config FOLDER/a.toml        # the fleet's state is under "fleet"
#   kill -9 the process of c, and print the status again: site south is "lost" within 30 s
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
program=${INDIGOSADDLE:-$here/../build/indigosaddle}
folder=$(mktemp -d)
nodes=()
finish() {
  for pid in "${nodes[@]}"; do kill "$pid" 2> /dev/null || true; done
  for pid in "${nodes[@]}"; do wait "$pid" 2> /dev/null || true; done
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 0' INT TERM
for name in a b c; do
  mkdir "$folder/$name"
  case $name in a) address=127.0.0.11 ;; b) address=127.0.0.12 ;; c) address=127.0.0.13 ;; esac
  cat > "$folder/$name.toml" << TOML
[node]
name = "$name"
listen = "$address:6379"
discovery = "127.0.0.1:8500"
state = "$folder/$name"

[control]
socket = "control.sock"

[fleet]
listen = "$address:7946"
lease = "3s"
probe_every = "500ms"
probe_timeout = "150ms"
count_senders = true

[[peers]]
name = "a"
site = "north"
address = "127.0.0.11:7946"

[[peers]]
name = "b"
site = "north"
address = "127.0.0.12:7946"

[[peers]]
name = "c"
site = "south"
address = "127.0.0.13:7946"

[[classes]]
name = "notice"
effect = "safe"
aim = "2s"
deadline = "20s"
worth = 1
TOML
  "$program" serve --config "$folder/$name.toml" 2> "$folder/$name.log" &
  nodes+=($!)
done
standing_and_senders() { "$program" status --config "$folder/$1.toml" --json 2> /dev/null |
  python3 -c 'import json, sys; f = json.load(sys.stdin)["fleet"]; print(f["standing"], f["senders"])' 2> /dev/null; }
for _ in $(seq 240); do
  agreed=0
  for name in a b c; do [ "$(standing_and_senders $name)" = "connected 3" ] && agreed=$((agreed + 1)); done
  [ $agreed -eq 3 ] && break
  sleep 0.25
done
[ $agreed -eq 3 ] || { echo "the nodes did not agree; their logs:"; cat "$folder"/*.log; exit 1; }
echo "three nodes are connected and agree that three send; files and logs: $folder"
[ "${1:-}" = "--once" ] && exit 0
wait
