"""Tests of the soak's checks: each must report a history that violates its rule."""

import asyncio
import random
import sys
import time
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

sys.path.insert(0, str(Path(__file__).resolve().parent))
import fault_soak  # noqa: E402  (sets the path of the stand-ins)
import soak_checks  # noqa: E402
from platform_standin import CHUNKS, chunk_content  # noqa: E402
from soak_checks import (DEADLINE_S, DRAIN_LIMIT_S, LIMIT_PROPAGATION_S,  # noqa: E402
                         UNDISTURBED_S, RETRY_EXTRA, RETRY_WINDOW_S, HARNESS_STALL_S,
                         OUTDATED_WEIGHTS_LIMIT_S, CORRUPTION_GRACE_S, Checks)
from soak_engine import SoakEngine  # noqa: E402
from soak_load import Load  # noqa: E402

GATEWAY = fault_soak.GATEWAYS[0]


class HistoryTest(unittest.TestCase):
    """A history that was undisturbed for long enough to check all bounds."""

    def setUp(self):
        self.checks = Checks()
        self.checks.disturbed_until = time.monotonic() - UNDISTURBED_S - 1
        self.checks.engines_disturbed_until = time.monotonic() - UNDISTURBED_S - 1
        self.checks.incarnations[GATEWAY] = 1

    def violated_rules(self):
        return [violation.split(" s ")[1].split(":")[0] for violation in self.checks.violations]

    def backend(self, model="m", version=1, draining_since=None, wrong_chunks=None,
                announced_at=None):
        return SimpleNamespace(identity="e1", name="e1", model=model, version=version, timeline=[],
                               draining_since=draining_since, wrong_chunks=wrong_chunks or {},
                               announced_at=announced_at)

    def check(self, kind, identity, status=200, body=b"", complete=True, version=1, headers=None):
        response = SimpleNamespace(status=status, body=body, complete=complete,
                                   headers=headers or {})
        self.checks.check_response(kind, identity, response, (GATEWAY, 1), version)


class SoakChecksTest(HistoryTest):
    def test_a_correct_history_violates_nothing(self):
        self.checks.on_request_started(self.backend(), "write-1")
        self.check("write", "write-1", body=b"write-1")
        self.check("write", "write-2", status=503)
        self.assertEqual([], self.violated_rules())

    def test_a_response_of_another_request(self):
        self.check("read", "read-1", body=b"read-2")
        self.assertEqual(["MIXED"], self.violated_rules())

    def limited(self, rate, arrivals_s):
        """A back end sends a limit; requests arrive so many seconds afterwards."""
        backend = SimpleNamespace(identity="e1")
        self.checks.on_limit_changed(backend, rate)
        self.checks.on_limit_sent(backend)
        first_sent_at = self.checks.limits["e1"].first_sent_at
        for moment in arrivals_s:
            with mock.patch.object(time, "monotonic", lambda: first_sent_at + moment):
                self.checks.on_limited_arrival(backend)

    def test_more_requests_than_a_back_ends_limit(self):
        every_fifth = [LIMIT_PROPAGATION_S + 0.2 * number for number in range(30)]
        self.limited(5, every_fifth)
        self.assertEqual([], self.violated_rules())
        self.limited(2, every_fifth[:11])  # Ten are allowed.
        self.assertEqual(["LIMIT"], self.violated_rules())

    def test_a_limit_applies_only_after_it_could_reach_all_gateways(self):
        self.limited(1, [0.05 * number for number in range(20)])
        self.assertEqual([], self.violated_rules())

    def test_a_limit_is_looser_while_the_system_is_disturbed(self):
        self.checks.disturb(60)
        self.limited(2, [LIMIT_PROPAGATION_S + 0.2 * number for number in range(17)])
        self.assertEqual([], self.violated_rules())
        self.limited(2, [LIMIT_PROPAGATION_S + 0.2 * number for number in range(18)])
        self.assertEqual(["LIMIT"], self.violated_rules())

    def test_a_second_run(self):
        self.checks.on_request_started(self.backend(), "write-1")
        self.checks.on_request_started(self.backend(), "write-1")
        self.assertEqual(["TWICE"], self.violated_rules())

    def test_a_run_before_and_after_a_refusal(self):
        self.checks.on_request_started(self.backend(), "write-1")
        self.check("write", "write-1", status=503)
        self.check("write", "write-2", status=429)
        self.checks.on_request_started(self.backend(), "write-2")
        self.assertEqual(["REFUSED", "REFUSED"], self.violated_rules())

    def test_with_priorities_a_refusal_without_a_time_to_return_or_of_a_repeatable_request(self):
        self.checks.checks_all_refusals = True
        self.check("chat", "chat-1", status=503, headers={"retry-after": "0.200"})
        self.check("chat", "chat-2", status=503, body=b"quarantined")
        self.check("chat", "killer-3", status=503, body=b"quarantined")
        self.assertEqual(["BYSTANDER"], self.violated_rules())
        self.checks.violations.clear()
        self.check("chat", "chat-4", status=503)
        self.checks.on_request_started(self.backend(), "chat-1")
        self.assertEqual(["RETRY", "REFUSED"], self.violated_rules())

    def test_a_run_at_a_draining_back_end(self):
        since = time.monotonic() - DRAIN_LIMIT_S - 1
        self.checks.on_request_started(self.backend(draining_since=since), "read-1")
        self.assertEqual(["DRAIN"], self.violated_rules())

    def test_a_run_on_older_weights(self):
        self.checks.named_at[2] = time.monotonic() - OUTDATED_WEIGHTS_LIMIT_S - 1
        self.checks.on_request_started(self.backend(version=1), "chat-1")
        self.assertEqual(["VERSION"], self.violated_rules())

    def test_a_run_on_older_weights_within_the_bound_or_on_the_newest(self):
        self.checks.named_at[2] = time.monotonic() - OUTDATED_WEIGHTS_LIMIT_S - 1
        self.checks.named_at[3] = time.monotonic() - OUTDATED_WEIGHTS_LIMIT_S + 1
        self.checks.on_request_started(self.backend(version=2), "chat-1")
        self.checks.on_request_started(self.backend(version=3), "chat-2")
        self.assertEqual([], self.violated_rules())

    def test_each_naming_has_its_own_bound(self):
        self.checks.named_at[2] = time.monotonic() - OUTDATED_WEIGHTS_LIMIT_S - 1
        self.checks.named_at[3] = time.monotonic()
        self.checks.on_request_started(self.backend(version=1), "chat-1")
        self.assertEqual(["VERSION"], self.violated_rules())

    def test_bounds_are_waived_only_while_something_is_disturbed(self):
        self.checks.disturb(0)
        since = time.monotonic() - DRAIN_LIMIT_S - 1
        self.checks.on_request_started(self.backend(draining_since=since), "read-1")
        self.check("chat", "chat-1", complete=False)
        self.assertEqual([], self.violated_rules())
        self.checks.on_request_started(self.backend(), "write-1")
        self.checks.on_request_started(self.backend(), "write-1")
        self.assertEqual(["TWICE"], self.violated_rules())

    def test_faults_of_back_ends_excuse_nothing_that_gateways_do(self):
        self.checks.disturb_engines(0)
        self.check("chat", "chat-1", complete=False)
        self.assertEqual([], self.violated_rules())
        since = time.monotonic() - DRAIN_LIMIT_S - 1
        self.checks.on_request_started(self.backend(draining_since=since), "read-1")
        self.checks.named_at[2] = time.monotonic() - OUTDATED_WEIGHTS_LIMIT_S - 1
        self.checks.on_request_started(self.backend(version=1), "chat-2")
        self.assertEqual(["DRAIN", "VERSION"], self.violated_rules())

    def test_a_stall_of_the_stand_ins_excuses_only_interrupted_responses(self):
        self.checks.last_heartbeat = time.monotonic() - HARNESS_STALL_S - 0.1
        self.check("chat", "chat-1", complete=False)
        self.assertEqual([], self.violated_rules())
        self.checks.on_request_started(self.backend(), "write-1")
        self.checks.on_request_started(self.backend(), "write-1")
        self.assertEqual(["TWICE"], self.violated_rules())

    def test_running_stand_ins_excuse_nothing(self):
        self.checks.last_heartbeat = time.monotonic() - HARNESS_STALL_S / 2
        self.check("chat", "chat-1", complete=False)
        self.assertEqual(["LOST"], self.violated_rules())

    def test_an_interrupted_response(self):
        self.check("chat", "chat-1", complete=False)
        self.assertEqual(["LOST"], self.violated_rules())

    def test_a_configuration_that_reverts(self):
        self.check("route", "route-1", body=b"route-1", version=7)
        self.check("route", "route-2", status=404, version=6)
        self.assertEqual(["CONFIG"], self.violated_rules())

    def test_a_request_that_every_configuration_allows(self):
        self.check("read", "read-1", status=404)
        self.check("read", "read-2", status=401)
        self.assertEqual(["DENIED", "DENIED"], self.violated_rules())

    def test_a_response_after_the_deadline(self):
        async def late(*_, **fields):
            await asyncio.sleep(0.2)
            return SimpleNamespace(status=200, body=b"read-1", complete=True)
        platform = SimpleNamespace(version=1, call_gateway=late)
        load = Load(platform, self.checks, random.Random(1))
        saved = soak_checks.DEADLINE_S, soak_checks.DEADLINE_TOLERANCE_S
        soak_checks.DEADLINE_S, soak_checks.DEADLINE_TOLERANCE_S = 0.05, 0.08
        try:
            asyncio.run(load.send_request("read", GATEWAY, "read-1"))
            self.assertEqual(["CONFIG"], self.violated_rules())
        finally:
            soak_checks.DEADLINE_S, soak_checks.DEADLINE_TOLERANCE_S = saved
        self.assertEqual(saved[0], DEADLINE_S)


class NoticeCheckTest(HistoryTest):
    def test_a_request_long_after_an_announcement_of_leaving_is_a_violation(self):
        now = time.monotonic()
        self.checks.on_request_started(self.backend(announced_at=now - 1.5), "read-1")
        self.assertEqual([], self.checks.violations)
        self.checks.on_request_started(self.backend(announced_at=now - 2.5), "read-2")
        self.assertEqual(1, len(self.checks.violations))

    def arrive_in_pause(self, count, gateway=("g1", 1), starts_of_g1=1):
        """`count` requests arrive 1 s after a refusal that asked g1 for a pause of 3 s."""
        backend = self.backend()
        self.checks.incarnations = {"g1": starts_of_g1, "g2": 1}
        self.checks.gateway_of = {"refused": ("g1", 1), "later": gateway}
        self.checks.on_pause_sent(backend, "refused", 3.0)
        key = (backend.identity, ("g1", 1))
        pause = self.checks.pauses[key]
        pause.begin, pause.end = pause.begin - 1, pause.end - 1
        for _ in range(count):
            self.checks.on_arrival_in_pause(backend, "later")

    def test_two_requests_in_a_pause_are_allowed(self):
        self.arrive_in_pause(2)
        self.assertEqual([], self.checks.violations)

    def test_three_requests_in_a_pause_are_a_violation(self):
        self.arrive_in_pause(3)
        self.assertEqual(1, len(self.checks.violations))

    def test_a_pause_binds_only_the_gateway_that_was_refused(self):
        self.arrive_in_pause(5, ("g2", 1))
        self.assertEqual([], self.checks.violations)

    def test_a_gateway_that_was_restarted_knows_of_no_pause(self):
        self.arrive_in_pause(5, ("g1", 2), starts_of_g1=2)
        self.assertEqual([], self.checks.violations)

    def test_requests_accepted_by_the_next_process_of_a_stopped_gateway_are_not_counted(self):
        self.arrive_in_pause(5, ("g1", 1), starts_of_g1=2)
        self.assertEqual([], self.checks.violations)


class RetriesCheckTest(HistoryTest):
    def arrive(self, times):
        for _ in range(times):
            self.checks.on_arrival("engines", "chat-1")

    def test_as_many_retries_as_allowed(self):
        self.arrive(1 + RETRY_EXTRA)
        self.assertEqual([], self.violated_rules())

    def test_one_retry_too_many(self):
        self.arrive(1 + RETRY_EXTRA + 1)
        self.assertEqual(["BUDGET"], self.violated_rules())

    def test_requests_earn_retries(self):
        for _ in range(10):
            self.checks.on_sent("chat", "id", "gateway")
        self.arrive(1 + RETRY_EXTRA + 2)
        self.assertEqual([], self.violated_rules())
        self.arrive(1)
        self.assertEqual(["BUDGET"], self.violated_rules())

    def test_requests_for_another_service_earn_no_retries(self):
        for _ in range(10):
            self.checks.on_sent("read", "id", "gateway")
        self.arrive(1 + RETRY_EXTRA + 1)
        self.assertEqual(["BUDGET"], self.violated_rules())

    def test_retries_of_an_earlier_window_do_not_count(self):
        self.arrive(1 + RETRY_EXTRA)
        retries = self.checks.retry_counts["engines"].retries
        retries[:] = [at - RETRY_WINDOW_S - 1 for at in retries]
        self.arrive(RETRY_EXTRA)
        self.assertEqual([], self.violated_rules())

    def test_requests_of_the_window_before_count(self):
        requests = self.checks.retry_counts["engines"].requests
        requests += [time.monotonic() - RETRY_WINDOW_S - 1] * 10
        self.arrive(1 + RETRY_EXTRA + 2)
        self.assertEqual([], self.violated_rules())
        requests[:] = [time.monotonic() - 2 * RETRY_WINDOW_S - 1] * 10
        self.arrive(1)
        self.assertEqual(["BUDGET"], self.violated_rules())


class WholeCheckTest(HistoryTest):
    """An engine takes a start order; then a request starts there."""

    def engine(self, orders=(2,), staged_version=2, prepare=lambda engine: None):
        self.checks.named_at[2] = time.monotonic()
        engine = SoakEngine(self.checks, random.Random(1), "e1", "127.0.0.1", "m", 1)

        async def run_orders():
            for number in range(CHUNKS):
                engine.stage(number, chunk_content(staged_version, number))
            prepare(engine)
            for version in orders:
                engine.activate_and_record({"version": version}, "answered")
                while engine.busy:
                    await asyncio.sleep(0.01)
        asyncio.run(run_orders())
        return engine

    def test_complete_weights(self):
        self.checks.on_request_started(self.engine(), "chat-1")
        self.assertEqual([], self.violated_rules())

    def test_an_order_that_activates_chunks_of_another_version(self):
        engine = self.engine(prepare=lambda engine: engine.stage(2, chunk_content(3, 2)))
        self.assertEqual([], self.violated_rules())
        self.checks.on_request_started(engine, "chat-1")
        self.assertEqual(["WHOLE"], self.violated_rules())
        self.assertIn("{2: 'of another version'}", self.checks.violations[0])
        self.assertIn("order to start version 2", self.checks.violations[0])

    def test_a_chunk_that_every_version_shares(self):
        self.checks.on_request_started(
            self.engine(prepare=lambda engine: engine.stage(1, chunk_content(3, 1))), "c-1")
        self.assertEqual([], self.violated_rules())

    def test_a_missing_chunk(self):
        engine = self.engine(prepare=lambda engine: engine.staged.pop(5))
        self.checks.on_request_started(engine, "chat-1")
        self.assertEqual(["WHOLE"], self.violated_rules())

    def test_a_chunk_staged_after_the_order_was_taken(self):
        engine = self.engine()
        engine.stage(2, chunk_content(3, 2))
        self.checks.on_request_started(engine, "chat-1")
        self.assertEqual([], self.violated_rules())

    def test_mixed_weights_that_serve_no_request(self):
        engine = self.engine(orders=(2, 1))
        self.assertEqual({0, 2, 4, 6}, set(engine.wrong_chunks))
        self.assertEqual([], self.violated_rules())

    def corrupt(self, seconds_ago):
        def prepare(engine):
            engine.corrupt(2)
            engine.corrupted_at[2] -= seconds_ago
        return prepare

    def test_a_recently_corrupted_chunk(self):
        self.checks.on_request_started(
            self.engine(prepare=self.corrupt(CORRUPTION_GRACE_S - 1)), "chat-1")
        self.assertEqual([], self.violated_rules())

    def test_a_chunk_corrupted_long_ago(self):
        self.checks.on_request_started(
            self.engine(prepare=self.corrupt(CORRUPTION_GRACE_S + 1)), "chat-1")
        self.assertEqual(["WHOLE"], self.violated_rules())

    def test_no_disturbance_excuses_mixed_weights(self):
        engine = self.engine(prepare=lambda engine: engine.stage(2, chunk_content(3, 2)))
        self.checks.disturb(1)
        self.checks.disturb_engines(1)
        self.checks.on_request_started(engine, "chat-1")
        self.assertEqual(["WHOLE"], self.violated_rules())


class EngineOrdersTest(HistoryTest):
    """The engine stand-in handles start orders as the protocol specifies."""

    def run_steps(self, steps):
        engine = SoakEngine(self.checks, random.Random(1), "e1", "127.0.0.1", "m", 1)

        async def run():
            return await steps(engine)
        return asyncio.run(run())

    async def wait_until_idle(self, engine):
        while engine.busy:
            await asyncio.sleep(0.01)

    def test_an_order_that_expects_another_sequence_number(self):
        async def steps(engine):
            statuses = [engine.activate({"version": 2, "expectedRev": 1}),
                        engine.activate({"version": 2, "expectedRev": 0})]
            await self.wait_until_idle(engine)
            return statuses + [engine.activate({"version": 3, "expectedRev": 0}),
                               engine.activate({"version": 2, "expectedRev": 1})]
        self.assertEqual([409, 202, 409, 200], self.run_steps(steps))

    def test_an_order_during_another(self):
        async def steps(engine):
            return [engine.activate({"version": 2}), engine.activate({"version": 3}), engine.seq]
        self.assertEqual([202, 409, 1], self.run_steps(steps))

    def test_a_restart_drops_layers_and_orders_and_keeps_staged_chunks(self):
        async def steps(engine):
            await engine.start()
            engine.activate({"version": 2})
            await self.wait_until_idle(engine)
            staged = dict(engine.staged)
            await engine.restart()
            kept = engine.staged == staged
            await engine.stop()
            return kept, engine.version, engine.seq, engine.identity
        self.assertEqual((True, 0, 0, "e1-2"), self.run_steps(steps))

    def test_a_crash_cancels_pending_orders(self):
        async def steps(engine):
            await engine.start()
            engine.spawn(engine.execute_later({"version": 2}, 0.05))
            await engine.restart()
            await asyncio.sleep(0.1)
            await engine.stop()
            return engine.seq
        self.assertEqual(0, self.run_steps(steps))


if __name__ == "__main__":
    unittest.main()
