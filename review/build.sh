#!/usr/bin/env bash
# Builds the stand-ins of all cases, which lie in review/1. They are Python
# programs without dependencies, so that it is enough to check that they
# compile. The compiled files are removed again.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=$(mktemp -d)
export PYTHONPYCACHEPREFIX
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
python3 -m compileall -q review
