"""An entry and an agent before crowds of callers that send legal requests of unusual shapes, or never
complete them.

Guards against processes whose memory grows with the number of field lines or of unfinished requests.
The crowd and the bound are those of hostile_clients_test.py.

Usage: hostile_entry_test.py BUILD_FOLDER [TEST...]
"""

import re
import selectors
import socket
import sys
import time
import unittest
from pathlib import Path

import process_test
from process_test import ProcessTest, fleets

MEMORY_MB = 64  # Of the process's machine: its peak resident memory stays below.
HEAD_BYTES = 64 * 1024
CROWD = 1000
CROWD_LIMIT_S = 60
UNFINISHED_S = 5
START = b"POST /notices/ping HTTP/1.1\r\nHost: api.example\r\n"
SHORT_LINES = b"a:\r\n" * ((HEAD_BYTES - 400) // 4)
NAMES = b"".join(b"%x:1\r\n" % number for number in range(7000))
OPTIONS = b"Connection: a,b,c,d,e,f\r\n" * 2500
END = b"Content-Length: 0\r\n\r\n"


class HostileEntryTest(ProcessTest):
    fleet_options = {"zones": 1, "entries": 1, "engines": 1, "services": 1,
                     "entry": {"limits": {"entry_count": 1, "memory_mb": MEMORY_MB}}}

    def setUp(self):
        super().setUp()
        self.fleet.ctl("set", "route", "notices", "path=/notices", "service=notices")
        self.connections = []
        self.addCleanup(self.close_crowd)

    def close_crowd(self):
        for connection in self.connections:
            connection.close()

    def play_crowd(self, address, content, wait_for_responses):
        """All callers send `content`, as far as their connections are open.

        @param wait_for_responses  until each caller has received something or was closed.
        """
        host, port = address.split(":")
        selector = selectors.DefaultSelector()
        for _ in range(CROWD):
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex((host, int(port)))
            selector.register(connection, selectors.EVENT_WRITE, memoryview(content))
            self.connections.append(connection)
        end = time.monotonic() + CROWD_LIMIT_S
        while selector.get_map() and time.monotonic() < end:
            events = selector.select(1)
            if not events:
                break  # What is left is not read for now.
            for key, mask in events:
                try:
                    if mask & selectors.EVENT_READ:
                        key.fileobj.recv(4096)
                        selector.unregister(key.fileobj)
                        continue
                    rest = key.data[key.fileobj.send(key.data):]
                    if rest:
                        selector.modify(key.fileobj, selectors.EVENT_WRITE, rest)
                    elif wait_for_responses:
                        selector.modify(key.fileobj, selectors.EVENT_READ, rest)
                    else:
                        selector.unregister(key.fileobj)
                except BlockingIOError:
                    pass
                except OSError:
                    selector.unregister(key.fileobj)  # Refused or closed.
        selector.close()

    def peak_resident_mb(self, name):
        pid = self.fleet.processes[name].popen.pid
        status = Path(f"/proc/{pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) / 1024

    def check(self, name):
        """The process lives within its memory, and the entry serves an ordinary request."""
        def answers():
            try:
                return self.call("/notices/ping", {})[0] == 200
            except OSError:
                return False
        fleets.wait_until(answers, "an ordinary request is answered")
        self.assertTrue(self.fleet.processes[name].alive())
        peak = self.peak_resident_mb(name)
        print(f"{self._testMethodName}: peak resident memory {peak:.0f} MB", file=sys.stderr)
        self.assertLess(peak, MEMORY_MB)

    def check_entry(self, content, wait_for_responses, listener="callers"):
        entry = self.fleet.entries[0]
        self.play_crowd(entry[listener], content, wait_for_responses)
        self.check(entry["name"])
        if not wait_for_responses:
            time.sleep(UNFINISHED_S)
            self.check(entry["name"])

    def test_unfinished_heads_of_short_lines(self):
        self.check_entry(START + SHORT_LINES, False)

    def test_heads_without_the_stated_body(self):
        self.check_entry(START + SHORT_LINES + b"Content-Length: 10\r\n\r\n", False)

    def test_whole_heads_of_short_lines(self):
        self.check_entry(START + SHORT_LINES + END, True)

    def test_whole_heads_of_many_names(self):
        self.check_entry(START + NAMES + END, True)

    def test_whole_heads_of_many_connection_options(self):
        self.check_entry(START + OPTIONS + END, True)

    def test_unfinished_heads_at_the_operators_address(self):
        self.check_entry(START + SHORT_LINES, False, "operators")

    def test_unfinished_heads_at_an_agent(self):
        machine = self.fleet.machines[0]
        self.play_crowd(machine["http"], START + SHORT_LINES, False)
        self.check(machine["name"])
        time.sleep(UNFINISHED_S)
        self.check(machine["name"])


if __name__ == "__main__":
    process_test.main()
