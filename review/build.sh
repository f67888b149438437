#!/bin/sh
# The stand-ins are Python 3 programs that use the standard library only: nothing is compiled.
# Checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in lib/*.py [1-9]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
