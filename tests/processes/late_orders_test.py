"""An agent process next to an engine that leaves start orders for new weights unanswered.

Usage: late_orders_test.py BUILD_FOLDER [TEST...]
"""

import asyncio
import signal
import sys
import tempfile
import unittest

from platform_standin import CHUNKS, Backend, chunk_content
from platform_test import Platform


class WithheldOrders:
    """Leaves the start orders to an engine unanswered and keeps them, to be carried out later."""

    def __init__(self, engine):
        self.engine = engine
        self.orders = []
        self.is_withholding = True
        self.never_set = asyncio.Event()
        engine.handle_order = self.handle_order

    async def handle_order(self, writer, order):
        if not self.is_withholding:
            await Backend.handle_order(self.engine, writer, order)
            return
        self.orders.append(order)
        await self.never_set.wait()


class LateOrdersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform(self.folder.name)
        await self.platform.start()
        self.engine = self.platform.engines[0]
        self.agent = self.platform.processes[0]
        self.withheld = WithheldOrders(self.engine)

    async def asyncTearDown(self):
        await self.platform.stop()
        self.folder.cleanup()

    async def name_version(self, version):
        self.platform.origin.newest = version
        self.platform.store.put("versions", "m", {"model": "m", "version": version})

    async def order_received(self):
        return bool(self.withheld.orders)

    def assert_versions_unmixed(self):
        for order, chunks in zip(self.engine.orders, self.engine.activated_chunks, strict=True):
            self.assertEqual({n: chunk_content(order["version"], n) for n in range(CHUNKS)}, chunks)

    async def test_a_late_order_activates_only_its_own_version(self):
        await self.name_version(2)
        await self.platform.wait(self.order_received, 10)
        await self.name_version(3)
        await asyncio.sleep(1.5)
        for order in self.withheld.orders[:1]:
            self.engine.activate(order)
        self.assert_versions_unmixed()
        self.withheld.is_withholding = False
        await self.platform.wait(lambda: self.engine.version == 3, 10)
        for order in self.withheld.orders[1:]:
            self.assertEqual(409, self.engine.activate(order))
        self.assert_versions_unmixed()

    async def test_a_stopping_agent_settles_its_order(self):
        """Otherwise its successor, which does not know of the order, overwrites staged chunks that
        the engine may still activate."""
        await self.name_version(2)
        await self.platform.wait(self.order_received, 10)
        self.agent.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        self.assertIsNone(self.agent.poll())
        self.withheld.is_withholding = False
        await self.platform.wait(lambda: self.agent.poll() is not None, 4)
        self.assertEqual(0, self.agent.poll())
        self.assertEqual(2, self.engine.version)
        for order in self.withheld.orders:
            self.assertEqual(409, self.engine.activate(order))
        self.assert_versions_unmixed()

    async def test_a_stopping_agent_does_not_wait_forever(self):
        await self.name_version(2)
        await self.platform.wait(self.order_received, 10)
        self.agent.send_signal(signal.SIGTERM)
        await self.platform.wait(lambda: self.agent.poll() is not None, 4)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], *sys.argv[2:]])
