"""Gateway and agent processes before a store with entries of another writer that can't be read.

Guards against one such entry that hides the whole list from its readers, or ends them: an escape or
a number that the JSON parser refuses, or lists nested so deep that a copy exhausts the stack.

Usage: odd_entries_test.py BUILD_FOLDER [TEST...]
"""

import json
import signal
import sys
import tempfile
import unittest

from platform_standin import Backend, Store
from platform_test import ENGINES, Platform
from process_test import known_failures

DEPTH = 60_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
# The JSON text of one value of an entry.
ODD_VALUES = {
    "surrogate": b'"release \\ud83d"',
    "escape": b'"\\x00"',
    "huge": b"1e400",
    "negative": b"-1e400",
    "nested": NESTED,
    "objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "invalid": b'"\xff\xfe\x01"',
    "zero": b'"a\\u0000b"',
    "large": b"1e300",
}


class RawStore(Store):
    """Keeps odd values as they were written: a string with a mark stands for each of them."""

    @staticmethod
    def mark(name):
        return f"@{name}@"

    def respond(self, writer, status, body=b""):
        text = json.dumps(body).encode() if not isinstance(body, bytes) else body
        for name, value in ODD_VALUES.items():
            text = text.replace(json.dumps(self.mark(name)).encode(), value)
        super().respond(writer, status, text)

    def put_odd(self, kind, value, field):
        """Adds an entry with an odd field; the whole spec is odd without a field."""
        entry = {"service": "plain", "address": "127.0.0.9:9", "zone": "z1", "version": "4.1",
                 "slots": 4, "state": "resting", "coldLeftMs": 0, "seq": 1}
        name = f"a-{value}-{field}"
        self.put(kind, name, {**entry, field: self.mark(value)} if field else self.mark(value))
        return name


class OddEntriesPlatform(Platform):
    store_class = RawStore

    def __init__(self, folder):
        super().__init__(folder)
        self.new_backends = []

    async def stop(self):
        await super().stop()
        for backend in self.new_backends:
            await backend.stop()

    async def add_backend(self):
        backend = Backend(f"new{len(self.new_backends)}")
        self.new_backends.append(backend)
        await backend.start()
        self.register(backend, "plain")
        return backend

    def put_all(self, kind):
        for value in ODD_VALUES:
            for field in ("zone", None):
                self.store.put_odd(kind, value, field)


class OddEntriesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        if f"odd_entries_test.{type(self).__name__}.{self._testMethodName}" in known_failures():
            self.skipTest("listed in KNOWN-RED.txt")
        self.folder = tempfile.TemporaryDirectory()
        self.platform = OddEntriesPlatform(self.folder.name)
        await self.platform.start()

    async def asyncTearDown(self):
        await self.platform.stop()
        self.folder.cleanup()

    def check_processes(self):
        self.assertEqual([None] * len(self.platform.processes),
                         [process.poll() for process in self.platform.processes],
                         self.platform.describe_exited_processes())

    async def check_learned(self, backend):
        """The gateway sends requests to a back end that appeared beside the odd entry."""
        async def gets_a_request():
            self.check_processes()
            await self.platform.call("GET", "/read/1")
            return bool(backend.requests)
        await self.platform.wait(gets_a_request, 5)

    async def check_each(self, field):
        for value in ODD_VALUES:
            with self.subTest(value=value, field=field):
                self.check_processes()
                name = self.platform.store.put_odd("servers", value, field)
                backend = await self.platform.add_backend()
                await self.check_learned(backend)
                self.platform.store.delete("servers", name)
                self.platform.store.delete("servers", backend.identity)

    async def test_an_odd_field_in_a_change_hides_no_other_entry(self):
        await self.check_each("zone")

    async def test_an_odd_unknown_field_in_a_change_hides_no_other_entry(self):
        await self.check_each("comment")

    async def test_an_odd_entry_in_a_change_hides_no_other_entry(self):
        await self.check_each(None)

    async def test_odd_entries_hide_no_other_from_a_gateway_that_starts(self):
        for kind in ("servers", "versions", "config"):
            self.platform.put_all(kind)
        self.platform.run_second_gateway(self.platform.store.port)

        async def serves():
            self.check_processes()
            try:
                response = await self.platform.call("GET", "/read/1", host="127.0.0.2",
                                                    port=self.platform.second_callers)
                return response.status == 200
            except OSError:
                return False
        await self.platform.wait(serves, 15)
        backend = await self.platform.add_backend()
        await self.check_learned(backend)

    async def test_odd_entries_hide_no_other_from_agents(self):
        """Without a gateway that relays the list, agents read it from the store."""
        for kind in ("servers", "versions", "config"):
            self.platform.put_all(kind)
        self.platform.gateway.send_signal(signal.SIGTERM)
        await self.platform.wait(lambda: self.platform.gateway.poll() is not None, 8)
        self.platform.processes.remove(self.platform.gateway)
        store = self.platform.store
        listed = len(store.listed_kinds)

        def both_read_backends_again():
            self.check_processes()
            return store.listed_kinds[listed:].count("servers") >= 2 * len(ENGINES)
        await self.platform.wait(both_read_backends_again, 15)
        self.platform.origin.newest = 2
        store.put("versions", "m", {"model": "m", "version": 2})

        def engines_serve_it():
            self.check_processes()
            return all(engine.version == 2 for engine in self.platform.engines)
        await self.platform.wait(engines_serve_it, 20)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], *sys.argv[2:]], verbosity=2)
