"""A small stand-in for the users' platform: store, back ends and weight origin.

It is written from the published protocol alone and shares no code with the programs under test.
One asyncio server listens on each address; tests read and change its fields directly. Only the
calls that the gateway and the agent make are supported.
"""

import asyncio
import copy
import ctypes
import hashlib
import json
import random
import socket
import struct
from urllib.parse import parse_qs, urlsplit

CHUNKS = 8
CHUNK_BYTES = 4096
LAYERS = 4
MAXIMUM_LINE_BYTES = 1 << 20  # Of a request that a server reads.


SO_ATTACH_FILTER = 26  # From the Linux headers; Python does not define it.
BPF_RETURN = 0x06


def drop_incoming_packets(open_socket):
    """Drops all further packets to the socket without acknowledgement, like a failed link."""
    program = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, 0))
    open_socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER,
                           struct.pack("HL", 1, ctypes.addressof(program)))


async def read_message(reader):
    """Reads one request: (method, target, headers, body), or None at the end of the stream."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            return None
        head += line
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def send_response(writer, status, body=b"", headers=None):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class Server:
    """One listening address on loopback."""

    def __init__(self, port=0, host="127.0.0.1"):
        self.port = port
        self.host = host
        self.writers = set()
        self.silent = False
        self.silenced = set()  # Open connections that drop what they receive.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port,
                                                 limit=MAXIMUM_LINE_BYTES)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        for writer in list(self.writers):
            self.end_connection(writer)

    def end_connection(self, writer):
        """Ends a connection as stop() does."""
        writer.transport.abort()

    def silence(self, writers):
        """Drops all further packets on these connections, without a reset; new ones work."""
        for writer in writers:
            drop_incoming_packets(writer.get_extra_info("socket"))
        self.silenced |= set(writers)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None or self.silent:
                    break
                await self.handle(writer, *message)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer closed the connection, or the test has ended.
        finally:
            self.writers.discard(writer)
            writer.close()


class Store(Server):
    """Objects by kind and name, with revisions and watches."""

    def __init__(self):
        super().__init__()
        self.era = 1  # Rises each time the store comes back from an older copy.
        self.revision = 0
        self.objects = {}
        self.change_log = []
        self.changed = asyncio.Event()
        # Referenced here: a task that waits for an unreferenced event may be garbage collected.
        self.never_set = asyncio.Event()
        self.down = False
        self.refused_kinds = set()  # Calls for these kinds get status 403.
        self.page_size = 500  # Maximum number of objects in one list response.
        self.watched_from = []  # Revision of each watch call, in order.
        self.listed_kinds = []  # Kind of each list page that was requested, in order.
        self.mute = False  # Leaves all calls unanswered, including pending watches.
        self.sent_kinds = []  # Kind of each single-object read and each watch event sent.
        self.held_kinds = set()  # Calls for these kinds wait until the kind is removed.
        self.called_kinds = []  # Kind of each call, in order.
        self.kind_by_connection = {}  # Kind of the latest call on each connection.
        self.on_page_sent = None  # Called with the object names of a list page after it was sent.
        self.bytes_per_s = {}  # By kind: rate of responses; other kinds are not limited.
        # The next rate-limited responses above 50 kB, this many, stop midway and never continue.
        self.remaining_stalls = 0

    def put(self, kind, name, spec):
        self.revision += 1
        item = {"metadata": {"name": name, "revision": self.revision}, "spec": spec}
        self.objects.setdefault(kind, {})[name] = item
        self.change_log.append((self.revision, kind, {"object": item, "gone": False}))
        self.changed.set()

    def delete(self, kind, name):
        self.revision += 1
        item = self.objects[kind].pop(name)
        self.change_log.append((self.revision, kind, {"object": item, "gone": True}))
        self.changed.set()

    def copy(self):
        """A copy from which the store may be restored later."""
        return copy.deepcopy((self.revision, self.objects, self.change_log))

    def restore(self, older_copy, keeps_watches=False):
        """Comes back from a copy: what was written since is lost, revisions are given out again.

        Watches from a revision that the copy does not have get 410, unless they wait already and
        `keeps_watches`.
        """
        self.era += 1
        self.revision, self.objects, self.change_log = copy.deepcopy(older_copy)
        if not keeps_watches:
            for writer in list(self.writers):
                writer.transport.abort()

    def respond(self, writer, status, body=b""):
        send_response(writer, status, body, {"Store-Era": self.era})

    def silence_kind(self, kind):
        """Silences the open connections whose latest call was for this kind."""
        self.silence([w for w in self.writers if self.kind_by_connection.get(w) == kind])

    async def handle(self, writer, method, target, headers, body):
        kind_called = urlsplit(target).path.split("/")[2]
        self.called_kinds.append(kind_called)
        self.kind_by_connection[writer] = kind_called
        if self.down:
            self.respond(writer, 503)
            return
        if kind_called in self.refused_kinds:
            self.respond(writer, 403)
            return
        if self.mute:
            await self.never_set.wait()
        url = urlsplit(target)
        parts = url.path.split("/")[2:]
        query = parse_qs(url.query)
        while parts[0] in self.held_kinds:
            await asyncio.sleep(0.02)
        kind = self.objects.get(parts[0], {})
        if method in ("POST", "PUT"):
            self.respond(writer, *self.write(method, parts, json.loads(body)))
        elif len(parts) == 2:
            item = kind.get(parts[1])
            self.sent_kinds.append(parts[0])
            await self.send(writer, parts[0], 200 if item else 404, item or {})
        elif "watch" in query:
            await self.watch(writer, parts[0], int(query["watch"][0]), int(query["waitMs"][0]))
        else:
            self.listed_kinds.append(parts[0])
            after = query.get("afterRev", [""])[0]
            rest = [kind[name] for name in sorted(kind) if name > after]
            await self.send(writer, parts[0], 200,
                            {"items": rest[:self.page_size], "more": len(rest) > self.page_size,
                             "at": self.revision})
            if self.on_page_sent:
                self.on_page_sent([item["metadata"]["name"] for item in rest[:self.page_size]])

    def write(self, method, parts, item):
        """Creates an object, or replaces it if the expected revision matches: (status, object)."""
        name = item["metadata"]["name"]
        current = self.objects.get(parts[0], {}).get(name)
        if method == "PUT" and current is None:
            return 404, {}
        expected = item["metadata"].get("revision")
        if current and (method == "POST" or
                        expected not in (None, current["metadata"]["revision"])):
            return 409, current
        self.put(parts[0], name, item["spec"])
        return 200, self.objects[parts[0]][name]

    async def watch(self, writer, kind, since, wait_ms):
        deadline = asyncio.get_running_loop().time() + wait_ms / 1000
        self.watched_from.append(since)
        if since > self.revision:
            self.respond(writer, 410)
            return
        while True:
            if writer in self.silenced:
                await asyncio.Event().wait()
            events = [e for r, k, e in self.change_log if r > since and k == kind]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                break
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass
        if self.mute:
            await self.never_set.wait()
        self.sent_kinds += [kind] * len(events)
        await self.send(writer, kind, 200, {"events": events, "at": self.revision})

    async def send(self, writer, kind, status, content):
        """Sends a response, at the rate in `bytes_per_s` if the kind has one."""
        rate = self.bytes_per_s.get(kind)
        if rate is None:
            self.respond(writer, status, content)
            return
        body = json.dumps(content).encode()
        writer.write((f"HTTP/1.1 {status} X\r\nStore-Era: {self.era}\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n").encode())
        step = int(rate * 0.05)
        for begin in range(0, len(body), step):
            if self.remaining_stalls > 0 and 2 * begin > len(body) > 50_000:
                self.remaining_stalls -= 1
                await asyncio.Event().wait()
            writer.write(body[begin:begin + step])
            await writer.drain()
            await asyncio.sleep(0.05)


def chunk_content(version, number):
    """Content of a chunk; chunks with an odd number are the same in every version."""
    seed = f"{number}" if number % 2 else f"{version}-{number}"
    return random.Random(seed).randbytes(CHUNK_BYTES)


class Origin(Server):
    def __init__(self):
        super().__init__()
        self.newest = 1
        self.sent_chunks = []
        self.sent_manifests = 0
        self.corrupt_once = set()

    async def handle(self, writer, method, target, headers, body):
        url = urlsplit(target)
        query = parse_qs(url.query)
        version = int(query.get("version", [self.newest])[0])
        _, action, model = url.path.split("/")
        if action == "manifest":
            self.sent_manifests += 1
            digests = [hashlib.sha256(chunk_content(version, n)).hexdigest() for n in range(CHUNKS)]
            send_response(writer, 200,
                          {"model": model, "version": version, "chunkBytes": CHUNK_BYTES,
                           "layers": LAYERS, "digests": digests})
            return
        number = int(query["num"][0])
        self.sent_chunks.append((version, number))
        data = chunk_content(version, number)
        if (version, number) in self.corrupt_once:
            self.corrupt_once.discard((version, number))
            data = b"x" + data[1:]
        send_response(writer, 200, data)


class Backend(Server):
    """Simulates an engine (if it has a model) or a plain service."""

    def __init__(self, identity, host="127.0.0.1", model=None, version=0):
        super().__init__(host=host)
        self.identity = identity
        self.model = model
        self.version = version
        self.staged = {n: chunk_content(version, n) for n in range(CHUNKS)} if version else {}
        self.orders = []
        self.seq = 0  # Number of orders carried out in this incarnation.
        self.activated_chunks = []  # Staged chunks at the time of each order in `orders`.
        self.requests = []  # Headers of each executed request.
        # Without framing, responses have no length or chunks and end with their connection.
        self.framed = True
        # whole: responds normally. shed: refuses requests without executing them. lost: executes
        # requests and aborts the connection without a response. break: aborts the next stream in
        # its fourth event, then responds normally; without framing, by an orderly close. exit: the
        # process ends after three events, or a part of a plain response, and all of its connections
        # are closed in an orderly way.
        self.mode = "whole"
        self.event_gap = 0.02
        self.events = 10
        self.leaving = False  # Announced in all responses.
        self.pause_s = None  # Pause that refusals ask for, if any.

    def end_connection(self, writer):
        if self.framed:
            super().end_connection(writer)
        else:
            writer.close()  # As the system does when a process exits.

    def notices(self, status):
        """Headers about the back end itself."""
        fields = {"Server-Leaving": 1} if self.leaving else {}
        if status == 503 and self.pause_s is not None:
            fields["Retry-After"] = self.pause_s
        return fields

    def head(self, headers, extra=(), status=200):
        return {"X-Pumicemast-Request-Id": headers.get("x-pumicemast-request-id", ""),
                "X-Pumicemast-Response-Signature": f"sig-{self.identity}",
                "X-Pumicemast-Weight-Versions": self.version, **self.notices(status), **dict(extra)}

    async def handle(self, writer, method, target, headers, body):
        url = urlsplit(target)
        query = parse_qs(url.query)
        if url.path == "/report":
            await self.handle_report(writer)
        elif url.path.startswith("/stage-put/"):
            self.stage(int(query["num"][0]), body)
            send_response(writer, 200)
        elif url.path.startswith("/stage-get/"):
            if "num" not in query:
                send_response(writer, 200, {"held": sorted(self.staged)})
            else:
                held = self.staged.get(int(query["num"][0]))
                send_response(writer, 404 if held is None else 200, held or b"")
        elif url.path == "/order":
            await self.handle_order(writer, json.loads(body))
        else:
            await self.run(writer, method, target, headers)

    def report(self):
        layers = {"from": 0, "targetVersion": LAYERS, "version": self.version}
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {"models": models if self.version else [],
                "layers": layers if self.version else None, "busy": False,
                "seq": self.seq, "queued": 0, "running": 0, "pace": 1.0}

    def is_stale(self, order):
        return order.get("expectedRev", self.seq) != self.seq

    def activate(self, order):
        """Activates the staged chunks; returns the status of the response."""
        if self.is_stale(order):
            return 409
        self.seq += 1
        self.orders.append(order)
        self.activated_chunks.append(dict(self.staged))
        self.version = order["version"]
        return 202

    # Methods that subclasses may override.
    async def handle_report(self, writer):
        send_response(writer, 200, self.report(), self.notices(200))

    async def handle_order(self, writer, order):
        send_response(writer, self.activate(order), headers=self.notices(200))

    def stage(self, number, data):
        self.staged[number] = data

    def on_request_started(self, headers):
        """Called when the execution of a request starts."""

    def plain_body(self, headers):
        return f"from {self.identity}".encode()

    def event(self, headers, number):
        return f"id: {number}\ndata: token {number}\n\n".encode()

    async def run(self, writer, method, target, headers):
        if headers.get("x-pumicemast-expect-instance") != self.identity:
            send_response(writer, 421, b"", {"X-Pumicemast-Instance-Id": self.identity})
            return
        if self.mode == "shed":
            send_response(writer, 503, b"",
                          self.head(headers, {"X-Pumicemast-Not-Executed": 1}.items(), 503))
            return
        self.requests.append(headers)
        self.on_request_started(headers)
        if self.mode == "lost":
            writer.transport.abort()
            raise ConnectionError
        if self.model is None:
            self.send_plain(writer, headers)
            return
        framed = self.framed  # For the whole stream, even if the mode changes meanwhile.
        framing = {"Transfer-Encoding": "chunked"} if framed else {}
        self.send_head(writer, self.head(headers, {"Content-Type": "text/event-stream",
                                                   **framing}.items()))
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            event = self.event(headers, number)
            if self.mode == "break" and number == first + 3:
                self.send_part(writer, event[: len(event) // 2], framed)
                await writer.drain()
                self.mode = "whole"
                if framed:
                    writer.transport.abort()
                raise ConnectionError
            if self.mode == "exit" and number == first + 3:
                self.exit()
            self.send_part(writer, event, framed)
            await writer.drain()
            await asyncio.sleep(self.event_gap)
        if not framed:
            raise ConnectionError  # Closes the connection.
        writer.write(b"0\r\n\r\n")

    def exit(self):
        """Ends the process as the system does: it closes all sockets."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        raise ConnectionError

    def send_plain(self, writer, headers):
        if self.framed:
            send_response(writer, 200, self.plain_body(headers), self.head(headers))
            return
        self.send_head(writer, self.head(headers))
        if self.mode == "exit":
            writer.write(self.plain_body(headers)[:2])
            self.exit()
        writer.write(self.plain_body(headers))
        raise ConnectionError  # Closes the connection.

    @staticmethod
    def send_head(writer, fields):
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    @staticmethod
    def send_part(writer, content, framed):
        writer.write(b"%x\r\n%s\r\n" % (len(content), content) if framed else content)
