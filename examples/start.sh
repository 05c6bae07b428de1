#!/bin/bash
# Runs a delivery node, and stand-ins for the systems around it (toy_world.py), until interrupted. EDGE_LISTEN
# replaces the node's address in indigosaddle.toml, TOY_PORT the port of discovery; port 0 lets the kernel
# choose.
set -euo pipefail
cd "$(dirname "$0")/.."
program=${INDIGOSADDLE:-build/indigosaddle}
[ -x "$program" ] || { echo "build it first: $program is not there"; exit 1; }
work=$(mktemp -d)
children=()
trap 'kill "${children[@]}" 2> /dev/null; wait; rm -rf "$work"' EXIT

python3 examples/toy_world.py "${TOY_PORT:-8500}" > "$work/world" &
children+=($!)
tail -n +1 -f "$work/world" &
children+=($!)
until grep -q '^discovery ' "$work/world"; do
  kill -0 "${children[0]}" || exit 1
  sleep 0.05
done
discovery=$(sed -n 's/^discovery //p' "$work/world")
sed "s/127.0.0.1:8500/$discovery/" examples/indigosaddle.toml > "$work/indigosaddle.toml"
mkdir "$work/state"
export EDGE_STATE="$work/state"
echo "to try the commands: export EDGE_STATE=$EDGE_STATE"
echo "then: $program status; $program config show --running; $program config apply $work/indigosaddle.toml"
"$program" serve --config "$work/indigosaddle.toml" &
children+=($!)
wait "${children[-1]}"
