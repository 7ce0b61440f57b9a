"""Gateway processes before a store that comes back from an older copy of itself.

The copy's revisions are behind those that all processes know, and are given out again. Guards
against changes of the new history that are taken for older than what is known: three engines that
were leaving got requests until their end.

Usage: store_restore_test.py BUILD_FOLDER [TEST...]
"""

import asyncio
import sys
import tempfile
import unittest

from backend_notice_test import DRAIN_LIMIT_S, NoticePlatform
from process_test import known_failures
from three_gateways import GATEWAYS, Platform

CONFIGURATION_LIMIT_S = 2.0
AWAY_S = 0.8
LOST_WRITES = 40  # Writes after the copy was made.


class RestorePlatform(NoticePlatform):
    evacuations = False

    async def start(self):
        await super().start()
        self.store.put("versions", "m", {"model": "m", "version": 1})

    def write_others(self):
        """Changes objects that nobody reads, so that revisions rise."""
        for number in range(LOST_WRITES):
            self.store.put("other", f"o{number % 3}", {"number": number})

    def write_much(self):
        """Changes the entries of all back ends as well."""
        self.write_others()
        for identity, entry in list(self.store.objects["servers"].items()):
            self.store.put("servers", identity, {**entry["spec"], "changed": self.store.revision})

    async def restore(self, older_copy, keeps_watches=False):
        self.store.down = True
        await asyncio.sleep(AWAY_S)
        self.store.restore(older_copy, keeps_watches)
        self.store.down = False


class StoreRestoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        if f"store_restore_test.{type(self).__name__}.{self._testMethodName}" in known_failures():
            self.skipTest("listed in KNOWN-RED.txt")
        self.folder = tempfile.TemporaryDirectory()
        self.platform = RestorePlatform(self.folder.name)
        await self.platform.start()
        self.store = self.platform.store

    async def asyncTearDown(self):
        await self.platform.stop()
        self.folder.cleanup()

    def now(self):
        return asyncio.get_running_loop().time()

    async def check_gets_nothing(self, backend, target, since):
        """No gateway sends to the back end later than the limit after `since`."""
        await asyncio.sleep(max(0, since + DRAIN_LIMIT_S - self.now()))
        responses = await self.platform.load(target, 20, 2)
        self.assertEqual([], backend.arrivals_after(since + DRAIN_LIMIT_S))
        self.assertEqual({200}, {response.status for response, _ in responses})

    async def drain_after_restore(self, backend, service, target, keeps_watches=False):
        older_copy = self.store.copy()
        self.platform.write_much()
        await self.platform.load(target, 10, 1)
        await self.platform.restore(older_copy, keeps_watches)
        await self.platform.load(target, 10, 1.5)
        self.platform.register(backend, service, state="draining")
        await self.check_gets_nothing(backend, target, self.now())

    async def test_an_engine_that_drains_after_the_restore_gets_nothing(self):
        await self.drain_after_restore(self.platform.engines[0], "engines", "/chat/1")

    async def test_a_plain_service_that_drains_after_the_restore_gets_nothing(self):
        await self.drain_after_restore(self.platform.plain[0], "plain", "/read/1")

    async def test_watches_that_survive_the_restore_do_not_hide_changes(self):
        await self.drain_after_restore(self.platform.plain[0], "plain", "/read/1", True)

    async def test_no_watch_begins_before_the_new_list_is_read(self):
        older_copy = self.store.copy()
        self.platform.write_much()
        await asyncio.sleep(1)
        await self.platform.restore(older_copy, keeps_watches=True)
        await asyncio.sleep(2)
        self.assertNotIn(0, self.store.watched_from)

    async def test_changes_below_the_known_revision_are_not_missed(self):
        """The store's revisions pass the known one before any gateway calls it again."""
        backend = self.platform.plain[0]
        older_copy = self.store.copy()
        self.platform.write_much()
        await self.platform.load("/read/1", 10, 1)
        self.store.down = True
        await asyncio.sleep(AWAY_S)
        self.store.restore(older_copy)
        self.platform.register(backend, "plain", state="draining")
        self.platform.write_others()
        self.platform.write_others()
        self.store.down = False
        await self.check_gets_nothing(backend, "/read/1", self.now() + 1)

    async def test_a_back_end_that_left_before_the_restore_stays_left(self):
        """The copy is older than its draining, and it is slow to write it again."""
        backend = self.platform.plain[0]
        older_copy = self.store.copy()
        self.platform.write_much()
        self.platform.register(backend, "plain", state="draining")
        drained_at = self.now()
        await asyncio.sleep(1.5)
        await self.platform.restore(older_copy)
        await self.check_gets_nothing(backend, "/read/1", drained_at)

    async def test_a_restore_twice_in_succession(self):
        first_copy = self.store.copy()
        self.platform.write_much()
        second_copy = self.store.copy()
        self.platform.write_much()
        await self.platform.restore(second_copy)
        await asyncio.sleep(1)
        self.platform.write_much()
        await self.platform.restore(first_copy)
        await asyncio.sleep(1)
        backend = self.platform.plain[0]
        self.platform.register(backend, "plain", state="draining")
        await self.check_gets_nothing(backend, "/read/1", self.now())

    async def test_a_back_end_that_starts_after_the_restore_is_used(self):
        older_copy = self.store.copy()
        self.platform.write_much()
        await asyncio.sleep(1)
        await self.platform.restore(older_copy)
        backend = self.platform.plain[0]
        self.store.delete("servers", backend.identity)
        backend.identity = "p3"
        self.platform.register(backend, "plain")
        started_at = self.now()
        await asyncio.sleep(2)
        await self.platform.load("/read/1", 20, 1)
        self.assertGreater(len(backend.arrivals_after(started_at + 2)), 0)
        self.assertIn("p3", {r.get("x-pumicemast-expect-instance") for r in backend.requests})

    async def test_a_configuration_after_the_restore_is_in_force_and_none_reverts(self):
        older_copy = self.store.copy()
        self.platform.configure(5, [Platform.route("/lost/", "safe", "plain", 2)])
        self.platform.write_much()
        await asyncio.sleep(1)
        await self.platform.restore(older_copy)
        await asyncio.sleep(1)
        await self.check_routes(["/lost/"])  # Accepted, though the copy does not have it.
        self.platform.configure(7, [Platform.route("/lost/", "safe", "plain", 2),
                                    Platform.route("/new/", "safe", "plain", 2)])
        await asyncio.sleep(CONFIGURATION_LIMIT_S)
        await self.check_routes(["/lost/", "/new/"])

    async def check_routes(self, prefixes):
        for host in GATEWAYS:
            for prefix in prefixes:
                response = await self.platform.call("GET", prefix + "1", host=host,
                                                    port=self.platform.caller_ports[host])
                self.assertEqual(200, response.status, f"{prefix} at {host}")

    async def test_weights_named_after_the_restore_reach_the_engines(self):
        older_copy = self.store.copy()
        self.platform.write_much()
        await asyncio.sleep(1)
        await self.platform.restore(older_copy)
        await asyncio.sleep(1)
        self.platform.origin.newest = 2
        self.store.put("versions", "m", {"model": "m", "version": 2})
        await self.platform.wait(
            lambda: all(engine.version == 2 for engine in self.platform.engines), 10)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], *sys.argv[2:]], verbosity=2)
