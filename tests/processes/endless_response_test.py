"""A gateway in front of a back end whose responses consist of bytes without end.

Guards against a gateway that reads such bytes until the request's deadline, which delays all other
requests, and against one that a stated length alone brings down.

Usage: endless_response_test.py BUILD_FOLDER [TEST...]
"""

import asyncio
import os
import re
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path

from platform_test import Platform
from process_test import known_failures

FLOOD_OPTION = "--flood"
BLOCK_BYTES = 64 * 1024
HEAD = "HTTP/1.1 200 OK\r\nX-Pumicemast-Request-Id: ID\r\n"
CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n"
# Per kind: what a response begins with, and what follows without end.
FLOODS = {
    "status-line": ("HTTP/1.1 200 ", "O"),
    "field": (HEAD + "X-Field: ", "x"),
    "fields": (HEAD, "X-Field: value\r\n"),
    "interim": ("", "HTTP/1.1 102 Processing\r\n\r\n"),
    "chunk-size": (CHUNKED + "\r\n", "0"),
    "extension": (CHUNKED + "\r\n5;x=", "x"),
    "extensions": (CHUNKED + "\r\n", "1;x=" + "y" * 2000 + "\r\nz\r\n"),
    "trailer": (CHUNKED + "\r\n0\r\nX-Trailer: ", "x"),
    "trailers": (CHUNKED + "\r\n0\r\n", "X-Trailer: value\r\n"),
    "other-responses": ("", "HTTP/1.1 200 OK\r\nX-Pumicemast-Request-Id: other\r\n"
                            "Content-Length: 2\r\n\r\nno"),
    "other-body": ("HTTP/1.1 200 OK\r\nX-Pumicemast-Request-Id: other\r\n"
                   "Content-Length: 9999999999\r\n\r\n", "x"),
    "event": (HEAD + "Content-Type: text/event-stream\r\n\r\ndata: ", "x"),
}
# A length that no machine has the memory for, and a few bytes of the body.
LONG_BODY = (HEAD + "Content-Length: 100000000000000\r\n\r\nfirst", "")
LEVELS = (1, 6, 12)
MEASURED = ("interim", "chunk-size", "extensions", "trailers", "event")
DEADLINE_MS = "3000"
# Processor time per request: a tenth of what a request's deadline allows.
MAXIMUM_CPU_S = 0.3
SETTLING_S = 0.2


def flood(connection):
    """Answers the first request of a connection; prints how many bytes its peer has taken."""
    with connection:
        request = b""
        while b"\r\n\r\n" not in request:
            received = connection.recv(BLOCK_BYTES)
            if not received:
                return
            request += received
        head = request.decode("latin-1")
        target = head.split()[1]
        kind = target.split("/")[-1]
        print(f"begin {target}", flush=True)
        request_id = re.search(r"X-Pumicemast-Request-Id: *(\S+)", head, re.IGNORECASE).group(1)
        begin, repeated = FLOODS.get(kind, LONG_BODY)
        block = (repeated * (BLOCK_BYTES // max(1, len(repeated)) + 1)).encode()
        sent = 0
        try:
            connection.sendall(begin.replace("ID", request_id).encode())
            while repeated:
                sent += connection.send(block)
                # A block that was sent in part goes on where it ended.
                rest = len(block) - sent % len(block)
                if rest < len(block):
                    connection.sendall(block[-rest:])
                    sent += rest
        except OSError:
            print(f"sent {target} {sent}", flush=True)


def run_flood():
    """A back end in a process of its own, so that it sends while the test waits."""
    listener = socket.create_server(("127.0.0.1", 0))
    print(f"port {listener.getsockname()[1]}", flush=True)
    while True:
        threading.Thread(target=flood, args=[listener.accept()[0]], daemon=True).start()


class FloodPlatform(Platform):
    """Each route has a back end of its own: one that has failed is avoided for a while."""

    async def start(self):
        self.flood_log = self.folder / "flood.log"
        with open(self.flood_log, "wb") as log:
            self.flood = subprocess.Popen([sys.executable, __file__, FLOOD_OPTION], stdout=log)
        await self.wait(lambda: b"port" in self.flood_log.read_bytes())
        port = int(self.flood_log.read_text().split()[1])
        await super().start()
        for name in self.flood_routes():
            self.store.put("servers", name, {
                "service": name, "address": f"127.0.0.1:{port}", "zone": "z1", "coldLeftMs": 0,
                "slots": 2 * max(LEVELS), "state": "ready", "models": [], "layers": None})
        await asyncio.sleep(SETTLING_S)

    async def stop(self):
        self.flood.kill()
        self.flood.wait()
        await super().stop()

    @staticmethod
    def flood_routes():
        kinds = [*FLOODS, "long-body"]
        return [f"{use}-{kind}" for kind in kinds for use in ("safe", "unsafe")] + \
               [f"level{level}-{kind}" for level in LEVELS for kind in MEASURED]

    def configure(self, version, extra=(), header_timeout_ms=3000):
        routes = []
        for name in self.flood_routes():
            kind = "unsafe" if name.startswith("unsafe") else "safe"
            kind = "stream" if name.endswith("-event") else kind
            routes.append(self.route(f"/{name}/", kind, name, 1 if kind == "unsafe" else 2,
                                     resumable=kind == "stream"))
        super().configure(version, [*routes, *extra], header_timeout_ms)
        spec = self.store.objects["config"]["main"]["spec"]
        spec["services"] += [{"name": name, "maxConns": 50} for name in self.flood_routes()]

    def runs(self, route):
        return self.flood_log.read_text().count(f"begin /{route}/")

    def sent_bytes(self, route):
        sent = re.findall(rf"^sent /{route}/\S+ (\d+)$", self.flood_log.read_text(), re.MULTILINE)
        return sum(int(number) for number in sent)

    def processor_seconds(self):
        fields = Path(f"/proc/{self.gateway.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def call_flood(self, route):
        kind = route.split("-", 1)[1]
        return await self.call("GET", f"/{route}/{kind}",
                               {"X-Pumicemast-Deadline-Ms": DEADLINE_MS})


class EndlessResponseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        name = f"endless_response_test.{type(self).__name__}.{self._testMethodName}"
        if name in known_failures():
            self.skipTest("listed in KNOWN-RED.txt")
        self.folder = tempfile.TemporaryDirectory()
        self.platform = FloodPlatform(self.folder.name)
        await self.platform.start()

    async def asyncTearDown(self):
        await self.platform.stop()
        self.folder.cleanup()

    async def test_responses_without_end_fail_at_once_and_unsafe_requests_ran_once(self):
        for kind in FLOODS:
            for use in ("unsafe", "safe"):
                route = f"{use}-{kind}"
                with self.subTest(route=route):
                    begun, used = time.monotonic(), self.platform.processor_seconds()
                    response = await self.platform.call_flood(route)
                    self.assertEqual(502, response.status)
                    self.assertLess(time.monotonic() - begun, 1)
                    self.assertLess(self.platform.processor_seconds() - used, MAXIMUM_CPU_S)
                    if use == "unsafe" and kind != "event":
                        self.assertEqual(1, self.platform.runs(route))

    async def test_a_stated_length_beyond_the_memory_does_not_end_the_gateway(self):
        for use in ("unsafe", "safe"):
            response = await self.platform.call_flood(f"{use}-long-body")
            self.assertIn(response.status, (502, 504))
            self.assertIsNone(self.platform.gateway.poll())

    async def ordinary_latencies(self, others):
        """Latencies of ordinary requests, in milliseconds, for as long as the others are served."""
        latencies = []
        while not latencies or not others.done():
            begun = time.monotonic()
            response = await self.platform.call("GET", "/read/1")
            latencies.append(1000 * (time.monotonic() - begun))
            self.assertEqual(200, response.status)
            await asyncio.sleep(0.005)
        return latencies

    async def test_requests_are_served_beside_responses_without_end(self):
        for kind in MEASURED:
            for level in LEVELS:
                route = f"level{level}-{kind}"
                used = self.platform.processor_seconds()
                others = asyncio.gather(*[self.platform.call_flood(route) for _ in range(level)])
                latencies = await self.ordinary_latencies(others)
                used = self.platform.processor_seconds() - used
                await asyncio.sleep(SETTLING_S)
                quantiles = statistics.quantiles([*latencies, latencies[-1]], n=10)
                print(f"{kind} x{level}: {self.platform.sent_bytes(route) / 1e6:.1f} MB sent, "
                      f"{used:.2f} s of processor time, others: {len(latencies)} requests, median "
                      f"{statistics.median(latencies):.1f} ms, 90th percentile {quantiles[-1]:.1f} "
                      "ms", file=sys.stderr)
                with self.subTest(route=route):
                    # 503: not sent, as the back end had failed for others by then.
                    self.assertLessEqual({r.status for r in await others}, {502, 503})
                    self.assertLess(used, level * MAXIMUM_CPU_S)


if __name__ == "__main__":
    if sys.argv[1:] == [FLOOD_OPTION]:
        run_flood()
    unittest.main(argv=[sys.argv[0], *sys.argv[2:]], verbosity=2)
