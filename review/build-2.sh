#!/bin/sh
# Checks that the stand-ins of the cases 6 to 10, which lie in review/6, can
# start. They are plain Python and use the standard library only, so that
# nothing is built.
set -eu
cd "$(dirname "$0")/6"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import callers, peer_http, small_deployment'
