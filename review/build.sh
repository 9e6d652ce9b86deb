#!/usr/bin/env bash
# Builds the stand-ins of all cases. They are Python programs without
# dependencies, so that it is enough to check that they compile. Nothing is
# left in this folder, whose only folders are the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=$(mktemp -d)
export PYTHONPYCACHEPREFIX
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
python3 -m compileall -q review
