"""Tests of scripts/trace-request with complete, truncated and unparsable log lines."""

import pathlib
import subprocess
import tempfile
import unittest

TOOL = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "trace-request"
LINES = """2026-12-02T12:00:00.100 INFO gw1 backend id=b1 service=s address=1.2.3.4:5 state=DRAINING
2026-12-02T11:59:58.000 INFO gw2 request id=r1 outcome=refused reason=no_capacity status=503 backends=- sends=0
2026-12-02T12:00:01.000 INFO gw1 request id=r1 outcome=refused reason=backend_failed status=502 backends=b1,b2 sends=2
2026-12-02T12:00:02.000 INFO gw1 request id=r2 outcome=finished reason=- status=200 backends=b2 sends=2
not one of ours
2026-12-02T12:00:03.000 INFO gw1 reque"""

CRASHES = """2026-12-02T12:00:01.000 INFO gw1 backend id=b1 event=ended_under_requests in_crowd=no requests=2 fingerprints=aa,bb
2026-12-02T12:00:01.010 INFO gw2 backend id=b1 event=ended_under_requests in_crowd=no requests=1 fingerprints=aa
2026-12-02T12:00:02.000 INFO gw1 backend id=b2 event=ended_under_requests in_crowd=no requests=2 fingerprints=aa,cc
2026-12-02T12:00:03.000 INFO gw1 backend id=b3 event=ended_under_requests in_crowd=yes requests=1 fingerprints=bb
2026-12-02T12:00:04.000 INFO gw2 request id=r9 outcome=refused reason=quarantined route=/chat/ tenant=acme fingerprint=aa
"""


def run(*arguments, text=LINES):
    return subprocess.run([TOOL, *arguments], input=text, capture_output=True, text=True,
                          check=False)


class TraceRequestTest(unittest.TestCase):
    def test_a_request_over_processes_whose_clocks_differ(self):
        result = run("r1")
        self.assertEqual(0, result.returncode)
        self.assertIn("cause: no engine had a free slot", result.stdout)
        self.assertIn("tried b1", result.stdout)
        self.assertIn("state=DRAINING", result.stdout)

    def test_unparsable_and_truncated_lines_are_counted_and_skipped(self):
        self.assertIn("2 lines are no log lines", run("r1").stderr)
        self.assertEqual(1, run("r1", text="\x00\xff garbage\n").returncode)

    def test_an_unknown_id_gets_a_clear_error(self):
        result = run("nobody")
        self.assertEqual(1, result.returncode)
        self.assertIn("no line of request nobody", result.stderr)

    def test_failed_requests_by_cause(self):
        result = run("--failed")
        self.assertEqual("backend_failed gw1 1: r1\nno_capacity gw2 1: r1\n", result.stdout)

    def test_the_request_under_which_most_back_ends_ended_comes_first(self):
        result = run("--crashes", text=CRASHES)
        self.assertEqual(0, result.returncode)
        self.assertEqual("aa ended 2: b1 b2; in crowds 0; asked by acme /chat/\n"
                         "bb ended 1: b1; in crowds 1; asked by ?\n"
                         "cc ended 1: b2; in crowds 0; asked by ?\n", result.stdout)
        self.assertEqual(1, run("--crashes").returncode)

    def test_a_quarantined_request_has_a_cause(self):
        self.assertIn("cause: back ends ended", run("r9", text=CRASHES).stdout)

    def test_bad_command_lines_and_files(self):
        self.assertEqual(2, run().returncode)
        self.assertEqual(2, run("--what").returncode)
        self.assertEqual(2, run("r1", "/nonexistent").returncode)
        with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
            file.write(LINES)
            file.flush()
            self.assertEqual(0, run("r1", file.name).returncode)


if __name__ == "__main__":
    unittest.main()
