"""Checks that docs/operators/metrics.md documents exactly the metrics that the code exports."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
NAME = re.compile(r'"(pumicemast_[a-z0-9_]+)"')
DOCUMENTED = re.compile(r"`(pumicemast_[a-z0-9_]+)`((?:, `_[a-z0-9_]+`)*)")


def names_in_code():
    names = set()
    for folder in ("src", "platform"):
        for path in (ROOT / folder).rglob("*.cpp"):
            names |= set(NAME.findall(path.read_text()))
        for path in (ROOT / folder).rglob("*.h"):
            if "generated" not in path.parts:
                names |= set(NAME.findall(path.read_text()))
    return names


def documented_names(code):
    """Full names, and abbreviated ones expanded from the name before to match the code."""
    documented = set()
    for full, endings in DOCUMENTED.findall((ROOT / "docs/operators/metrics.md").read_text()):
        documented.add(full)
        for ending in re.findall(r"`(_[a-z0-9_]+)`", endings):
            parts = full.split("_")
            candidates = ["_".join(parts[:count]) + ending for count in range(2, len(parts) + 1)]
            known = [name for name in candidates if name in code]
            documented.add(known[-1] if known else candidates[-1])
    return documented


class MetricsPageTest(unittest.TestCase):
    def test_each_metric_is_documented(self):
        code = names_in_code()
        self.assertGreater(len(code), 50)
        self.assertEqual([], sorted(code - documented_names(code)))

    def test_each_documented_metric_exists(self):
        code = names_in_code()
        self.assertEqual([], sorted(documented_names(code) - code))


if __name__ == "__main__":
    unittest.main()
