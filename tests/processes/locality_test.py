"""Gateway processes in front of back ends in two regions: allowed regions, evacuated zones and cold
back ends.

Guards against requests that run outside the regions that their route or tenant allows, against
requests that are sent to a zone after its evacuation was accepted, and against gateways that
together send a back end more than it bears after its start.

Usage: locality_test.py BUILD_FOLDER [TEST...]
"""

import asyncio
import sys
import tempfile
import time
import unittest

from platform_test import Platform
from process_test import known_failures
from rate_limit_test import RateLimitedBackend

# Time after which all gateways must know a change of the store.
KNOWN_WITHIN_S = 1.0
# Longest time that a refusal of a request that can't be served may take.
REFUSED_WITHIN_S = 0.2
COLD_RATE_PER_S = 5
COLD_S = 4.0
# Most requests that a cold back end may get in one second, as its operators state it.
COLD_BOUND = COLD_RATE_PER_S * 1.5 + 5
MAXIMUM_RETURNS = 4
KINDS = [("POST", "/chat/1"), ("POST", "/write/1"), ("GET", "/read/1")]


class TwoRegions(Platform):
    """The back ends 1 are in zone z1 of region r1, the back ends 2 in z2 of r2."""

    def __init__(self, folder):
        super().__init__(folder)
        self.zones = {"p2": "z2", "e2": "z2"}
        self.evacuations = True

    def restrict(self, version, route_regions, tenant_regions=()):
        self.tenant_fields = {"allowedRegions": list(tenant_regions)}
        self.route_fields = {"allowedRegions": list(route_regions)}
        self.configure(version)

    def ran_in(self, zone):
        backends = [*self.plain, *self.engines]
        return sum(len(backend.requests) for backend in backends
                   if self.zones.get(backend.identity, "z1") == zone)

    async def call_second(self, method, target):
        return await self.call(method, target, host="127.0.0.2", port=self.second_callers)

    async def call_until_served(self, call, method, target):
        """Like callers, comes back after the time that a refusal states."""
        for _ in range(MAXIMUM_RETURNS):
            response = await call(method, target)
            if response.status != 503:
                return response
            await asyncio.sleep(float(response.headers["retry-after"]))
        return response

    async def outcomes(self, zone):
        """Sends each kind of request through both gateways.

        Returns the statuses and bodies of those not served, and how many ran outside this zone.
        """
        other = "z1" if zone == "z2" else "z2"
        before = self.ran_in(other)
        responses = [(method, target, await self.call_until_served(call, method, target))
                     for method, target in KINDS * 2 for call in (self.call, self.call_second)]
        failed = [(method, target, r.status, r.body) for method, target, r in responses
                  if r.status != 200]
        return failed, self.ran_in(other) - before


class LocalityTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        if f"locality_test.{type(self).__name__}.{self._testMethodName}" in known_failures():
            self.skipTest("listed in KNOWN-RED.txt")
        self.folder = tempfile.TemporaryDirectory()
        self.platform = TwoRegions(self.folder.name)
        await self.platform.start()
        self.second = self.platform.run_gateway_without_store()
        await self.platform.wait(self.platform.second_is_ready)

    async def asyncTearDown(self):
        await self.platform.stop()
        self.folder.cleanup()

    async def assert_refused(self, method, target):
        begun = time.monotonic()
        response = await self.platform.call(method, target)
        self.assertEqual(503, response.status)
        self.assertLess(time.monotonic() - begun, REFUSED_WITHIN_S)
        self.assertGreater(float(response.headers["retry-after"]), 0)
        return response.body

    async def test_requests_run_in_the_allowed_regions_only(self):
        platform = self.platform
        for version, zone, route, tenant in [(2, "z2", ["r2"], []), (3, "z1", ["r1"], []),
                                             (4, "z2", ["r1", "r2"], ["r2", "r3"]),
                                             (5, "z1", [], ["r1"])]:
            platform.restrict(version, route, tenant)
            await asyncio.sleep(KNOWN_WITHIN_S)
            self.assertEqual(([], 0), await platform.outcomes(zone), f"version {version}")

    async def test_a_request_without_an_allowed_region_is_refused_at_once(self):
        platform = self.platform
        for version, route, tenant in [(2, ["r3"], []), (3, ["r1"], ["r2"]), (4, ["unknown"], [])]:
            platform.restrict(version, route, tenant)
            await asyncio.sleep(KNOWN_WITHIN_S)
            for method, target in KINDS:
                self.assertEqual(b"region_not_allowed", await self.assert_refused(method, target))
        findings = await platform.metric("pumicemast_gateway_locality_findings_total",
                                         platform.metrics_port)
        self.assertEqual(1, findings)

    async def test_an_answer_that_breaks_off_is_not_resumed_in_another_region(self):
        platform = self.platform
        platform.restrict(2, ["r2"])
        await asyncio.sleep(KNOWN_WITHIN_S)
        platform.engines[1].mode = "break"
        before = platform.ran_in("z1")
        response = await platform.call("POST", "/chat/1")
        self.assertFalse(response.complete)
        self.assertEqual(before, platform.ran_in("z1"))

    async def test_an_evacuated_zone_gets_nothing_until_it_is_taken_back(self):
        platform = self.platform
        platform.restrict(2, ["r1", "r2"])
        for _ in range(2):
            platform.store.put("evacuations", "z1", {})
            await asyncio.sleep(KNOWN_WITHIN_S)
            self.assertEqual(([], 0), await platform.outcomes("z2"))
            platform.store.delete("evacuations", "z1")
            await asyncio.sleep(KNOWN_WITHIN_S)
            before = platform.ran_in("z1")
            for _ in range(4):
                await platform.call("GET", "/read/1")
            self.assertGreater(platform.ran_in("z1"), before)

    async def test_an_evacuation_outlasts_the_store_and_restarts(self):
        platform = self.platform
        platform.store.put("evacuations", "z1", {})
        await asyncio.sleep(KNOWN_WITHIN_S)
        platform.store.down = True
        self.second.kill()
        self.second.wait()
        self.second = platform.run_gateway_without_store()
        await platform.wait(platform.second_is_ready)
        await asyncio.sleep(KNOWN_WITHIN_S)
        self.assertEqual(([], 0), await platform.outcomes("z2"))
        platform.store.down = False
        await asyncio.sleep(3 * KNOWN_WITHIN_S)
        self.assertEqual(([], 0), await platform.outcomes("z2"))

    async def test_with_every_zone_evacuated_requests_are_refused_at_once(self):
        platform = self.platform
        for zone in ("z1", "z2", "z3", "unknown"):
            platform.store.put("evacuations", zone, {})
        await asyncio.sleep(KNOWN_WITHIN_S)
        for method, target in KINDS:
            self.assertEqual(b"zone_evacuated", await self.assert_refused(method, target))


class ColdBackendTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        if f"locality_test.{type(self).__name__}.{self._testMethodName}" in known_failures():
            self.skipTest("listed in KNOWN-RED.txt")
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform(self.folder.name)
        self.platform.plain_fields = {"coldPerS": COLD_RATE_PER_S, "coldStartS": COLD_S}
        await self.platform.start()
        self.second = self.platform.run_gateway_without_store()
        await self.platform.wait(self.platform.second_is_ready)

    async def asyncTearDown(self):
        await self.platform.stop()
        self.folder.cleanup()

    async def test_all_gateways_together_keep_the_rate_of_a_cold_back_end(self):
        platform = self.platform
        cold = RateLimitedBackend("p3", "127.0.0.1")
        await cold.start()
        platform.plain.append(cold)
        platform.cold_left_ms["p3"] = int(COLD_S * 1000)
        begun = time.monotonic()
        platform.register(cold, "plain")
        for backend in platform.plain[:2]:
            platform.store.delete("servers", backend.identity)

        async def caller(call):
            while time.monotonic() - begun < COLD_S:
                await call("GET", "/read/1")
                await asyncio.sleep(0.02)

        second = {"host": "127.0.0.2", "port": platform.second_callers}
        await asyncio.gather(*[caller(platform.call) for _ in range(8)],
                             *[caller(lambda *a: platform.call(*a, **second)) for _ in range(8)])
        times = [at for at in cold.arrivals if at < begun + COLD_S]
        busiest = max(sum(1 for other in times if at <= other < at + 1) for at in times)
        self.assertLessEqual(busiest, COLD_BOUND)
        # The permitted rate is used: a cold back end is not left alone.
        self.assertGreaterEqual(len(times), COLD_RATE_PER_S * (COLD_S - 2.5) / 2)

        async def is_warm():
            return (await platform.call("GET", "/read/1")).status == 200
        await platform.wait(is_warm, 3)


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1] + sys.argv[2:])
