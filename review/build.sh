#!/usr/bin/env bash
# Checks the stand-ins that the scripts start; they need only Python's standard library.
set -eu
cd "$(dirname "$0")"
for file in standins/*.py [0-9]*/*.py; do
    [ -f "$file" ] || continue
    PYTHONDONTWRITEBYTECODE=1 python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
python3 -c 'import tomllib'
