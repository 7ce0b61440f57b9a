"""The soak's checks catch what they are for: each is shown a history that breaks its rule."""

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
from soak_checks import (DEADLINE_S, DRAIN_BOUND_S, LIMIT_SETTLE_S, QUIET_S, RETRY_EXTRA, RETRY_WINDOW_S,  # noqa: E402
                         STALL_S, START_BOUND_S, TURNED_BAD_S, Checks)
from soak_engine import SoakEngine  # noqa: E402
from soak_load import Load  # noqa: E402

GATEWAY = fault_soak.GATEWAYS[0]


class HistoryTest(unittest.TestCase):
    """A history in which nothing was disturbed for long."""

    def setUp(self):
        self.checks = Checks()
        self.checks.disturbed_until = time.monotonic() - QUIET_S - 1
        self.checks.engines_disturbed_until = time.monotonic() - QUIET_S - 1
        self.checks.lives[GATEWAY] = 1

    def rules(self):
        return [violation.split(" s ")[1].split(":")[0] for violation in self.checks.violations]

    def runner(self, model="m", version=1, draining_since=None, wrong_chunks=None):
        return SimpleNamespace(identity="e1", name="e1", model=model, version=version, timeline=[],
                               draining_since=draining_since, wrong_chunks=wrong_chunks or {})

    def check(self, kind, identity, status=200, body=b"", complete=True, version=1):
        answered = SimpleNamespace(status=status, body=body, complete=complete)
        self.checks.check(kind, identity, answered, (GATEWAY, 1), version)


class SoakChecksTest(HistoryTest):
    def test_a_sound_history_breaks_nothing(self):
        self.checks.on_run(self.runner(), "write-1")
        self.check("write", "write-1", body=b"write-1")
        self.check("write", "write-2", status=503)
        self.assertEqual([], self.rules())

    def test_another_callers_answer(self):
        self.check("read", "read-1", body=b"read-2")
        self.assertEqual(["MIXED"], self.rules())

    def limited(self, rate, arrivals_s):
        """A back end names a limit; requests come at these moments after it did."""
        runner = SimpleNamespace(identity="e1")
        self.checks.on_limit(runner, rate)
        self.checks.on_limit_told(runner)
        told_at = self.checks.limits["e1"].told_at
        for moment in arrivals_s:
            with mock.patch.object(time, "monotonic", lambda: told_at + moment):
                self.checks.on_limited_arrival(runner)

    def test_more_than_a_back_ends_limit(self):
        every_fifth = [LIMIT_SETTLE_S + 0.2 * number for number in range(30)]
        self.limited(5, every_fifth)
        self.assertEqual([], self.rules())
        self.limited(2, every_fifth[:11])  # Ten are allowed.
        self.assertEqual(["LIMIT"], self.rules())

    def test_gateways_have_a_moment_to_hear_of_a_limit(self):
        self.limited(1, [0.05 * number for number in range(20)])
        self.assertEqual([], self.rules())

    def test_more_is_allowed_while_gateways_come_and_go(self):
        self.checks.disturb(60)
        self.limited(2, [LIMIT_SETTLE_S + 0.2 * number for number in range(17)])
        self.assertEqual([], self.rules())
        self.limited(2, [LIMIT_SETTLE_S + 0.2 * number for number in range(18)])
        self.assertEqual(["LIMIT"], self.rules())

    def test_a_second_run(self):
        self.checks.on_run(self.runner(), "write-1")
        self.checks.on_run(self.runner(), "write-1")
        self.assertEqual(["TWICE"], self.rules())

    def test_a_run_before_and_after_a_refusal(self):
        self.checks.on_run(self.runner(), "write-1")
        self.check("write", "write-1", status=503)
        self.check("write", "write-2", status=429)
        self.checks.on_run(self.runner(), "write-2")
        self.assertEqual(["REFUSED", "REFUSED"], self.rules())

    def test_a_run_at_a_draining_back_end(self):
        since = time.monotonic() - DRAIN_BOUND_S - 1
        self.checks.on_run(self.runner(draining_since=since), "read-1")
        self.assertEqual(["DRAIN"], self.rules())

    def test_a_run_on_older_weights(self):
        self.checks.named_at[2] = time.monotonic() - START_BOUND_S - 1
        self.checks.on_run(self.runner(version=1), "chat-1")
        self.assertEqual(["VERSION"], self.rules())

    def test_a_run_on_older_weights_within_the_bound_or_on_the_newest(self):
        self.checks.named_at[2] = time.monotonic() - START_BOUND_S - 1
        self.checks.named_at[3] = time.monotonic() - START_BOUND_S + 1
        self.checks.on_run(self.runner(version=2), "chat-1")
        self.checks.on_run(self.runner(version=3), "chat-2")
        self.assertEqual([], self.rules())

    def test_each_naming_has_its_own_bound(self):
        self.checks.named_at[2] = time.monotonic() - START_BOUND_S - 1
        self.checks.named_at[3] = time.monotonic()
        self.checks.on_run(self.runner(version=1), "chat-1")
        self.assertEqual(["VERSION"], self.rules())

    def test_bounds_are_waived_only_while_something_is_disturbed(self):
        self.checks.disturb(0)
        since = time.monotonic() - DRAIN_BOUND_S - 1
        self.checks.on_run(self.runner(draining_since=since), "read-1")
        self.check("chat", "chat-1", complete=False)
        self.assertEqual([], self.rules())
        self.checks.on_run(self.runner(), "write-1")
        self.checks.on_run(self.runner(), "write-1")
        self.assertEqual(["TWICE"], self.rules())

    def test_faults_of_back_ends_excuse_nothing_that_gateways_do(self):
        self.checks.disturb_engines(0)
        self.check("chat", "chat-1", complete=False)
        self.assertEqual([], self.rules())
        since = time.monotonic() - DRAIN_BOUND_S - 1
        self.checks.on_run(self.runner(draining_since=since), "read-1")
        self.checks.named_at[2] = time.monotonic() - START_BOUND_S - 1
        self.checks.on_run(self.runner(version=1), "chat-2")
        self.assertEqual(["DRAIN", "VERSION"], self.rules())

    def test_a_standstill_of_the_stand_ins_excuses_what_it_broke_and_no_more(self):
        self.checks.last_beat = time.monotonic() - STALL_S - 0.1
        self.check("chat", "chat-1", complete=False)
        self.assertEqual([], self.rules())
        self.checks.on_run(self.runner(), "write-1")
        self.checks.on_run(self.runner(), "write-1")
        self.assertEqual(["TWICE"], self.rules())

    def test_stand_ins_that_run_excuse_nothing(self):
        self.checks.last_beat = time.monotonic() - STALL_S / 2
        self.check("chat", "chat-1", complete=False)
        self.assertEqual(["LOST"], self.rules())

    def test_an_answer_that_is_cut_off(self):
        self.check("chat", "chat-1", complete=False)
        self.assertEqual(["LOST"], self.rules())

    def test_a_configuration_that_reverts(self):
        self.check("route", "route-1", body=b"route-1", version=7)
        self.check("route", "route-2", status=404, version=6)
        self.assertEqual(["CONFIG"], self.rules())

    def test_a_request_that_every_configuration_allows(self):
        self.check("read", "read-1", status=404)
        self.check("read", "read-2", status=401)
        self.assertEqual(["DENIED", "DENIED"], self.rules())

    def test_an_answer_that_comes_after_the_deadline(self):
        async def late(*_):
            await asyncio.sleep(0.2)
            return SimpleNamespace(status=200, body=b"read-1", complete=True)
        platform = SimpleNamespace(version=1, call_gateway=late)
        load = Load(platform, self.checks, random.Random(1))
        kept = soak_checks.DEADLINE_S, soak_checks.LATE_S
        soak_checks.DEADLINE_S, soak_checks.LATE_S = 0.05, 0.08
        try:
            asyncio.run(load.ask("read", GATEWAY, "read-1"))
            self.assertEqual(["CONFIG"], self.rules())
        finally:
            soak_checks.DEADLINE_S, soak_checks.LATE_S = kept
        self.assertEqual(kept[0], DEADLINE_S)


class RetriesCheckTest(HistoryTest):
    def arrive(self, times):
        for _ in range(times):
            self.checks.on_arrival("engines", "chat-1")

    def test_as_many_repeats_as_are_allowed(self):
        self.arrive(1 + RETRY_EXTRA)
        self.assertEqual([], self.rules())

    def test_one_repeat_more(self):
        self.arrive(1 + RETRY_EXTRA + 1)
        self.assertEqual(["BUDGET"], self.rules())

    def test_requests_allow_their_share(self):
        for _ in range(10):
            self.checks.on_sent("chat")
        self.arrive(1 + RETRY_EXTRA + 2)
        self.assertEqual([], self.rules())
        self.arrive(1)
        self.assertEqual(["BUDGET"], self.rules())

    def test_requests_for_another_service_allow_nothing(self):
        for _ in range(10):
            self.checks.on_sent("read")
        self.arrive(1 + RETRY_EXTRA + 1)
        self.assertEqual(["BUDGET"], self.rules())

    def test_repeats_of_an_earlier_window_do_not_count(self):
        self.arrive(1 + RETRY_EXTRA)
        repeats = self.checks.retries["engines"].repeats
        repeats[:] = [at - RETRY_WINDOW_S - 1 for at in repeats]
        self.arrive(RETRY_EXTRA)
        self.assertEqual([], self.rules())

    def test_requests_of_the_window_before_count(self):
        requests = self.checks.retries["engines"].requests
        requests += [time.monotonic() - RETRY_WINDOW_S - 1] * 10
        self.arrive(1 + RETRY_EXTRA + 2)
        self.assertEqual([], self.rules())
        requests[:] = [time.monotonic() - 2 * RETRY_WINDOW_S - 1] * 10
        self.arrive(1)
        self.assertEqual(["BUDGET"], self.rules())


class WholeCheckTest(HistoryTest):
    """An engine takes an order; then a request begins there."""

    def engine(self, orders=(2,), staged_version=2, prepare=lambda engine: None):
        self.checks.named_at[2] = time.monotonic()
        engine = SoakEngine(self.checks, random.Random(1), "e1", "127.0.0.1", "m", 1)

        async def play():
            for number in range(CHUNKS):
                engine.stage(number, chunk_content(staged_version, number))
            prepare(engine)
            for version in orders:
                engine.take_and_note({"version": version}, "answered")
                while engine.busy:
                    await asyncio.sleep(0.01)
        asyncio.run(play())
        return engine

    def test_whole_weights(self):
        self.checks.on_run(self.engine(), "chat-1")
        self.assertEqual([], self.rules())

    def test_an_order_that_takes_another_versions_chunks(self):
        engine = self.engine(prepare=lambda engine: engine.stage(2, chunk_content(3, 2)))
        self.assertEqual([], self.rules())
        self.checks.on_run(engine, "chat-1")
        self.assertEqual(["WHOLE"], self.rules())
        self.assertIn("{2: 'of another version'}", self.checks.violations[0])
        self.assertIn("order to start version 2", self.checks.violations[0])

    def test_a_chunk_that_every_version_shares(self):
        self.checks.on_run(
            self.engine(prepare=lambda engine: engine.stage(1, chunk_content(3, 1))), "c-1")
        self.assertEqual([], self.rules())

    def test_a_missing_chunk(self):
        engine = self.engine(prepare=lambda engine: engine.staged.pop(5))
        self.checks.on_run(engine, "chat-1")
        self.assertEqual(["WHOLE"], self.rules())

    def test_what_is_written_after_the_order_was_taken(self):
        engine = self.engine()
        engine.stage(2, chunk_content(3, 2))
        self.checks.on_run(engine, "chat-1")
        self.assertEqual([], self.rules())

    def test_a_mixture_that_serves_nobody(self):
        engine = self.engine(orders=(2, 1))
        self.assertEqual({0, 2, 4, 6}, set(engine.wrong_chunks))
        self.assertEqual([], self.rules())

    def spoil(self, seconds_ago):
        def prepare(engine):
            engine.spoil(2)
            engine.turned_bad[2] -= seconds_ago
        return prepare

    def test_a_chunk_that_has_just_turned_bad(self):
        self.checks.on_run(self.engine(prepare=self.spoil(TURNED_BAD_S - 1)), "chat-1")
        self.assertEqual([], self.rules())

    def test_a_chunk_that_turned_bad_long_ago(self):
        self.checks.on_run(self.engine(prepare=self.spoil(TURNED_BAD_S + 1)), "chat-1")
        self.assertEqual(["WHOLE"], self.rules())

    def test_no_disturbance_excuses_a_mixture(self):
        engine = self.engine(prepare=lambda engine: engine.stage(2, chunk_content(3, 2)))
        self.checks.disturb(1)
        self.checks.disturb_engines(1)
        self.checks.on_run(engine, "chat-1")
        self.assertEqual(["WHOLE"], self.rules())


class EngineOrdersTest(HistoryTest):
    """The stand-in's orders, as the protocol has them."""

    def play(self, steps):
        engine = SoakEngine(self.checks, random.Random(1), "e1", "127.0.0.1", "m", 1)

        async def run():
            return await steps(engine)
        return asyncio.run(run())

    async def settled(self, engine):
        while engine.busy:
            await asyncio.sleep(0.01)

    def test_an_order_that_expects_another_sequence_number(self):
        async def steps(engine):
            statuses = [engine.activate({"version": 2, "expectedRev": 1}),
                        engine.activate({"version": 2, "expectedRev": 0})]
            await self.settled(engine)
            return statuses + [engine.activate({"version": 3, "expectedRev": 0}),
                               engine.activate({"version": 2, "expectedRev": 1})]
        self.assertEqual([409, 202, 409, 200], self.play(steps))

    def test_an_order_during_another(self):
        async def steps(engine):
            return [engine.activate({"version": 2}), engine.activate({"version": 3}), engine.seq]
        self.assertEqual([202, 409, 1], self.play(steps))

    def test_a_restart_forgets_layers_and_orders_and_keeps_what_is_staged(self):
        async def steps(engine):
            await engine.start()
            engine.activate({"version": 2})
            await self.settled(engine)
            staged = dict(engine.staged)
            await engine.start_anew()
            kept = engine.staged == staged
            await engine.stop()
            return kept, engine.version, engine.seq, engine.identity
        self.assertEqual((True, 0, 0, "e1-2"), self.play(steps))

    def test_a_crash_ends_orders_on_their_way(self):
        async def steps(engine):
            await engine.start()
            engine.spawn(engine.take_later({"version": 2}, 0.05))
            await engine.start_anew()
            await asyncio.sleep(0.1)
            await engine.stop()
            return engine.seq
        self.assertEqual(0, self.play(steps))


if __name__ == "__main__":
    unittest.main()
