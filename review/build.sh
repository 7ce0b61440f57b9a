#!/usr/bin/env bash
# Prepares what the cases start beside the deployed programs. All stand-ins are Python modules of the
# standard library alone (harness.py, the cases, and tests/processes/platform_standin.py): there is
# nothing to compile, only to check. They need Python 3.11, as Debian 12 has it.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 is needed" >&2; exit 1; }
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import ast
import pathlib
for path in [*pathlib.Path(".").glob("**/*.py"),
             pathlib.Path("../tests/processes/platform_standin.py")]:
    ast.parse(path.read_text(), str(path))
PYTHON
