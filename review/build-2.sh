#!/bin/sh
# Checks that the stand-ins of the cases 6 to 10 can start. They are plain
# Python and use the standard library only, so that nothing is built.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c '
from review.parts import consumers, deployment, http
'
