"""A gateway process before crowds of callers that send legal requests of unusual shapes, or never
complete them.

Guards against a gateway whose memory grows with the number of field lines or with the number of
unfinished requests, and against one that has no descriptors left for ordinary callers.

Usage: hostile_clients_test.py BUILD_FOLDER [TEST...]
"""

import asyncio
import os
import re
import resource
import sys
import tempfile
import unittest
from pathlib import Path

from platform_standin import Backend
from platform_test import Platform
from process_test import known_failures

MEMORY_MB = 64  # Of the gateway's machine: its peak resident memory stays below.
HEAD_BYTES = 64 * 1024  # Limit of a request's head.
CROWD = 1000
DESCRIPTORS = 400  # Of the gateway where callers open twice as many connections.
CALLS_IN_SERIES = 2
HELD_RESPONSE_S = 3  # Where back ends respond late.
LONG_TIMEOUT_MS = 600000
UNFINISHED_S = 5  # Longer than the time limit of a head.
START = (b"GET /read/1 HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key\r\n"
         b"X-Pumicemast-Request-Id: q1\r\nX-Pumicemast-Deadline-Ms: 5000\r\n"
         b"X-Pumicemast-Model: m\r\nX-Pumicemast-Token-Usage: 100,50\r\n")
END = b"\r\n"
RESERVED_BYTES = 200  # For the last lines of a head.


def fill(line, size=HEAD_BYTES - len(START) - RESERVED_BYTES):
    """As many lines as a head may have. `line` is a function of the line's number."""
    lines, length = [], 0
    while length + len(text := line(len(lines))) <= size:
        lines.append(text)
        length += len(text)
    return b"".join(lines)


def repeat(line):
    return fill(lambda _: line)


SHORT_LINES = repeat(b"a:\r\n")
CONNECTION_LINE = b"Connection: " + b",".join([b"a"] * (HEAD_BYTES // 4)) + b"\r\n"
# Fields of whole heads, by kind.
KINDS = {
    "short": SHORT_LINES,
    "names": fill(lambda number: b"%x:1\r\n" % number),
    "empty": repeat(b"abcdef: \r\n"),
    "folded": repeat(b"a:\r\n b\r\n"),
    "known": repeat(b"Accept:1\r\n"),
    "options": repeat(b"Connection: a,b,c,d,e,f\r\n"),
    "tokens": CONNECTION_LINE + fill(lambda _: b"b:\r\n", HEAD_BYTES // 2 - 1000),
    "long": b"X-Long: " + b"x" * (HEAD_BYTES - 1000) + b"\r\n",
}
UNKNOWN_ROUTE = START.replace(b"/read/1", b"/none/1")


class FastBackend(Backend):
    """A plain service that reads heads of many lines quickly."""

    delay_s = 0

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                pattern = r"^(X-Pumicemast-(?:Request-Id|Expect-Instance)): (.*)\r$"
                headers = {name.lower(): value for name, value in
                           re.findall(pattern, head, re.MULTILINE | re.IGNORECASE)}
                length = re.search(r"^Content-Length: (\d+)\r$", head,
                                   re.MULTILINE | re.IGNORECASE)
                await reader.readexactly(int(length.group(1)) if length else 0)
                await asyncio.sleep(self.delay_s)
                await self.run(writer, "GET", "", headers)
                self.requests.clear()
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer closed the connection, or the test has ended.
        finally:
            self.writers.discard(writer)
            writer.close()


class HostilePlatform(Platform):
    slots = 16
    descriptors = None

    def __init__(self, folder):
        super().__init__(folder)
        self.memory_mb = MEMORY_MB
        self.limits = {"maxHeaderBytes": HEAD_BYTES}

    async def start(self):
        await super().start()
        for index, replaced in enumerate(self.plain):
            await replaced.stop()
            self.plain[index] = FastBackend(replaced.identity)
            self.plain[index].port = replaced.port
            await self.plain[index].start()
        await self.wait(self.answers)

    def launch(self, name, program, settings, stdout=None):
        if not self.descriptors or name != "gateway":
            return super().launch(name, program, settings, stdout)
        before = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, before[1]))
        try:
            return super().launch(name, program, settings, stdout)  # Inherits the limit.
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, before)

    def peak_resident_mb(self):
        status = Path(f"/proc/{self.gateway.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) / 1024

    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self.gateway.pid}/fd"))

    async def answers(self):
        try:
            return (await self.call("GET", "/read/1")).status == 200
        except (OSError, EOFError, IndexError, asyncio.TimeoutError):
            return False

    async def connect(self, port=None):
        """A connection, or None if it was refused."""
        try:
            return await asyncio.open_connection("127.0.0.1", port or self.callers,
                                                 limit=1 << 20)
        except OSError:
            return None

    async def send(self, connections, *parts):
        """Sends each part on all connections before the next one, as far as they are open."""
        for part in parts:
            for _, writer in connections:
                try:
                    writer.write(part)
                    await asyncio.wait_for(writer.drain(), 0.05)
                except (OSError, asyncio.TimeoutError):
                    pass  # Closed, or not read for now.
                await asyncio.sleep(0)


class HostileClientsTest(unittest.IsolatedAsyncioTestCase):
    descriptors = None
    limits = {}

    async def asyncSetUp(self):
        name = f"hostile_clients_test.{type(self).__name__}.{self._testMethodName}"
        if name in known_failures():
            self.skipTest("listed in KNOWN-RED.txt")
        self.folder = tempfile.TemporaryDirectory()
        self.platform = HostilePlatform(self.folder.name)
        self.platform.descriptors = self.descriptors
        self.platform.limits.update(self.limits)
        await self.platform.start()
        self.connections = []

    async def asyncTearDown(self):
        if self.platform.gateway.poll() is None:
            print(f"{self._testMethodName}: peak resident memory of the gateway "
                  f"{self.platform.peak_resident_mb():.0f} MB", file=sys.stderr)
        for _, writer in self.connections:
            writer.transport.abort()
        await self.platform.stop()
        self.folder.cleanup()

    async def open_crowd(self, count=CROWD, port=None):
        opened = await asyncio.gather(*[self.platform.connect(port) for _ in range(count)])
        self.connections += [pair for pair in opened if pair is not None]

    async def check(self):
        """The gateway lives within its memory and serves an ordinary request."""
        await self.platform.wait(self.platform.answers, 60)
        self.assertIsNone(self.platform.gateway.poll())
        self.assertLess(self.platform.peak_resident_mb(), MEMORY_MB)

    async def check_unfinished(self, *parts, count=CROWD):
        """Callers send `parts` and nothing more."""
        await self.open_crowd(count)
        await self.platform.send(self.connections, *parts)
        await self.check()
        await asyncio.sleep(UNFINISHED_S)
        await self.check()

    async def call_in_series(self, content, calls):
        for _ in range(calls):
            connection = await self.platform.connect()
            if connection is None:
                continue
            reader, writer = connection
            try:
                writer.write(content)
                await asyncio.wait_for(self.platform.read_response(reader, None), 10)
            except (OSError, EOFError, IndexError, asyncio.TimeoutError):
                pass  # Refused or closed.
            finally:
                writer.transport.abort()

    async def check_whole(self, content):
        """Callers send whole requests one after the other."""
        await asyncio.gather(*[self.call_in_series(content, CALLS_IN_SERIES)
                               for _ in range(CROWD)])
        await self.check()

    async def check_kind(self, kind):
        await self.check_whole(START + KINDS[kind] + END)

    # Unfinished requests.

    async def test_unfinished_heads_of_short_lines(self):
        await self.check_unfinished(START + SHORT_LINES)

    async def test_unfinished_heads_in_small_segments(self):
        part = SHORT_LINES[:len(SHORT_LINES) // 32 * 4]
        await self.check_unfinished(START, *[part] * 8)

    async def test_unfinished_heads_of_one_long_line(self):
        await self.check_unfinished(START + KINDS["long"][:-2])

    async def test_heads_without_the_stated_body(self):
        await self.check_unfinished(START + SHORT_LINES + b"Content-Length: 10\r\n" + END)

    async def test_heads_without_the_body_that_may_be_continued(self):
        await self.check_unfinished(START + SHORT_LINES + b"Expect: 100-continue\r\n"
                                    b"Content-Length: 10\r\n" + END)

    async def test_heads_with_chunks_and_trailers_without_end(self):
        await self.check_unfinished(START + SHORT_LINES + b"Transfer-Encoding: chunked\r\n" + END,
                                    b"1\r\nx\r\n0\r\n" + b"a:\r\n" * 2000)

    async def test_heads_with_bodies_of_small_chunks(self):
        await self.check_unfinished(START + SHORT_LINES + b"Transfer-Encoding: chunked\r\n" + END,
                                    *[b"1\r\nx\r\n" * 1000] * 4)

    # Whole requests.

    async def test_whole_heads_of_short_lines(self):
        await self.check_kind("short")

    async def test_whole_heads_of_many_names(self):
        await self.check_kind("names")

    async def test_whole_heads_of_empty_values(self):
        await self.check_kind("empty")

    async def test_whole_heads_of_folded_lines(self):
        await self.check_kind("folded")

    async def test_whole_heads_of_one_known_name(self):
        await self.check_kind("known")

    async def test_whole_heads_of_many_connection_options(self):
        await self.check_kind("options")

    async def test_whole_heads_of_short_lines_to_unknown_routes(self):
        await self.check_whole(UNKNOWN_ROUTE + SHORT_LINES + END)

    async def test_requests_ahead_of_their_responses(self):
        await self.open_crowd()
        content = START.replace(b"GET", b"HEAD") + SHORT_LINES[:HEAD_BYTES // 4] + END
        await self.platform.send(self.connections, content, *[content * 4] * 4)
        await self.check()

    async def test_requests_ahead_of_late_responses(self):
        for backend in self.platform.plain:
            backend.delay_s = HELD_RESPONSE_S
        await self.open_crowd()
        content = START + SHORT_LINES[:HEAD_BYTES // 4] + END
        await self.platform.send(self.connections, START + END, *[content * 4] * 2)
        await self.check()

    async def test_whole_heads_that_wait_for_late_responses(self):
        for backend in self.platform.plain:
            backend.delay_s = HELD_RESPONSE_S
        await self.open_crowd()
        await self.platform.send(self.connections, START + SHORT_LINES + END)
        await self.check()

    async def test_small_requests_ahead_of_their_responses(self):
        await self.open_crowd()
        await self.platform.send(self.connections, *[(UNKNOWN_ROUTE + END) * 200] * 4)
        await self.check()

    async def test_distinct_paths_keys_and_hosts(self):
        async def call(number):
            content = START.replace(b"/read/1", b"/read/%d" % number + b"p" * 2000)
            content = content.replace(b"key", b"key%d" % number)
            content = content.replace(b"q1", b"q%d" % number + b"i" * 2000)
            await self.call_in_series(content + b"X-Odd: %d\r\n" % number + END, CALLS_IN_SERIES)
        await asyncio.gather(*[call(number) for number in range(CROWD)])
        await self.check()

    # Other crowds.

    async def test_unfinished_heads_at_the_readiness_address(self):
        await self.open_crowd(port=self.platform.ready_port)
        part = b"GET /ready HTTP/1.1\r\n" + b"a:\r\n" * 3000
        await self.platform.send(self.connections, part)
        await self.platform.wait(self.platform.ready, 60)
        await self.check()

    async def test_memory_is_given_back_after_a_crowd(self):
        await self.check_unfinished(START + SHORT_LINES)
        for _, writer in self.connections:
            writer.transport.abort()

        def has_shrunk():
            status = Path(f"/proc/{self.platform.gateway.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+) kB", status).group(1)) < MEMORY_MB * 1024 / 2
        await self.platform.wait(has_shrunk, 60)

    async def test_one_request_of_each_kind_is_served_in_calm(self):
        for kind, fields in KINDS.items():
            for method in ("GET", "HEAD", "POST"):
                with self.subTest(kind=kind, method=method):
                    if kind == "folded":
                        fields = b"a:\r\n b\r\n" * 300  # Within the limit of one folded value.
                    start = START.replace(b"GET", method.encode())
                    # What a head of this size leaves for the fields that the gateway adds.
                    reader, writer = await self.platform.connect()
                    writer.write(start + fields[:HEAD_BYTES - 1000].rsplit(b"\r\n", 1)[0] +
                                 b"\r\n" + END)
                    status = int((await asyncio.wait_for(reader.readline(), 10)).split()[1])
                    writer.transport.abort()
                    self.assertEqual(200, status)


class FewDescriptorsTest(HostileClientsTest):
    """More connections than the gateway has descriptors."""

    descriptors = DESCRIPTORS
    limits = {"idleTimeoutMs": LONG_TIMEOUT_MS}

    async def check_served_beside(self, part):
        holders = await asyncio.create_subprocess_exec(
            sys.executable, Path(__file__).with_name("connection_holders.py"), "127.0.0.1",
            str(self.platform.callers), str(2 * DESCRIPTORS), "0.1", stdin=asyncio.subprocess.PIPE)
        try:
            holders.stdin.write(part)
            holders.stdin.close()
            await asyncio.sleep(1)
            for _ in range(8):
                await self.platform.wait(self.platform.answers, 20)
                # A share is left for back ends, peers and the store.
                self.assertLess(self.platform.open_descriptors(), DESCRIPTORS * 7 // 8)
            await self.check()
            self.assertIsNone(holders.returncode)
        finally:
            holders.kill()
            await holders.wait()

    async def test_connections_without_a_request(self):
        await self.check_served_beside(b"")

    async def test_connections_with_unfinished_heads(self):
        self.platform.configure(2, header_timeout_ms=LONG_TIMEOUT_MS)
        await self.platform.wait(self.has_second_configuration)
        await self.check_served_beside(START)

    async def has_second_configuration(self):
        name = "pumicemast_gateway_configuration_version"
        return await self.platform.metric(name, self.platform.metrics_port) == 2

    async def test_connections_that_rest_after_a_request(self):
        await self.check_served_beside(UNKNOWN_ROUTE + END)


for inherited in [name for name in dir(HostileClientsTest) if name.startswith("test_")]:
    setattr(FewDescriptorsTest, inherited, None)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], *sys.argv[2:]], verbosity=2)
