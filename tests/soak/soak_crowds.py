"""Crowds of callers that send legal requests of unusual shapes, or never complete them."""

import asyncio
import re
import socket
import time
from pathlib import Path

from soak_fleet import GATEWAYS

MEMORY_MB = 64  # Of a gateway's machine: its peak resident memory stays below.
HEAD_BYTES = 32 * 1024
CROWD = 400
CROWDS = 2  # At the same time.
MAX_HOLD_S = 2.0
MAX_PAUSE_S = 1.0
CONNECT_TIMEOUT_S = 0.5
CONNECTIONS_PER_TURN = 20
FIELDS = b" HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key\r\n"
SHORT_LINES = b"a:\r\n" * ((HEAD_BYTES - 300) // 4)
#: No request that is complete has a route, so that none reaches a back end.
CONTENTS = {
    "unfinished": b"GET /read/1" + FIELDS + SHORT_LINES,
    "no-body": b"POST /write/1" + FIELDS + SHORT_LINES + b"Content-Length: 10\r\n\r\n",
    "chunks": b"POST /write/1" + FIELDS + SHORT_LINES
              + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 1000,
    "trailers": b"POST /write/1" + FIELDS + b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
                + b"a:\r\n" * 1500,
    "whole": b"GET /none/1" + FIELDS + SHORT_LINES + b"\r\n",
    "pipelined": (b"GET /none/1" + FIELDS + SHORT_LINES[:HEAD_BYTES // 8] + b"\r\n") * 8,
    "silent": b"",
}


class Crowds:
    """Such crowds in series, and the memory of the gateways."""

    def __init__(self, platform, checks, faults, random):
        self.platform, self.checks, self.faults, self.random = platform, checks, faults, random
        self.played = {}  # How many crowds of each kind.
        self.peak_mb = 0
        self.reported = set()  # Lives of gateways whose memory was reported.

    def configure(self):
        """Call before the platform starts."""
        self.platform.memory_mb = MEMORY_MB
        self.platform.limits = {"maxHeaderBytes": HEAD_BYTES}

    async def run(self, load):
        await asyncio.gather(*[self.play_crowds(load) for _ in range(CROWDS)])

    async def play_crowds(self, load):
        while time.monotonic() < load.end:
            kind, host = self.random.choice(sorted(CONTENTS)), self.random.choice(GATEWAYS)
            hold_s = self.random.uniform(0.0, MAX_HOLD_S)
            pause_s = self.random.uniform(0.0, MAX_PAUSE_S)
            self.faults.timeline.append((time.monotonic(), f"crowd {kind} at {host}"))
            await self.play(kind, host, hold_s)
            self.played[kind] = self.played.get(kind, 0) + 1
            await asyncio.sleep(pause_s)

    async def play(self, kind, host, hold_s):
        connections = []
        try:
            while len(connections) < CROWD:
                opened = await asyncio.gather(*[self.connect(host)
                                                for _ in range(CONNECTIONS_PER_TURN)])
                connections += filter(None, opened)
                if None in opened:
                    break  # The gateway is stopped, frozen or full.
                for connection in opened:
                    self.send(connection, CONTENTS[kind])
            await asyncio.sleep(hold_s)
        finally:
            for connection in connections:
                connection.close()
            self.check_memory()

    async def connect(self, host):
        connection = socket.socket()
        connection.setblocking(False)
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(
                connection, (host, self.platform.ports[host][0])), CONNECT_TIMEOUT_S)
            return connection
        except (OSError, asyncio.TimeoutError):
            connection.close()
            return None

    @staticmethod
    def send(connection, content):
        try:
            connection.send(content)
        except OSError:
            pass  # Closed, or not read for now.

    def check_memory(self):
        for host in GATEWAYS:
            life = (host, self.checks.incarnations[host])
            try:
                status = Path(f"/proc/{self.platform.gateways[host].pid}/status").read_text()
            except OSError:
                continue
            peak = re.search(r"VmHWM:\s+(\d+) kB", status)
            if peak is None or self.platform.gateways[host].poll() is not None:
                continue  # It has ended.
            peak_mb = int(peak.group(1)) / 1024
            self.peak_mb = max(self.peak_mb, peak_mb)
            if peak_mb >= MEMORY_MB and life not in self.reported:
                self.reported.add(life)
                self.checks.report_violation("MEMORY", f"{host}: peak of {peak_mb:.0f} MB")
