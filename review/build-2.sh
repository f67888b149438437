#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are Python programs in the folders of the cases and need no
# build: this only checks that they can be read. The hosts come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
test -x target/release/stagedeck || { echo "build the deploy file first"; exit 2; }
python3 - <<'END'
import ast, glob
for path in glob.glob("review/[4-8]/*.py"):
    ast.parse(open(path).read(), path)
END
