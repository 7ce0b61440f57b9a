"""Gateway processes in front of back ends that send a rate limit for all gateways together.

Guards against gateways that ignore such limits. A limited engine has an empty queue and free slots,
so that every gateway preferred it: an engine with a limit of 1 request per second still got 21
requests in 4 s, three seconds after it had sent the limit to the same gateways. The limit was in
the responses that they relayed, but changed neither their logs or metrics nor the engine's share of
the requests.

Usage: rate_limit_test.py BUILD_FOLDER [TEST...]
"""

import asyncio
import sys
import tempfile
import unittest

from platform_standin import Backend
from process_test import known_failures
from three_gateways import GATEWAYS, ThreeGatewayPlatform

WINDOW_S = 4.0
# Time until all gateways keep a limit that was sent to one of them.
SETTLE_S = 1.0
# Requests allowed above the rate in a window.
ALLOWED_BURST = 2


class RateLimitedBackend(Backend):
    """Sends its limit, if any, in responses and records the arrival times of requests."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.limit = None
        self.arrivals = []
        self.running = 0

    def head(self, headers, extra=(), status=200):
        fields = super().head(headers, extra, status)
        if self.limit is not None:
            fields["Server-Limit"] = self.limit
        return fields

    async def run(self, writer, method, target, headers):
        self.arrivals.append(asyncio.get_running_loop().time())
        self.running += 1
        try:
            await super().run(writer, method, target, headers)
        finally:
            self.running -= 1

    def report(self):
        return {**super().report(), "running": self.running}

    def max_arrivals_in_window(self, since, until):
        """The largest number of arrivals in any window of WINDOW_S in the time span."""
        times = [at for at in self.arrivals if since <= at <= until]
        return max((sum(1 for other in times if at <= other < at + WINDOW_S) for at in times),
                   default=0)

    def arrival_count(self, since, until):
        return sum(1 for at in self.arrivals if since <= at <= until)


class RateLimitedPlatform(ThreeGatewayPlatform):
    backend_class = RateLimitedBackend


class RateLimitTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        if f"rate_limit_test.{type(self).__name__}.{self._testMethodName}" in known_failures():
            self.skipTest("listed in KNOWN-RED.txt")
        self.folder = tempfile.TemporaryDirectory()
        self.platform = RateLimitedPlatform(self.folder.name)
        await self.platform.start()

    async def asyncTearDown(self):
        await self.platform.stop()
        self.folder.cleanup()

    def now(self):
        return asyncio.get_running_loop().time()

    async def load(self, target, rate, seconds):
        return await self.platform.load(target, rate, seconds)

    async def load_limited(self, backends, target, limit, rate, seconds):
        """Sets the limit of all `backends` and runs load.

        Returns the responses after SETTLE_S, from when on the limit must hold, and the start and
        end of that time span.
        """
        for backend in backends:
            backend.limit = limit
        await self.load(target, rate, SETTLE_S)
        since = self.now()
        responses = await self.load(target, rate, seconds)
        return responses, since, since + seconds

    async def test_a_limited_engine_stays_within_its_limit_and_others_serve_the_rest(self):
        engine = self.platform.engines[0]
        responses, since, until = await self.load_limited([engine], "/chat/1", 1, 15, 8)
        self.assertLessEqual(engine.max_arrivals_in_window(since, until),
                             1 * WINDOW_S + ALLOWED_BURST)
        served = sum(1 for response, _ in responses if response.status == 200 and response.complete)
        self.assertGreaterEqual(served, 0.95 * len(responses))

    async def check_all_limited(self, backends, target, limit, rate, seconds):
        responses, since, until = await self.load_limited(backends, target, limit, rate, seconds)
        for backend in backends:
            self.assertLessEqual(backend.max_arrivals_in_window(since, until),
                                 limit * WINDOW_S + ALLOWED_BURST)
            self.assertGreaterEqual(backend.arrival_count(since, until), 0.9 * limit * seconds)
        refused = [(response, duration_s) for response, duration_s in responses
                   if response.status == 503]
        self.assertGreater(len(refused), 0)
        for response, duration_s in refused:
            self.assertGreater(float(response.headers["retry-after"]), 0)
            self.assertLess(duration_s, 1)

    async def test_limits_of_all_engines_are_kept_and_used(self):
        await self.check_all_limited(self.platform.engines, "/chat/1", 2, 20, 10)

    async def test_limits_of_plain_services_are_kept_and_used(self):
        await self.check_all_limited(self.platform.plain, "/read/1", 3, 30, 10)

    async def test_a_limit_no_longer_sent_in_responses_is_lifted(self):
        engines = self.platform.engines
        await self.load_limited(engines, "/chat/1", 2, 20, 3)
        for engine in engines:
            engine.limit = None
        await self.load("/chat/1", 10, 2)
        responses = await self.load("/chat/1", 10, 3)
        served = sum(1 for response, _ in responses if response.status == 200 and response.complete)
        self.assertGreaterEqual(served, 0.95 * len(responses))

    async def test_malformed_limits_change_nothing(self):
        await self.load("/chat/1", 10, 1)
        for limit in ("nan", "-3", "1e300", "2 a second", "0x2", ""):
            for engine in self.platform.engines:
                engine.limit = limit
            responses = await self.load("/chat/1", 10, 1)
            statuses = {(response.status, response.body[:40]) for response, _ in responses
                        if response.status != 200 or not response.complete}
            self.assertEqual(set(), statuses, limit)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], *sys.argv[2:]], verbosity=2)
