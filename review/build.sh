#!/bin/sh
# Builds what the scripts start beside the program of the deploy file. The stand-ins are Python without packages, so
# this only checks that they can run.
set -eu
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)' common/*.py ./*/case.py
