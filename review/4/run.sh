#!/bin/sh
# Plays the case once; see claim.txt.
cd "$(dirname "$0")" && exec python3 case.py
