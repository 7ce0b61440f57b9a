"""A gateway process in front of engines that stop inside the head of a response and close.

Guards against a gateway that frames such a response as complete, with an empty or a short body.

Usage: cut_head_test.py BUILD_FOLDER [TEST...]
"""

import sys
import tempfile
import unittest

from platform_test import COMPLETE_STREAM, Platform
from process_test import known_failures

HEAD = (b"HTTP/1.1 200 OK\r\nX-Pumicemast-Response-Signature: sig-e1\r\n"
        b"Content-Type: text/event-stream\r\n\r\n")
PARTS = [b"", b"HTTP/1.", b"HTTP/1.1 200 OK\r\n", HEAD[:40], HEAD[:-4], HEAD[:-2], HEAD[:-1],
         b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD[:40]]


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        if f"cut_head_test.{type(self).__name__}.{self._testMethodName}" in known_failures():
            self.skipTest("listed in KNOWN-RED.txt")
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform(self.folder.name)
        await self.platform.start()
        self.platform.configure(2, [Platform.route("/once/", "stream", "engines", 2)])

        async def serves_once():
            return (await self.platform.call("POST", "/once/1")).status == 200
        await self.platform.wait(serves_once)
        self.cuts = 0

    async def asyncTearDown(self):
        await self.platform.stop()
        self.folder.cleanup()

    def cut(self, engine, part, only_resumptions=False):
        """Lets the engine stop after a part of the head of a response, once."""
        run = type(engine).run

        async def run_once(writer, method, target, headers):
            if only_resumptions and "last-event-id" not in headers:
                await run(engine, writer, method, target, headers)
                return
            engine.run = run.__get__(engine)
            self.cuts += 1
            writer.write(part)
            await writer.drain()
            engine.framed = False  # Closes the connection in an orderly way.
            engine.end_connection(writer)
            engine.framed = True
        engine.run = run_once

    async def test_a_stream_that_stops_inside_its_head_is_never_complete(self):
        for part in PARTS:
            for target in ("/chat/1", "/once/1"):
                before = self.cuts
                for engine in self.platform.engines:
                    self.cut(engine, part)
                responses = [await self.platform.call("POST", target) for _ in range(4)]
                self.assertGreater(self.cuts, before, part)
                for response in responses:
                    if response.status == 200 and response.complete:
                        self.assertEqual(COMPLETE_STREAM, response.body, (part, target))
                    else:
                        self.assertIn(response.status, (502, 503), (part, target))

    async def test_a_resumption_that_stops_inside_its_head_does_not_end_the_stream(self):
        for number, part in enumerate(PARTS):
            if number > 0:  # Engines that failed would not be used again for a while.
                await self.asyncTearDown()
                await self.asyncSetUp()
            for engine in self.platform.engines:
                self.cut(engine, part, only_resumptions=True)
                engine.mode = "break"
            response = await self.platform.call("POST", "/chat/1")
            self.assertEqual(1, self.cuts, part)
            self.assertEqual((200, False), (response.status, response.complete), part)
            self.assertTrue(COMPLETE_STREAM.startswith(response.body), part)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], *sys.argv[2:]], verbosity=2)
