#!/bin/sh
# TROUBLE=0 runs the same without the entries of another writer.
cd "$(dirname "$0")" && exec python3 run.py
