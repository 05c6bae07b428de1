#!/bin/bash
# The test that the operators ask for, in full: a hundred changes of the configuration (or $1), half of them
# bad, while traffic runs. Takes a few minutes; CI runs the same test with fewer changes. Needs the test build
# (`cmake --workflow --preset test`).
set -euo pipefail
cd "$(dirname "$0")/.."
INDIGOSADDLE_CHANGES=${1:-100} build-test/tests/node_changes_test --gtest_filter='*ManyChangesHalfOfThemBadUnderTraffic'
