"""Planned work beside callers that read slowly, send early or send a part of a request.

Guards against a gateway that cuts off responses which it has queued but not delivered when it is
stopped, reloaded or configured, and against a stop that ends the process early.

Usage: planned_stop_test.py BUILD_FOLDER [TEST...]
"""

import asyncio
import signal
import socket
import sys
import tempfile
import time
import unittest

from platform_standin import Backend, send_response
from platform_test import Platform
from process_test import known_failures

LARGE_BYTES = 900 * 1024
#: A large response takes longer than a stop without open requests, and less than the grace period.
READ_BYTES_PER_S = 165_000
STOP_GRACE_MS = 8000
DEADLINE_MS = 50_000
SLOW_READERS = 4
#: More than the sockets that are read in one pass of the event loop.
STALLED_CALLERS = 160
EXCESSIVE_WORK_S = 30


class LargeBackend(Backend):
    """Answers below /read/large with large bodies, /late after a while, /write/long after a long one."""

    async def run(self, writer, method, target, headers):
        headers["target"] = target
        if target.startswith("/write/long"):
            self.requests.append(headers)
            await asyncio.sleep(EXCESSIVE_WORK_S)
        if "/late" in target:
            await asyncio.sleep(0.5)
        await super().run(writer, method, target, headers)

    def plain_body(self, headers):
        request = headers["x-pumicemast-request-id"]
        large = headers["target"].startswith("/read/large")
        return content_of(request, LARGE_BYTES if large else 20)


def content_of(request, size):
    text = f"{request} ".encode()
    return (text * (size // len(text) + 1))[:size]


def encode_request(target, request, method="GET", body=b"", more=()):
    fields = {"Host": "api.example", "X-Api-Key": "key", "X-Pumicemast-Request-Id": request,
              "X-Pumicemast-Deadline-Ms": str(DEADLINE_MS), **dict(more)}
    if method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class StoppingPlatform(Platform):
    slots = 16
    route_fields = {"timeoutMs": DEADLINE_MS}

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

    def configure(self, version, extra=(), header_timeout_ms=3000, **limits):
        self.route_fields = {"timeoutMs": DEADLINE_MS}
        self.limits = limits
        super().configure(version, extra, header_timeout_ms)

    async def open_caller(self, receive_buffer=8192):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, ("127.0.0.1", self.callers))
        return await asyncio.open_connection(sock=connection, limit=receive_buffer)

    async def read_slowly(self, number, half_closes=False, rate=READ_BYTES_PER_S):
        """The response to one request of a caller that reads at a steady rate."""
        request = f"slow-{number}"
        reader, writer = await self.open_caller()
        writer.write(encode_request(f"/read/large/{number}", request))
        await writer.drain()
        if half_closes:
            await asyncio.sleep(0.2)
            writer.write_eof()
        response = await self.read_response(PacedReader(reader, rate), None)
        writer.close()
        return response, content_of(request, LARGE_BYTES)


class PacedReader:
    """Reads at a steady rate, as over a slow link."""

    def __init__(self, reader, rate):
        self.reader, self.rate, self.begun, self.count = reader, rate, None, 0

    async def readline(self):
        return await self.reader.readline()

    async def readexactly(self, size):
        self.begun = self.begun or time.monotonic()
        parts = []
        while size > 0:
            part = await self.reader.read(min(size, 4096))
            if not part:
                raise asyncio.IncompleteReadError(b"".join(parts), size)
            parts.append(part)
            size -= len(part)
            self.count += len(part)
            delay = self.begun + self.count / self.rate - time.monotonic()
            await asyncio.sleep(max(0, delay))
        return b"".join(parts)


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        if f"planned_stop_test.{type(self).__name__}.{self._testMethodName}" in known_failures():
            self.skipTest("listed in KNOWN-RED.txt")
        self.folder = tempfile.TemporaryDirectory()
        self.platform = StoppingPlatform(self.folder.name)
        self.platform.stop_grace_ms = STOP_GRACE_MS
        self.platform.memory_mb = 260  # With a limit, socket buffers are small, as on deployed machines.
        await self.platform.start()

    async def asyncTearDown(self):
        await self.platform.stop()
        self.folder.cleanup()

    def stop_gateway(self):
        self.platform.gateway.send_signal(signal.SIGTERM)

    async def wait_for_exit(self, limit=10):
        await self.platform.wait(lambda: self.platform.gateway.poll() is not None, limit)
        self.assertEqual(0, self.platform.gateway.poll())

    def assert_whole(self, answers):
        for response, expected in answers:
            self.assertEqual((200, True), (response.status, response.complete),
                             f"{len(response.body)} of {len(expected)} bytes")
            self.assertEqual(expected, response.body)

    def start_slow_readers(self, **options):
        return asyncio.gather(*[self.platform.read_slowly(number, **options)
                                for number in range(SLOW_READERS)])

    async def test_a_stop_cuts_off_no_slow_reader(self):
        answers = self.start_slow_readers()
        await asyncio.sleep(0.4)
        self.stop_gateway()
        self.assert_whole(await answers)
        await self.wait_for_exit()

    async def test_a_lower_idle_timeout_cuts_off_no_slow_reader(self):
        answers = self.start_slow_readers()
        await asyncio.sleep(0.4)
        self.platform.configure(2, idleTimeoutMs=1000)
        self.assert_whole(await answers)

    async def test_a_caller_that_closes_its_direction_gets_the_whole_response(self):
        self.assert_whole(await self.start_slow_readers(half_closes=True))

    async def test_repeated_stop_signals_cut_off_nothing(self):
        answers = self.start_slow_readers()
        await asyncio.sleep(0.4)
        for _ in range(4):
            self.stop_gateway()
            await asyncio.sleep(0.3)
        self.assert_whole(await answers)
        await self.wait_for_exit()

    async def test_repeated_stop_signals_cut_off_no_request_in_progress(self):
        calls = [asyncio.create_task(self.platform.call("POST", f"/write/late/{number}"))
                 for number in range(3)]
        await asyncio.sleep(0.1)
        for _ in range(3):
            self.stop_gateway()
            await asyncio.sleep(0.05)
        for response in await asyncio.gather(*calls):
            self.assertEqual((200, True), (response.status, response.complete))
        await self.wait_for_exit()

    async def test_an_interrupt_sent_twice_cuts_off_nothing(self):
        call = asyncio.create_task(self.platform.call("POST", "/write/late/1"))
        await asyncio.sleep(0.1)
        for _ in range(2):
            self.platform.gateway.send_signal(signal.SIGINT)
            await asyncio.sleep(0.02)
        response = await call
        self.assertEqual((200, True), (response.status, response.complete))
        await self.wait_for_exit()

    async def test_a_reload_does_not_shorten_a_stop_that_has_begun(self):
        answers = self.start_slow_readers()
        await asyncio.sleep(0.4)
        self.stop_gateway()
        path = self.platform.folder / "gateway.ini"
        path.write_text(path.read_text().replace(f"stop_grace_ms={STOP_GRACE_MS}",
                                                 "stop_grace_ms=1000"))
        self.platform.gateway.send_signal(signal.SIGHUP)
        self.assert_whole(await answers)
        await self.wait_for_exit()

    async def test_signals_during_the_start_end_no_process_that_listens(self):
        for number in range(12):
            self.platform.gateway.kill()
            self.platform.gateway.wait()
            self.platform.gateway = self.platform.run_gateway()
            await self.platform.wait(self.listens)
            self.platform.gateway.send_signal(signal.SIGHUP if number % 2 else signal.SIGTERM)
            await asyncio.sleep(0.1)
            self.assertIsNone(self.platform.gateway.poll())

    def listens(self):
        with socket.socket() as connection:
            return connection.connect_ex(("127.0.0.1", self.platform.callers)) == 0

    async def test_requests_that_arrive_during_a_stall_are_answered(self):
        self.platform.configure(2, idleTimeoutMs=2000)
        await asyncio.sleep(1)
        kept = [await self.platform.open_caller() for _ in range(STALLED_CALLERS)]
        for number, (reader, writer) in enumerate(kept):
            writer.write(encode_request("/read/1", f"kept-{number}"))
            await self.platform.read_response(reader, None)
        self.platform.gateway.send_signal(signal.SIGSTOP)
        for number, (_, writer) in enumerate(kept):
            writer.write(encode_request("/read/1", f"again-{number}"))
        await asyncio.sleep(2.4)
        self.platform.gateway.send_signal(signal.SIGCONT)
        for number, (reader, writer) in enumerate(kept):
            response = await self.platform.read_response(reader, None)
            self.assertTrue(response.complete)
            writer.close()

    async def test_a_repeated_stop_signal_does_not_extend_the_grace_period(self):
        reader, writer = await self.platform.open_caller()
        writer.write(encode_request("/write/long/1", "long", "POST"))
        begun = time.monotonic()
        for _ in range(4):
            self.stop_gateway()
            await asyncio.sleep(1.5)
        await self.wait_for_exit()
        self.assertLess(time.monotonic() - begun, STOP_GRACE_MS / 1000)
        writer.close()

    async def test_requests_in_progress_are_answered_when_the_grace_period_ends(self):
        calls = [asyncio.create_task(self.platform.call(
            "POST", f"/write/long/{number}", {"X-Pumicemast-Deadline-Ms": str(DEADLINE_MS)}))
            for number in range(3)]
        await asyncio.sleep(0.3)
        self.stop_gateway()
        for response in await asyncio.gather(*calls):
            self.assertEqual((502, True), (response.status, response.complete))
        await self.wait_for_exit()

    async def test_pipelined_requests_are_answered_during_a_stop(self):
        reader, writer = await self.platform.open_caller()
        requests = [f"pipelined-{number}" for number in range(3)]
        writer.write(b"".join(encode_request(f"/read/large/late/{request}", request)
                              for request in requests))
        await asyncio.sleep(0.2)
        self.stop_gateway()
        for request in requests:
            response = await self.platform.read_response(reader, None)
            self.assert_whole([(response, content_of(request, LARGE_BYTES))])
        writer.close()
        await self.wait_for_exit()

    async def test_pipelined_requests_of_a_slow_reader_are_answered(self):
        reader, writer = await self.platform.open_caller()
        requests = [f"pipelined-{number}" for number in range(4)]
        writer.write(b"".join(encode_request(f"/read/large/{request}", request)
                              for request in requests))
        paced = PacedReader(reader, 4 * READ_BYTES_PER_S)
        for request in requests:
            response = await self.platform.read_response(paced, None)
            self.assert_whole([(response, content_of(request, LARGE_BYTES))])
        writer.close()

    async def test_planned_work_in_series_leaves_no_request_without_a_response(self):
        answers = self.start_slow_readers()
        posts = asyncio.gather(*[self.post_in_two_parts(number) for number in range(4)])
        for version in range(2, 7):
            self.platform.gateway.send_signal(signal.SIGHUP)
            self.platform.configure(version, idleTimeoutMs=1000 + 500 * (version % 3))
            await asyncio.sleep(0.2)
        kept = [await self.platform.open_caller() for _ in range(4)]
        for number, (_, writer) in enumerate(kept):
            writer.write(encode_request("/read/1", f"kept-{number}"))
        for number, (reader, _) in enumerate(kept):
            response = await self.platform.read_response(reader, None)
            self.assert_whole([(response, content_of(f"kept-{number}", 20))])
        for signal_number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            self.platform.gateway.send_signal(signal_number)
        for number, (reader, writer) in enumerate(kept):
            writer.write(encode_request("/read/1", f"again-{number}"))
            response = await self.platform.read_response(reader, None)
            self.assert_whole([(response, content_of(f"again-{number}", 20))])
            writer.close()
        self.assert_whole(await answers)
        for response, expected in await posts:
            self.assert_whole([(response, expected)])
        await self.wait_for_exit()

    async def post_in_two_parts(self, number):
        """A request whose body arrives late, so that a stop begins in the middle of it."""
        request = f"post-{number}"
        reader, writer = await self.platform.open_caller()
        text = encode_request("/write/1", request, "POST", b"x" * 4000)
        writer.write(text[:-2000])
        await asyncio.sleep(1.8)
        writer.write(text[-2000:])
        response = await self.platform.read_response(reader, None)
        writer.close()
        return response, content_of(request, 20)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], *sys.argv[2:]], verbosity=2)
