"""Gateway processes before engines with few slots and routes of different priorities.

Guards against slots that go to the least urgent requests because their gateways hold the credits,
and against requests that are left without an answer, or run twice, when an agent, a gateway or an
engine fails while requests wait for slots.

Usage: slot_queue_test.py BUILD_FOLDER [TEST...]
"""

import asyncio
import collections
import random
import signal
import sys
import tempfile
import unittest

from platform_standin import Backend
from platform_test import ENGINES
from process_test import known_failures
from three_gateways import GATEWAYS, ThreeGatewayPlatform

SLOTS = 3
EVENTS = 10  # Of a response.
RUN_S = 0.1  # Of a request at an engine.
CAPACITY = len(ENGINES) * SLOTS / RUN_S  # Requests per second.
DEADLINE_S = 5
# Callers' and gateways' processor time on a busy machine.
ALLOWED_DELAY_S = 1
# Completed responses after which requests are known to flow beside a failure.
ENOUGH_RESPONSES = 50


class SlotBackend(Backend):
    """Runs SLOTS requests at once; further ones wait in its own queue."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.events, self.event_gap = EVENTS, RUN_S / EVENTS
        self.room = asyncio.Semaphore(SLOTS)
        self.present = 0  # Running or queued.

    def report(self):
        running = min(self.present, SLOTS)
        return {**super().report(), "running": running, "queued": self.present - running}

    async def run(self, writer, method, target, headers):
        if self.model is None:
            await super().run(writer, method, target, headers)
            return
        self.present += 1
        try:
            async with self.room:
                if not writer.is_closing():
                    await super().run(writer, method, target, headers)
        finally:
            self.present -= 1


class SlotPlatform(ThreeGatewayPlatform):
    backend_class = SlotBackend
    slots = SLOTS
    urgent_priority = 0

    def configure(self, version, extra=(), header_timeout_ms=3000):
        urgent = self.route("/urgent/", "stream", "engines", 2, resumable=True)
        once = self.route("/once/", "unsafe", "engines", 1)
        extra = [*extra, *({**route, "priority": self.urgent_priority} for route in (urgent, once))]
        super().configure(version, extra, header_timeout_ms)

    async def slot_requests(self, outcome):
        """The number of slot requests with this outcome at all running gateways."""
        total = 0
        for host in GATEWAYS:
            response = await self.call("GET", "/metrics", host=host, port=self.metrics_ports[host])
            name = f'pumicemast_gateway_slot_requests{{outcome="{outcome}"}}'
            total += sum(float(line.split()[-1]) for line in response.body.decode().splitlines()
                         if line.startswith(name))
        return total


class OnePriorityPlatform(SlotPlatform):
    urgent_priority = 1  # As that of the other routes.


class Load:
    """Sends requests to random routes and gateways until it is stopped."""

    def __init__(self, platform, rate, routes):
        self.platform, self.rate, self.routes = platform, rate, routes
        self.random = random.Random(1)
        self.results = []  # (route, gateway, response or None, seconds)
        self.calls = set()
        self.lost_gateways = set()  # Their callers may lose the connection.
        self.task = asyncio.create_task(self.run())

    async def run(self):
        begin = asyncio.get_running_loop().time()
        number = 0
        while True:
            await asyncio.sleep(max(0, begin + number / self.rate -
                                    asyncio.get_running_loop().time()))
            call = asyncio.create_task(self.call(number))
            self.calls.add(call)
            call.add_done_callback(self.calls.discard)
            number += 1

    async def call(self, number):
        # In a fixed order, the first route of each turn would get most of the slots that have become
        # free since, whatever its priority.
        route, host = self.random.choice(self.routes), self.random.choice(GATEWAYS)
        begin = asyncio.get_running_loop().time()
        try:
            response = await self.platform.call(
                "POST", f"{route}1", host=host, port=self.platform.caller_ports[host],
                headers={"X-Pumicemast-Request-Id": f"{route}{id(self)}-{number}",
                         "X-Pumicemast-Deadline-Ms": str(DEADLINE_S * 1000)})
        except (OSError, IndexError):  # No connection, or one that ended without a response.
            response = None
        self.results.append((route, host, response, asyncio.get_running_loop().time() - begin))

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(*self.calls)

    def served(self, since=0):
        return sum(1 for _, _, response, _ in self.results[since:]
                   if response and response.status == 200 and response.complete)

    def served_parts(self):
        """Per route, the part of its requests that were served."""
        results = collections.defaultdict(list)
        for route, _, response, _ in self.results:
            results[route].append(response is not None and response.status == 200)
        return {route: sum(served) / len(served) for route, served in results.items()}

    async def wait_for_served(self, count=ENOUGH_RESPONSES):
        since = len(self.results)
        await self.platform.wait(lambda: self.served(since) >= count)


class SlotQueueTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        if f"slot_queue_test.{type(self).__name__}.{self._testMethodName}" in known_failures():
            self.skipTest("listed in KNOWN-RED.txt")
        self.folder = tempfile.TemporaryDirectory()

    async def asyncTearDown(self):
        for process in self.platform.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        await self.platform.stop()
        self.folder.cleanup()

    async def start(self, platform_class):
        self.platform = platform_class(self.folder.name)
        await self.platform.start()

    def check_answers(self, load, may_break=False):
        """Every caller got a response, or a 503 with a retry time, within its deadline.

        `may_break`: responses that were running at a lost engine may be incomplete or failed.
        """
        for route, host, response, duration_s in load.results:
            if host in load.lost_gateways and (response is None or not response.complete):
                continue
            self.assertIsNotNone(response, (route, host, duration_s))
            self.assertLess(duration_s, DEADLINE_S + ALLOWED_DELAY_S)
            if response.status == 503:
                self.assertGreater(float(response.headers["retry-after"]), 0)
            elif not may_break or route != "/once/":
                self.assertEqual((200, True), (response.status, response.complete), route)
        runs = collections.Counter(headers["x-pumicemast-request-id"]
                                   for engine in self.platform.engines
                                   for headers in engine.requests)
        twice = {name for name, count in runs.items() if name.startswith("/once/") and count > 1}
        self.assertEqual(set(), twice)

    async def test_the_more_urgent_route_is_served_at_least_as_often(self):
        await self.start(SlotPlatform)
        load = Load(self.platform, 2 * CAPACITY, ["/urgent/", "/chat/"])
        await load.wait_for_served(8 * ENOUGH_RESPONSES)
        await load.stop()
        self.check_answers(load)
        parts = load.served_parts()
        # Without the order both are served alike, at random.
        self.assertGreater(parts["/urgent/"], 1.5 * parts["/chat/"], parts)
        self.assertGreaterEqual(parts["/chat/"], sum(parts.values()) / 2 / 4, parts)
        self.assertGreater(await self.platform.slot_requests("granted"), 0)

    async def test_one_priority_sends_no_slot_requests(self):
        await self.start(OnePriorityPlatform)
        load = Load(self.platform, 2 * CAPACITY, ["/urgent/", "/chat/"])
        await load.wait_for_served(4 * ENOUGH_RESPONSES)
        await load.stop()
        self.assertEqual(0, await self.platform.slot_requests("queued"))
        self.assertEqual(0, await self.platform.slot_requests("granted"))

    async def check_service_returns(self):
        """Both engines run requests again, and at low load everything is served."""
        counts = [len(engine.requests) for engine in self.platform.engines]
        load = Load(self.platform, 0.3 * CAPACITY, ["/urgent/", "/once/", "/chat/"])
        await load.wait_for_served()
        await self.platform.wait(lambda: all(
            len(engine.requests) > count for engine, count in zip(self.platform.engines, counts)))
        since = len(load.results)
        await load.wait_for_served()
        await load.stop()
        refused = [response.status for _, _, response, _ in load.results[since:]
                   if response is None or response.status != 200]
        self.assertLessEqual(len(refused), 0.05 * len(load.results[since:]), refused)

    async def test_a_stopped_and_a_killed_agent(self):
        await self.start(SlotPlatform)
        agent = next(process for process in self.platform.processes
                     if "pumicemast-host" in str(process.args[0]))
        load = Load(self.platform, 1.5 * CAPACITY, ["/urgent/", "/once/", "/chat/"])
        await load.wait_for_served()
        agent.send_signal(signal.SIGSTOP)
        await load.wait_for_served()
        agent.send_signal(signal.SIGCONT)
        await load.wait_for_served()
        agent.kill()
        agent.wait()
        await load.wait_for_served()
        self.platform.run_host(0, self.platform.engines[0])
        await load.wait_for_served()
        await load.stop()
        self.check_answers(load)
        await self.check_service_returns()

    async def test_a_killed_gateway_that_restarts(self):
        await self.start(SlotPlatform)
        host = GATEWAYS[1]
        gateway = next(process for process in self.platform.processes
                       if str(process.args[-1]).endswith(f"gateway-{host}.ini"))
        load = Load(self.platform, 1.5 * CAPACITY, ["/urgent/", "/once/", "/chat/"])
        await load.wait_for_served()
        load.lost_gateways.add(host)
        gateway.kill()
        gateway.wait()
        await load.wait_for_served()
        self.platform.run_another_gateway(host)
        await self.platform.wait(lambda: self.platform.serves(host, "/urgent/1"))
        await load.wait_for_served()
        await load.stop()
        self.check_answers(load)
        await self.check_service_returns()

    async def test_a_lost_engine_that_returns(self):
        await self.start(SlotPlatform)
        engine = self.platform.engines[0]
        load = Load(self.platform, 1.5 * CAPACITY, ["/urgent/", "/once/", "/chat/"])
        await load.wait_for_served()
        await engine.stop()
        await load.wait_for_served()
        await engine.start()
        await load.wait_for_served()
        await load.stop()
        self.check_answers(load, may_break=True)
        await self.check_service_returns()


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], *sys.argv[2:]], verbosity=2)
