#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python programs of the standard library, so building
# them means to check that they compile; nothing is written beside the sources.
cd "$(dirname "$0")" || exit 2
for file in standins/*.py [0-9]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
