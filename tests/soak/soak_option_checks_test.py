"""Tests of the checks of the soak's options: each must report a history that breaks its rule."""

import signal
import subprocess
import sys
import time
import unittest
from pathlib import Path
from types import SimpleNamespace

sys.path.insert(0, str(Path(__file__).resolve().parent))
from soak_checks_test import GATEWAY, HistoryTest  # noqa: E402
from soak_checks import DEADLINE_S, UNDISTURBED_S  # noqa: E402
from soak_crowds import MEMORY_MB, Crowds  # noqa: E402
from soak_fleet import GATEWAYS  # noqa: E402


class SlowReadersChecksTest(HistoryTest):
    def receive_large(self, response, started=True, read_whole=False, sent_ago=1.0,
                      identity="large-1"):
        """A caller's request whose back end sends 1,000 bytes, and what the caller got."""
        self.checks.bodies[identity] = b"x" * 1000
        self.checks.on_sent("large", identity, (GATEWAY, 1))
        self.checks.sent_at[identity] = time.monotonic() - sent_ago
        if started:
            self.checks.on_request_started(self.backend(model=None), identity)
        self.checks.check_large_response(identity, response, DEADLINE_S, read_whole)
        return self.violated_rules()

    @staticmethod
    def large(size, complete=True, status=200):
        return SimpleNamespace(status=status, body=b"x" * size, complete=complete, headers={})

    def test_a_large_response_that_is_cut_off(self):
        self.assertEqual(["LOST"], self.receive_large(self.large(999, complete=False)))

    def test_a_large_response_cut_off_before_a_back_end_is_known_to_have_started(self):
        self.assertEqual(["LOST"], self.receive_large(self.large(0, complete=False), started=False))

    def test_no_response_to_a_request_that_a_back_end_started(self):
        self.assertEqual(["LOST"], self.receive_large(None))

    def test_no_response_to_a_request_that_was_read_whole_and_not_started(self):
        self.assertEqual(["LOST"], self.receive_large(None, started=False, read_whole=True))

    def test_no_response_to_a_request_that_the_gateway_may_not_have_read(self):
        self.assertEqual([], self.receive_large(None, started=False))

    def test_whole_large_responses_and_whole_refusals(self):
        self.receive_large(self.large(1000))
        self.assertEqual([], self.receive_large(self.large(9, status=503), identity="large-2"))

    def test_a_whole_large_response_with_another_body(self):
        self.assertEqual(["MIXED"], self.receive_large(self.large(999)))

    def test_a_large_response_that_is_cut_off_at_its_deadline(self):
        self.checks.disturbed_until = self.checks.engines_disturbed_until = 0.0
        self.assertEqual([], self.receive_large(None, sent_ago=DEADLINE_S + 0.1))

    def test_a_large_response_that_is_cut_off_beside_a_fault(self):
        self.checks.disturb_engines(0)
        self.assertEqual([], self.receive_large(self.large(9, complete=False)))

    def test_a_large_response_that_is_cut_off_some_time_after_a_fault_that_it_met(self):
        self.checks.disturbed_until = time.monotonic() - UNDISTURBED_S - 0.1
        self.assertEqual([], self.receive_large(None, sent_ago=UNDISTURBED_S + 0.5))


class OddEntriesChecksTest(HistoryTest):
    def join(self, users, gateways, joined_ago=1.0):
        """A back end appears; the gateways in `users` send it requests, those in `gateways` run."""
        backend = self.backend(model=None)
        self.checks.on_joined(backend, time.monotonic() - joined_ago)
        for number, gateway in enumerate(users):
            self.checks.gateway_of[f"read-{number}"] = gateway
            self.checks.on_request_started(backend, f"read-{number}")
        self.checks.check_joined(backend, gateways)
        return self.violated_rules()

    def test_a_back_end_that_a_gateway_does_not_use(self):
        self.assertEqual(["JOIN"], self.join([("g1", 1)], [("g1", 1), ("g2", 1)]))

    def test_a_back_end_that_only_an_earlier_life_of_the_gateway_used(self):
        self.assertEqual(["JOIN"], self.join([("g1", 1)], [("g1", 2)]))

    def test_a_back_end_that_all_gateways_use(self):
        self.assertEqual([], self.join([("g1", 1), ("g2", 3)], [("g1", 1), ("g2", 3)]))

    def test_a_back_end_that_appears_beside_a_fault(self):
        self.checks.disturbed_until = time.monotonic() - UNDISTURBED_S - 0.1
        self.assertEqual([], self.join([], [("g1", 1)], joined_ago=UNDISTURBED_S + 0.5))

    def test_a_process_that_crashes_while_it_stops(self):
        self.checks.on_stopped("gateway-1", -signal.SIGSEGV)
        self.checks.on_stopped("gateway-1", 1)
        self.assertEqual(["FAULT", "FAULT"], self.violated_rules())

    def test_a_process_that_stops_or_is_killed_meanwhile(self):
        for code in (0, -signal.SIGKILL, -signal.SIGTERM):
            self.checks.on_stopped("gateway-1", code)
        self.assertEqual([], self.violated_rules())


class CrowdsChecksTest(HistoryTest):
    def check_memory(self, mb):
        """Checks a gateway that has allocated `mb` megabytes, twice in the same life."""
        program = f"block = bytearray(b'x') * ({mb} << 20); print(flush=True); input()"
        with subprocess.Popen([sys.executable, "-c", program], stdin=subprocess.PIPE,
                              stdout=subprocess.PIPE) as process:
            process.stdout.readline()
            platform = SimpleNamespace(gateways={host: process for host in GATEWAYS})
            self.checks.incarnations.update({host: 1 for host in GATEWAYS})
            crowds = Crowds(platform, self.checks, None, None)
            crowds.check_memory()
            crowds.check_memory()
            process.kill()
        return self.violated_rules()

    def test_a_gateway_beyond_the_memory_of_its_machine(self):
        self.assertEqual(["MEMORY"] * len(GATEWAYS), self.check_memory(MEMORY_MB))

    def test_a_gateway_within_the_memory_of_its_machine(self):
        self.assertEqual([], self.check_memory(1))


if __name__ == "__main__":
    unittest.main()
