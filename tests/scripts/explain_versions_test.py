"""Tests of scripts/explain-versions, which shows when weight versions reached the engines."""

import pathlib
import subprocess
import unittest

TOOL = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "explain-versions"
LINES = """2026-12-02T12:00:00.000 INFO a1 host event=start name=a1 zone=z engine=1.2.3.4:5
2026-12-02T12:00:00.000 INFO a1 weights model=m version=2 state=NAMED
2026-12-02T12:00:00.100 INFO a2 staging model=m event=named version=2 current=1 progress=1.0
2026-12-02T12:00:00.500 INFO a1 manifest model=m version=2 chunks=96 source=origin
2026-12-02T12:00:01.500 INFO a2 manifest model=m version=2 chunks=96 source=peer
2026-12-02T12:00:01.600 INFO a2 manifest model=m state=UNREAD status=410 bytes=0
2026-12-02T12:00:03.000 INFO a1 weights model=m version=2 state=COMPLETE took_ms=3000
2026-12-02T12:00:03.100 INFO a1 staging model=m version=2 event=all_staged state=FETCHING->CHECKING
2026-12-02T12:00:03.200 INFO a1 staging model=m version=2 event=verified state=CHECKING->READY
2026-12-02T12:00:04.000 INFO a1 staging model=m version=2 event=turn_came state=READY->STARTING
2026-12-02T12:00:04.500 INFO a1 staging model=m version=2 event=serving state=STARTING->LIVE
2026-12-02T12:00:05.000 INFO a2 staging model=m version=2 event=target_changed state=FETCHING->UNKNOWN
2026-12-02T12:00:05.500 INFO a2 host event=start name=a2 zone=z engine=1.2.3.5:5
2026-12-02T12:00:06.000 INFO a2 host event=start name=a2 zone=z engine=1.2.3.5:5
not one of ours
"""


def run(*arguments, text=LINES):
    return subprocess.run([TOOL, *arguments], input=text, capture_output=True, text=True,
                          check=False)


class ExplainVersionsTest(unittest.TestCase):
    def test_stages_restarts_and_dropped_versions(self):
        result = run()
        self.assertEqual(0, result.returncode)
        self.assertIn("model=m version=2 agents=2 restarted=1 dropped_before_live=1", result.stdout)
        self.assertIn("manifest     2 agents: first 0.5, half 0.5, nine tenths 0.5, last 1.5", result.stdout)
        self.assertIn("live         1 agents: first 4.5", result.stdout)
        self.assertIn("reached last: manifest 1, live 1", result.stdout)
        self.assertIn("1 lines are no log lines", result.stderr)

    def test_a_line_for_each_engine(self):
        self.assertIn("a1 named=0.00 manifest=0.50 complete=3.00", run("--engines").stdout)

    def test_nothing_found_and_bad_options(self):
        self.assertEqual(1, run(text="").returncode)
        self.assertEqual(2, run("--nonsense").returncode)
        self.assertEqual(2, run("/no/such/file").returncode)


if __name__ == "__main__":
    unittest.main()
