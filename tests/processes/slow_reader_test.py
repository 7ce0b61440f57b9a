"""A gateway with a memory budget in front of callers that read slowly.

Guards against a gateway that holds up to 2 MB for each caller that does not read, exceeds the memory
of its process with a hundred of them, and cuts off callers that would have read on.

Usage: slow_reader_test.py BUILD_FOLDER [TEST...]
"""

import asyncio
import re
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from platform_standin import Backend
from platform_test import ROOT, Platform
from process_test import known_failures

SLOW_READERS = 100
READERS_IN_TIME = 10
EVENTS = 64
EVENT_BYTES = 64 * 1024
PLAIN_BYTES = 900 * 1024
SMALL_BYTES = 30 * 1024  # Fits into the gateway's socket buffer, and not into the caller's.
SMALL_RECEIVE_BUFFER = 4 * 1024
DEADLINE = {"X-Pumicemast-Deadline-Ms": "50000"}


class LargeBackend(Backend):
    """Sends large responses whose content depends on the request: streams below /feed/."""

    events = EVENTS

    async def run(self, writer, method, target, headers):
        self.model = "m" if target.startswith("/feed/") else None
        self.event_gap = 0
        self.events = EVENTS
        await super().run(writer, method, target, headers)

    def event(self, headers, number):
        return large_event(headers["x-pumicemast-request-id"], number)

    def plain_body(self, headers):
        return plain_content(headers["x-pumicemast-request-id"])


def large_event(request, number):
    text = f"{request}-{number}-"
    return f"id: {number}\ndata: {text * (EVENT_BYTES // len(text))}\n\n".encode()


def plain_content(request):
    size = SMALL_BYTES if request.startswith("small") else PLAIN_BYTES
    return (request.encode() + b" ") * (size // (len(request) + 1))


def stream_content(request):
    return b"".join(large_event(request, number) for number in range(1, EVENTS + 1))


class SlowReaderPlatform(Platform):
    slots = 8 * SLOW_READERS

    async def start(self):
        await super().start()
        for index, replaced in enumerate(self.plain):
            await replaced.stop()
            self.plain[index] = LargeBackend(replaced.identity)
            self.plain[index].port = replaced.port
            await self.plain[index].start()

        async def answers():
            return (await self.call("GET", "/read/1", {"X-Pumicemast-Request-Id": "q"})).complete
        await self.wait(answers)

    def configure(self, version, extra=(), header_timeout_ms=3000):
        feed = self.route("/feed/", "stream", "plain", 3, resumable=True)
        self.route_fields = {"timeoutMs": 50000}
        super().configure(version, [feed, *extra], header_timeout_ms)

    async def open_slow_reader(self, target, request, receive_buffer=64 * 1024):
        """Sends a request with a small receive buffer, and reads nothing yet."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, ("127.0.0.1", self.callers))
        reader, writer = await asyncio.open_connection(sock=connection, limit=64 * 1024)
        self.request_ahead(writer, target, request)
        return reader, writer

    @staticmethod
    def request_ahead(writer, target, request):
        writer.write((f"GET {target} HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key\r\n"
                      f"X-Pumicemast-Request-Id: {request}\r\nX-Pumicemast-Deadline-Ms: 50000\r\n"
                      "\r\n").encode())

    async def value(self, name):
        return await self.metric(name, self.metrics_port)

    async def held_bytes(self):
        text = (await self.call("GET", "/metrics", port=self.metrics_port)).body.decode()
        found = re.findall(r"^pumicemast_gateway_held_bytes\{.*\} (\S+)$", text, re.MULTILINE)
        return sum(float(value) for value in found)

    def peak_resident_mb(self):
        status = Path(f"/proc/{self.gateway.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) / 1024

    async def wait_for_value(self, name, condition):
        async def met():
            value = await self.value(name)
            return value is not None and condition(value)
        await self.wait(met, 30)


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):
    memory_mb = 112

    async def asyncSetUp(self):
        if f"slow_reader_test.{type(self).__name__}.{self._testMethodName}" in known_failures():
            self.skipTest("listed in KNOWN-RED.txt")
        self.folder = tempfile.TemporaryDirectory()
        self.platform = SlowReaderPlatform(self.folder.name)
        self.platform.memory_mb = self.memory_mb
        await self.platform.start()

    async def asyncTearDown(self):
        print(f"{self._testMethodName}: peak resident memory of the gateway "
              f"{self.platform.peak_resident_mb():.0f} MB", file=sys.stderr)
        await self.platform.stop()
        self.folder.cleanup()

    async def read_in_time(self, name):
        response = await self.platform.call(
            "GET", f"/feed/{name}", {"X-Pumicemast-Request-Id": name, **DEADLINE})
        self.assertTrue(response.complete)
        self.assertEqual(stream_content(name), response.body)

    async def finish_reading(self, reader, writer, request):
        """Reads the rest of a response, with a large receive buffer."""
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        response = await asyncio.wait_for(Platform.read_response(reader, None), 30)
        writer.close()
        self.assertTrue(response.complete, request)
        self.assertEqual(stream_content(request), response.body)

    async def test_held_back_responses_arrive_whole_within_the_memory(self):
        sends = await self.platform.value("pumicemast_gateway_sends")
        names = [f"slow{number}" for number in range(SLOW_READERS)]
        slow = [await self.platform.open_slow_reader(f"/feed/{n}", n) for n in names]
        await self.platform.wait_for_value("pumicemast_gateway_reads_paused",
                                           lambda paused: paused == SLOW_READERS)
        # Longer than the silence after which a back end counts as stalled.
        for engine in self.platform.engines:
            engine.events, engine.event_gap = 25, 0.1
        paced = self.platform.call("POST", "/chat/1")
        await asyncio.gather(*[self.read_in_time(f"fast{n}") for n in range(READERS_IN_TIME)])
        self.assertEqual(25, (await paced).body.count(b"data:"))
        self.assertEqual(SLOW_READERS, await self.platform.value("pumicemast_gateway_reads_paused"))
        self.assertLess(await self.platform.held_bytes(), self.memory_mb << 19)
        await asyncio.gather(*[self.finish_reading(*pair, n) for pair, n in zip(slow, names)])
        await self.platform.wait_for_value("pumicemast_gateway_reads_paused",
                                           lambda paused: paused == 0)
        self.assertEqual(sends + SLOW_READERS + READERS_IN_TIME + 1,
                         await self.platform.value("pumicemast_gateway_sends"))
        self.assertEqual(0, await self.platform.held_bytes())
        self.assertLess(self.platform.peak_resident_mb(), self.memory_mb)


class SmallMemoryTest(SlowReaderTest):
    memory_mb = 64
    test_held_back_responses_arrive_whole_within_the_memory = None

    async def refusal_is_logged(self):
        """The gateway writes its log twice a second."""
        log = (self.platform.folder / "gateway.log").read_text()
        return "request id=refused outcome=refused" in log

    async def test_bodies_are_refused_and_slow_readers_cut_off(self):
        # So many that what is read before the first pause exceeds the budget.
        names = [f"slow{number}" for number in range(6 * SLOW_READERS)]
        slow = [await self.platform.open_slow_reader(f"/feed/{n}", n) for n in names]
        body = b"x" * 60000

        async def refused():
            response = await self.platform.call("POST", "/write/1", {
                "X-Pumicemast-Request-Id": "refused"}, body=body)
            if response.status != 503:
                return False
            self.assertEqual(b"memory", response.body)
            self.assertGreater(float(response.headers["retry-after"]), 0)
            return True
        await self.platform.wait(refused)
        await self.platform.wait_for_value("pumicemast_gateway_slow_readers_cut_total",
                                           lambda cut: cut > 0)
        await asyncio.gather(*[self.read_in_time(f"fast{n}") for n in range(READERS_IN_TIME)])

        async def budget_holds():
            return await self.platform.held_bytes() <= self.memory_mb << 19
        await self.platform.wait(budget_holds)
        refusals = await self.platform.value("pumicemast_gateway_memory_refusals_total")
        self.assertGreater(refusals, 0)
        for _, writer in slow:
            writer.transport.abort()

        async def accepted():
            return (await self.platform.call("POST", "/write/1", {
                "X-Pumicemast-Request-Id": "accepted"}, body=body)).status == 200
        await self.platform.wait(accepted)
        await self.platform.wait(self.refusal_is_logged)
        log = (self.platform.folder / "gateway.log").read_text()
        self.assertRegex(log, r"memory state=NORMAL->(FULL|EXCEEDED) held_bytes=\d+")
        self.assertIn("memory event=cut_off", log)
        traced = subprocess.run([ROOT / "scripts" / "trace-request", "refused",
                                 self.platform.folder / "gateway.log"],
                                capture_output=True, text=True, check=True)
        self.assertIn("reason=memory status=503", traced.stdout)
        self.assertIn("memory state=", traced.stdout)
        self.assertLess(self.platform.peak_resident_mb(), self.memory_mb)

    async def test_slow_readers_of_two_responses_are_cut_off(self):
        """The first response is not delivered when the second one is cut off."""
        slow = []
        for number in range(6 * SLOW_READERS):
            slow.append(await self.platform.open_slow_reader("/read/1", f"small{number}",
                                                             SMALL_RECEIVE_BUFFER))
            writer = slow[-1][1]
            writer.transport.pause_reading()
            self.platform.request_ahead(writer, f"/feed/{number}", f"slow{number}")
        await self.platform.wait_for_value("pumicemast_gateway_slow_readers_cut_total",
                                           lambda cut: cut and cut > 0)
        await asyncio.gather(*[self.read_in_time(f"fast{n}") for n in range(READERS_IN_TIME)])
        for _, writer in slow:
            writer.transport.abort()
        self.assertIsNone(self.platform.gateway.poll())
        self.assertLess(self.platform.peak_resident_mb(), self.memory_mb)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], *sys.argv[2:]])
