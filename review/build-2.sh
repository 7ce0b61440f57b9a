#!/bin/sh
# Builds what the scripts of the cases 4 to 8 need besides the build of the deploy file. Their
# stand-ins are Python modules, the project's own among them, and are only compiled to check them.
cd "$(dirname "$0")/.." || exit 2
python3 - <<'PYTHON'
import glob
import sys

files = ["tests/processes/platform_standin.py"] + glob.glob("review/common-2/*.py")
files += glob.glob("review/[45678]/*.py") + glob.glob("review/further-2/*.py")
for path in files:
    with open(path) as source:
        compile(source.read(), path, "exec")
print("checked", len(files), "files with Python", sys.version.split()[0])
PYTHON
