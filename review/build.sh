#!/usr/bin/env bash
# Builds the stand-ins of all cases. They are Python programs without
# dependencies, so that it is enough to compile them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
