#!/bin/bash
# Checks that the generated pages in the docs folder ($2) are what the program ($1) prints, and that the
# program accepts the configuration files of deploy and examples.
set -euo pipefail
for page in configuration logging; do
  diff -u "$2/$page.md" <("$1" docs "$page") ||
    { echo "docs/$page.md is stale; make it with: indigosaddle docs $page"; exit 1; }
done
"$1" config check "$2/../deploy/indigosaddle.toml"
EDGE_STATE=/tmp "$1" config check "$2/../examples/indigosaddle.toml"
