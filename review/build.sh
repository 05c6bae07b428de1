#!/bin/sh
# The stand-ins of all cases are Python (review/lib), of which only the standard library is used: this checks
# that they compile. The node itself is built by `build` of deploy/balancer.toml.
set -e
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in lib/*.py [1-5]/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
