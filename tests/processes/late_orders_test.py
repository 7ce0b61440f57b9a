"""An agent process beside an engine that leaves orders to start weights without an answer.

Usage: late_orders_test.py BUILD_FOLDER [TEST...]
"""

import asyncio
import signal
import sys
import tempfile
import unittest

from platform_standin import CHUNKS, Runner, piece
from platform_test import Platform


class LateOrders:
    """Leaves an engine's orders unanswered, to be carried out later."""

    def __init__(self, engine):
        self.engine = engine
        self.orders = []
        self.held = True
        self.never = asyncio.Event()
        engine.answer_order = self.answer_order

    async def answer_order(self, writer, order):
        if not self.held:
            await Runner.answer_order(self.engine, writer, order)
            return
        self.orders.append(order)
        await self.never.wait()


class LateOrdersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform(self.folder.name)
        await self.platform.start()
        self.engine = self.platform.engines[0]
        self.agent = self.platform.processes[0]
        self.late = LateOrders(self.engine)

    async def asyncTearDown(self):
        await self.platform.stop()
        self.folder.cleanup()

    async def name(self, version):
        self.platform.origin.newest = version
        self.platform.store.put("versions", "m", {"model": "m", "version": version})

    async def ordered(self):
        return bool(self.late.orders)

    def assert_whole(self):
        for order, taken in zip(self.engine.orders, self.engine.taken, strict=True):
            self.assertEqual({n: piece(order["version"], n) for n in range(CHUNKS)}, taken)

    async def test_an_order_carried_out_late_takes_only_what_it_names(self):
        await self.name(2)
        await self.platform.wait(self.ordered, 10)
        await self.name(3)
        await asyncio.sleep(1.5)
        for order in self.late.orders[:1]:
            self.engine.take(order)
        self.assert_whole()
        self.late.held = False
        await self.platform.wait(lambda: self.engine.version == 3, 10)
        for order in self.late.orders[1:]:
            self.assertEqual(409, self.engine.take(order))
        self.assert_whole()

    async def test_a_stopping_agent_settles_its_order(self):
        """Otherwise its successor, which knows of no order, writes over what it still takes."""
        await self.name(2)
        await self.platform.wait(self.ordered, 10)
        self.agent.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        self.assertIsNone(self.agent.poll())
        self.late.held = False
        await self.platform.wait(lambda: self.agent.poll() is not None, 4)
        self.assertEqual(0, self.agent.poll())
        self.assertEqual(2, self.engine.version)
        for order in self.late.orders:
            self.assertEqual(409, self.engine.take(order))
        self.assert_whole()

    async def test_a_stopping_agent_does_not_wait_for_good(self):
        await self.name(2)
        await self.platform.wait(self.ordered, 10)
        self.agent.send_signal(signal.SIGTERM)
        await self.platform.wait(lambda: self.agent.poll() is not None, 4)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], *sys.argv[2:]])
