"""A gateway process in front of back ends whose responses are not valid HTTP.

Guards against a gateway that passes on a status outside 100 to 599, a field whose name is no token,
or a body whose transfer coding it has not decoded.

Usage: invalid_response_test.py BUILD_FOLDER [TEST...]
"""

import asyncio
import sys
import tempfile
import unittest

from platform_standin import Server
from platform_test import Platform
from process_test import known_failures

BODY = b"0\r\n\r\nxxxx"  # Also an empty body in chunks.
LENGTH = b"Content-Length: %d\r\n" % len(BODY)
# Status and fields of invalid heads, by kind.
HEADS = {
    "status-000": (b"000 OK", LENGTH),
    "status-001": (b"001 OK", LENGTH),
    "status-099": (b"099 OK", LENGTH),
    "status-600": (b"600 OK", LENGTH),
    "status-999": (b"999 OK", LENGTH),
    "status-2-digits": (b"20 OK", LENGTH),
    "blank-in-name": (b"200 OK", LENGTH + b"X Odd: 1\r\n"),
    "tab-in-name": (b"200 OK", LENGTH + b"X\tOdd: 1\r\n"),
    "control-byte-in-name": (b"200 OK", LENGTH + b"X\x01Odd: 1\r\n"),
    "nul-in-name": (b"200 OK", LENGTH + b"X\x00Odd: 1\r\n"),
    "del-in-name": (b"200 OK", LENGTH + b"X\x7fOdd: 1\r\n"),
    "blank-before-colon": (b"200 OK", LENGTH + b"X-Odd : 1\r\n"),
    "blank-in-length": (b"200 OK", b"Content Length: 3\r\n" + LENGTH),
    "control-byte-in-length": (b"200 OK", b"Content-Length\x01: 3\r\n" + LENGTH),
    "blank-in-own-name": (b"200 OK", LENGTH + b"Server Limit: 1\r\n"),
    "no-name": (b"200 OK", LENGTH + b": 1\r\n"),
    "control-byte-in-value": (b"200 OK", LENGTH + b"X-Odd: a\x01b\r\n"),
    "unknown-coding": (b"200 OK", b"Transfer-Encoding: xchunked\r\n" + LENGTH),
    "unknown-coding-last": (b"200 OK", LENGTH + b"Transfer-Encoding: xchunked\r\n"),
    "unknown-coding-alone": (b"200 OK", b"Transfer-Encoding: gzip\r\nConnection: close\r\n"),
    "coding-before-chunked": (b"200 OK", b"Transfer-Encoding: gzip, chunked\r\n"),
    "coding-after-chunked": (b"200 OK", b"Transfer-Encoding: chunked, gzip\r\n"),
    "empty-coding": (b"200 OK", b"Transfer-Encoding:\r\n" + LENGTH),
}
GOOD = "good"
USES = ("safe", "unsafe", "stream", "resumed", "kept", "interim", "segments")
GOOD_EVENTS = b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"


def head(kind, fields, name=b"i-1"):
    status, odd_fields = HEADS[kind] if kind != GOOD else (b"200 OK", LENGTH)
    return (b"HTTP/1.1 " + status + b"\r\nX-Pumicemast-Request-Id: " +
            fields["x-pumicemast-request-id"].encode() +
            b"\r\nX-Pumicemast-Response-Signature: " + name + b"\r\n" + odd_fields + b"\r\n")


class InvalidServer(Server):
    """Answers /USE-KIND/ with the invalid head of that kind."""

    def __init__(self):
        super().__init__()
        self.runs = {}
        self.served = {}  # Responses by connection.

    async def handle(self, writer, method, target, headers, body):
        use, kind = target.split("/")[1].split("-", 1)
        self.runs[f"{use}-{kind}"] = self.runs.get(f"{use}-{kind}", 0) + 1
        served = self.served[writer] = self.served.get(writer, 0) + 1
        if use == "kept" and served == 1:
            writer.write(head(GOOD, headers) + BODY)
            return
        if use == "resumed" and "last-event-id" not in headers:
            first = GOOD_EVENTS + b"id: 3\nda"
            writer.write(head(GOOD, headers).replace(
                LENGTH, b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") +
                b"%x\r\n%s\r\n" % (len(first), first))
            await writer.drain()
            writer.transport.abort()
            raise ConnectionError
        response = head(kind, headers) + BODY
        if use == "interim":
            writer.write(b"HTTP/1.1 102 Processing\r\n\r\n")
        if use == "segments":
            for offset in range(0, len(response), 7):
                writer.write(response[offset:offset + 7])
                await writer.drain()
                await asyncio.sleep(0.001)
        else:
            writer.write(response)
        await writer.drain()
        raise ConnectionError  # Closes the connection.


class InvalidPlatform(Platform):
    """Each route has a service of its own: one that has failed is avoided for a while."""

    async def start(self):
        self.invalid = InvalidServer()
        await self.invalid.start()
        await super().start()
        for name in self.names():
            self.store.put("servers", name, {
                "service": name, "address": f"127.0.0.1:{self.invalid.port}", "zone": "z1",
                "coldLeftMs": 0, "slots": 4, "state": "ready", "models": [], "layers": None})

        async def knows_all():
            self.invalid.runs.clear()
            return (await self.call("GET", f"/safe-{GOOD}/1")).status == 200
        await self.wait(knows_all)

    async def stop(self):
        await self.invalid.stop()
        await super().stop()

    @staticmethod
    def names():
        return [f"{use}-{kind}" for use in USES for kind in HEADS] + [f"safe-{GOOD}"]

    def configure(self, version, extra=(), header_timeout_ms=3000):
        kinds = {"safe": "safe", "stream": "stream", "resumed": "stream"}
        routes = []
        for name in self.names():
            kind = kinds.get(name.split("-")[0], "unsafe")
            routes.append(self.route(f"/{name}/", kind, name, 1 if kind == "unsafe" else 2,
                                     resumable=name.startswith("resumed")))
        super().configure(version, [*routes, *extra], header_timeout_ms)
        spec = self.store.objects["config"]["main"]["spec"]
        spec["services"] += [{"name": name, "maxConns": 50} for name in self.names()]


class InvalidResponseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        name = f"invalid_response_test.{type(self).__name__}.{self._testMethodName}"
        if name in known_failures():
            self.skipTest("listed in KNOWN-RED.txt")
        self.folder = tempfile.TemporaryDirectory()
        self.platform = InvalidPlatform(self.folder.name)
        await self.platform.start()

    async def asyncTearDown(self):
        await self.platform.stop()
        self.folder.cleanup()

    async def check(self, use, kinds):
        for kind in kinds:
            with self.subTest(use=use, kind=kind):
                name = f"{use}-{kind}"
                if use == "kept":
                    first = await self.platform.call("GET", f"/{name}/1")
                    self.assertEqual((200, BODY), (first.status, first.body))
                response = await self.platform.call("GET", f"/{name}/1")
                if use == "resumed":
                    self.assertEqual((200, False), (response.status, response.complete))
                    self.assertTrue(GOOD_EVENTS.startswith(response.body), response.body)
                    continue
                self.assertEqual(502, response.status)
                if use not in ("safe", "stream"):
                    self.assertEqual(2 if use == "kept" else 1, self.platform.invalid.runs[name])

    async def test_invalid_status(self):
        for use in USES:
            await self.check(use, [kind for kind in HEADS if kind.startswith("status")])

    async def test_invalid_fields(self):
        for use in USES:
            await self.check(use, [kind for kind in HEADS
                                   if "name" in kind or "colon" in kind or "value" in kind
                                   or "length" in kind])

    async def test_unknown_transfer_codings(self):
        for use in USES:
            await self.check(use, [kind for kind in HEADS if "coding" in kind or "chunked" in kind])


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], *sys.argv[2:]], verbosity=2)
