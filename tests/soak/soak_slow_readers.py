"""Callers that take long to read or to send, and planned work of gateways in overlapping series."""

import asyncio
import signal
import socket
import time

from planned_stop_test import PacedReader, content_of, encode_request
from soak_fleet import GATEWAYS

SLOW_KINDS = ["half-closing", "pipelining", "slow", "two-part"]
CALLERS = 6
#: More than the socket buffers on the way hold, so that the gateway queues the rest.
MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES = 300_000, 600_000
PIPELINED_RESPONSE_BYTES = 150_000
#: Longer than a stop without open requests, together shorter than the grace period.
MIN_READ_S, MAX_READ_S = 3.2, 4.5
RECEIVE_BUFFER_BYTES = 8192
DEADLINE_MS = 30_000
CONNECT_TIMEOUT_S = 3.0
REQUESTS_PER_CONNECTION = 3
MAX_PAUSE_S = 0.3
MAX_BODY_GAP_S = 1.5
BODY_BYTES = 4000
STOP_GRACE_MS = 15_000
SLOTS = 16
#: With a limit, gateways set small socket buffers, as on deployed machines.
MEMORY_MB = 260
IDLE_TIMEOUTS_MS = [1000, 1500, 2000]
USUAL_IDLE_TIMEOUT_MS = 15_000
#: A process that started more recently may not handle signals yet.
MIN_AGE_S = 1.0
MAX_SERIES_GAP_S = 2.0


class SlowReaders:
    """Additional callers and planned work, with their own random generator."""

    def __init__(self, platform, checks, load, faults, random):
        self.platform, self.checks, self.load, self.faults = platform, checks, load, faults
        self.random = random
        self.number = 0
        self.outcomes = {}  # By kind of caller and outcome.
        self.planned = {}  # How often each kind of planned work was done.
        self.kinds = []  # Kinds of callers, some of SLOW_KINDS; set by the soak.
        self.calls = {"slow": self.read_slowly, "half-closing": self.close_direction,
                      "pipelining": self.pipeline, "two-part": self.send_in_two_parts}

    def configure(self):
        """Adds the routes of large responses. Call before the platform starts."""
        self.platform.slots, self.platform.memory_mb = SLOTS, MEMORY_MB
        self.platform.stop_grace_ms = STOP_GRACE_MS
        routes = [self.platform.route("/large/", "safe", "plain", 2),
                  self.platform.route("/large-write/", "unsafe", "plain", 1)]
        self.platform.priority_routes = self.platform.priority_routes + [
            {**route, "timeoutMs": DEADLINE_MS} for route in routes]

    def start(self):
        return [asyncio.create_task(self.run_caller()) for _ in range(CALLERS)] \
            + [asyncio.create_task(self.run_planned_work())]

    # ---- callers ----

    async def run_caller(self):
        while time.monotonic() < self.load.end:
            kind = self.random.choice(self.kinds)
            host = self.random.choice(GATEWAYS)
            try:
                reader, writer = await asyncio.wait_for(self.connect(host), CONNECT_TIMEOUT_S)
            except (OSError, asyncio.TimeoutError):
                self.count(kind, "not connected")
                await asyncio.sleep(MAX_PAUSE_S)
                continue
            try:
                await self.calls[kind](kind, host, reader, writer)
            finally:
                writer.close()
            await asyncio.sleep(self.random.uniform(0.0, MAX_PAUSE_S))

    async def connect(self, host):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.setblocking(False)
        try:
            port = self.platform.ports[host][0]
            await asyncio.get_running_loop().sock_connect(connection, (host, port))
        except BaseException:
            connection.close()
            raise
        return await asyncio.open_connection(sock=connection, limit=RECEIVE_BUFFER_BYTES)

    def create_request(self, kind, host, size, route="large", **options):
        """Announces a request to the checks; returns its identity and text."""
        self.number += 1
        prefix = "write" if route == "large-write" else "large"
        identity = f"{prefix}-{kind}-{self.number}"
        self.checks.bodies[identity] = content_of(identity, size)
        self.checks.on_sent("large", identity, (host, self.checks.incarnations[host]))
        return identity, encode_request(f"/{route}/{self.number}", identity,
                                        more={"X-Pumicemast-Deadline-Ms": str(DEADLINE_MS)}.items(),
                                        **options)

    def random_size(self):
        return self.random.randrange(MIN_RESPONSE_BYTES, MAX_RESPONSE_BYTES)

    def paced(self, reader, size):
        return PacedReader(reader, size / self.random.uniform(MIN_READ_S, MAX_READ_S))

    async def receive(self, kind, identity, reader, read_whole=False, first=False):
        """Reads and checks a response; returns whether the connection can be used again.

        `first` is set for a request that is sent in one part as soon as its connection is open. If
        that connection ends without a response and without a reset, the gateway has read the
        request: the system resets connections that are closed with unread input.
        """
        try:
            response = await asyncio.wait_for(self.platform.read_response(reader, None),
                                              DEADLINE_MS / 1000)
        except IndexError:  # The stream ends where a status line should begin.
            response, read_whole = None, read_whole or first
        except (OSError, ValueError, asyncio.TimeoutError):
            response = None
        self.checks.check_large_response(identity, response, DEADLINE_MS / 1000, read_whole)
        whole = response is not None and response.complete
        self.count(kind, str(response.status) if whole else "cut" if response else "closed")
        return whole and response.headers.get("connection", "").lower() != "close"

    def count(self, kind, outcome):
        key = f"{kind} {outcome}"
        self.outcomes[key] = self.outcomes.get(key, 0) + 1

    async def read_slowly(self, kind, host, reader, writer):
        """Several requests on a kept connection."""
        for number in range(self.random.randint(1, REQUESTS_PER_CONNECTION)):
            size = self.random_size()
            identity, text = self.create_request(kind, host, size)
            writer.write(text)
            if not await self.receive(kind, identity, self.paced(reader, size), first=number == 0):
                return
            await asyncio.sleep(self.random.uniform(0.0, MAX_PAUSE_S))

    async def close_direction(self, kind, host, reader, writer):
        size = self.random_size()
        identity, text = self.create_request(kind, host, size)
        writer.write(text)
        await asyncio.sleep(self.random.choice([0.0, 0.2]))
        try:
            writer.write_eof()
        except OSError:
            pass  # The gateway has closed the connection; no response follows.
        await self.receive(kind, identity, self.paced(reader, size), first=True)

    async def pipeline(self, kind, host, reader, writer):
        count = self.random.randint(2, 4)
        requests = [self.create_request(kind, host, PIPELINED_RESPONSE_BYTES) for _ in range(count)]
        # One segment: when the gateway answers the first request, it has read all of them.
        writer.write(b"".join(text for _, text in requests))
        paced = self.paced(reader, count * PIPELINED_RESPONSE_BYTES)
        read_whole = False
        for number, (identity, _) in enumerate(requests):
            await self.receive(kind, identity, paced, read_whole, first=number == 0)
            read_whole = read_whole or self.checks.has_started(identity)

    async def send_in_two_parts(self, kind, host, reader, writer):
        size = self.random_size()
        identity, text = self.create_request(kind, host, size, "large-write", method="POST",
                                             body=b"x" * BODY_BYTES)
        writer.write(text[:-BODY_BYTES // 2])
        await asyncio.sleep(self.random.uniform(0.1, MAX_BODY_GAP_S))
        writer.write(text[-BODY_BYTES // 2:])
        await self.receive(kind, identity, self.paced(reader, size))

    # ---- planned work ----

    async def run_planned_work(self):
        """Series of stops, reloads and configurations, which may overlap."""
        tasks = []
        work = [self.stop, self.stop, self.reload, self.lower_idle_timeout]
        while time.monotonic() < self.load.end:
            chosen = self.random.choice(work)
            self.planned[chosen.__name__] = self.planned.get(chosen.__name__, 0) + 1
            tasks.append(asyncio.create_task(chosen()))
            if self.random.random() < 0.3:
                await tasks[-1]
            await asyncio.sleep(self.random.uniform(0.1, MAX_SERIES_GAP_S))
        await asyncio.gather(*tasks)

    def random_gateway(self):
        """A gateway that handles signals, or None."""
        now = time.monotonic()
        ready = [host for host, process in sorted(self.platform.gateways.items())
                 if process.poll() is None
                 and now - self.platform.gateway_started_at[host] > MIN_AGE_S]
        return self.random.choice(ready) if ready else None

    async def stop(self):
        """Sends SIGTERM, often again, and sometimes SIGHUP; then starts the gateway again."""
        host = self.random_gateway()
        if host is None:
            return
        process = self.platform.gateways[host]
        restart = self.faults.restart_function(self.platform.gateways, host, process)
        stopped = asyncio.create_task(
            self.faults.stop_process(process, restart, signal.SIGTERM, 1.0))
        for _ in range(self.random.choice([0, 1, 3])):
            await asyncio.sleep(self.random.uniform(0.05, 1.0))
            if process.poll() is None:
                process.send_signal(self.random.choice(
                    [signal.SIGTERM, signal.SIGTERM, signal.SIGHUP]))
        await stopped

    async def reload(self):
        for _ in range(self.random.choice([1, 3])):
            host = self.random_gateway()
            if host is not None:
                self.platform.gateways[host].send_signal(signal.SIGHUP)
            await asyncio.sleep(self.random.uniform(0.05, 0.5))

    async def lower_idle_timeout(self):
        self.platform.limits = {"idleTimeoutMs": self.random.choice(IDLE_TIMEOUTS_MS)}
        self.platform.add_route()
        await asyncio.sleep(self.random.uniform(1.0, 5.0))
        self.platform.limits = {"idleTimeoutMs": USUAL_IDLE_TIMEOUT_MS}
        self.platform.add_route()
