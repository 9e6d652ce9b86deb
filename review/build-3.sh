#!/bin/sh
# Checks that the stand-ins of the cases 11 to 15, which lie in review/11, can
# start. They are plain Python and use the standard library only, so that
# nothing is built.
set -eu
cd "$(dirname "$0")/11"
PYTHONDONTWRITEBYTECODE=1 python3 -c \
    'import http_peer, rank_group, small_fleet'
