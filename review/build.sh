#!/bin/sh
# The stand-ins need only the standard library: this compiles them.
cd "$(dirname "$0")" || exit 1
python3 -S -m compileall -q standins 1 2 3 2>/dev/null
test -d ../target/deps/rattanfork_adapter || echo "run the build of the deploy file first"
