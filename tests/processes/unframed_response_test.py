"""Gateway processes in front of back ends whose responses have neither a length nor chunks.

Guards against a gateway that takes the close of such a response for its end: callers got streams
that ended inside an event, framed as complete.

Usage: unframed_response_test.py BUILD_FOLDER [TEST...]
"""

import asyncio
import re
import sys
import tempfile
import unittest

from platform_test import COMPLETE_STREAM, Platform
from process_test import known_failures

STREAMS = 20


class UnframedResponseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        name = f"unframed_response_test.{type(self).__name__}.{self._testMethodName}"
        if name in known_failures():
            self.skipTest("listed in KNOWN-RED.txt")
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform(self.folder.name)
        await self.platform.start()
        self.platform.configure(2, [Platform.route("/once/", "stream", "engines", 2)])
        await self.platform.wait(self.serves_once)
        for backend in [*self.platform.plain, *self.platform.engines]:
            backend.framed = False
            backend.requests.clear()

    async def asyncTearDown(self):
        await self.platform.stop()
        self.folder.cleanup()

    async def serves_once(self):
        return (await self.platform.call("POST", "/once/1")).status == 200

    def break_all_engines(self):
        for engine in self.platform.engines:
            engine.mode = "break"

    def runs(self, backends):
        return sum(len(backend.requests) for backend in backends)

    async def metric(self, name):
        return await self.platform.metric(name, self.platform.metrics_port)

    async def test_complete_responses_are_relayed_whole_and_not_repeated(self):
        streams = await asyncio.gather(
            *(self.platform.call("POST", f"/{route}/{number}") for number in range(STREAMS)
              for route in ("chat", "once")))
        plain = await asyncio.gather(
            *(self.platform.call("GET", f"/{route}/{number}") for number in range(STREAMS)
              for route in ("read", "write")))
        for response in streams:
            if response.status == 503:  # Both engines are full.
                continue
            self.assertEqual((200, COMPLETE_STREAM, True),
                             (response.status, response.body, response.complete))
        for response in plain:
            self.assertEqual((200, True), (response.status, response.complete))
            self.assertIn(response.body, (b"from p1", b"from p2"))
        self.assertEqual(sum(response.status == 200 for response in streams),
                         self.runs(self.platform.engines))
        self.assertEqual(len(plain), self.runs(self.platform.plain))
        self.assertEqual(0, await self.metric("pumicemast_gateway_resumes"))
        self.assertEqual(0, await self.metric("pumicemast_gateway_repeats"))

    async def test_a_stream_that_ends_inside_an_event_is_resumed(self):
        self.platform.engines[0].mode = "break"
        responses = [await self.platform.call("POST", "/chat/1") for _ in range(6)]
        for response in responses:
            self.assertEqual((200, COMPLETE_STREAM, True),
                             (response.status, response.body, response.complete))
        self.assertEqual("whole", self.platform.engines[0].mode)  # It broke off one of them.

    async def test_a_stream_that_two_engines_cut_off_is_broken_off_after_a_complete_event(self):
        self.break_all_engines()
        response = await self.platform.call("POST", "/chat/1")
        self.assertEqual((200, False), (response.status, response.complete))
        self.assertTrue(COMPLETE_STREAM.startswith(response.body))
        self.assertTrue(response.body.endswith(b"\n\n"))
        self.assertEqual(2, self.runs(self.platform.engines))

    async def test_a_stream_that_cannot_be_resumed_is_broken_off(self):
        self.break_all_engines()
        response = await self.platform.call("POST", "/once/1")
        self.assertEqual((200, False), (response.status, response.complete))
        self.assertEqual(1, self.runs(self.platform.engines))

    async def call_until_exit(self, method, target, backend):
        """Sends requests until one of them has reached the back end, which exits under it."""
        backend.mode = "exit"
        ran = len(backend.requests)
        for _ in range(10):
            response = await self.platform.call(method, target)
            if len(backend.requests) > ran:
                return response
        raise AssertionError(f"no request reached {backend.identity}")

    async def test_a_stream_whose_engine_exits_between_events_is_resumed(self):
        response = await self.call_until_exit("POST", "/chat/1", self.platform.engines[0])
        self.assertEqual((200, COMPLETE_STREAM, True),
                         (response.status, response.body, response.complete))

    async def test_a_stream_whose_engine_exits_between_events_is_broken_off(self):
        response = await self.call_until_exit("POST", "/once/1", self.platform.engines[0])
        self.assertEqual((200, False), (response.status, response.complete))

    async def test_a_stream_whose_engine_exits_after_its_agent_is_resumed(self):
        engine, agent = self.platform.engines[0], self.platform.processes[0]
        engine.event_gap = 0.3
        killed = []

        def kill_agent(_):
            if engine.requests and not killed:
                agent.kill()
                killed.append(agent.wait())
        engine.mode = "exit"
        for _ in range(10):
            response = await self.platform.call("POST", "/chat/1", on_event=kill_agent)
            if killed:
                break
        self.assertTrue(killed)
        self.assertEqual((200, COMPLETE_STREAM, True),
                         (response.status, response.body, response.complete))

    async def test_a_stream_cut_off_by_the_exit_of_a_leaving_engine_is_resumed(self):
        engine = self.platform.engines[0]
        engine.on_request_started = lambda headers: setattr(engine, "leaving", True)
        response = await self.call_until_exit("POST", "/chat/1", self.platform.engines[0])
        self.assertEqual((200, COMPLETE_STREAM, True),
                         (response.status, response.body, response.complete))

    async def test_a_part_of_a_plain_response_whose_service_exits_is_not_relayed(self):
        first, second = self.platform.plain
        response = await self.call_until_exit("GET", "/read/1", first)
        self.assertEqual((200, b"from p2", True),
                         (response.status, response.body, response.complete))
        response = await self.call_until_exit("GET", "/write/1", second)
        self.assertEqual(502, response.status)

    async def test_a_part_of_a_plain_response_whose_leaving_service_exits_is_not_relayed(self):
        first = self.platform.plain[0]
        first.on_request_started = lambda headers: setattr(first, "leaving", True)
        response = await self.call_until_exit("GET", "/read/1", first)
        self.assertEqual((200, b"from p2", True),
                         (response.status, response.body, response.complete))

    async def test_a_part_of_a_plain_response_of_a_leaving_service_is_no_success(self):
        second = self.platform.plain[1]
        second.on_request_started = lambda headers: setattr(second, "leaving", True)
        response = await self.call_until_exit("GET", "/write/1", second)
        self.assertEqual(502, response.status)

    async def test_a_request_id_leads_to_a_truncated_response(self):
        self.break_all_engines()
        await self.platform.call("POST", "/once/1", {"X-Pumicemast-Request-Id": "cut-1"})
        log = self.platform.folder / "gateway.log"

        def is_logged():
            text = log.read_text(errors="replace")
            return re.search(r"request id=cut-1 event=inferred_end backends=e\d .*"
                             r"partial_bytes=[1-9]", text) and \
                re.search(r"request id=cut-1 event=inferred_end_verdict backends=e\d "
                          r"verdict=cut evidence=content", text) and \
                re.search(r"request id=cut-1 outcome=aborted reason=backend_failed", text)
        await self.platform.wait(is_logged, 5)
        self.assertEqual(1, await self.metric(
            'pumicemast_gateway_inferred_ends_total{at="inside_event"}'))


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], *sys.argv[2:]], verbosity=2)
