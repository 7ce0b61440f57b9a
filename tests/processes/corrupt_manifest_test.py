"""Agent processes with an origin that corrupts bytes of manifests.

Guards against a manifest that is believed unchecked: engines were ordered to start a version that
nobody had named, and a version whose manifest had a corrupt digest never became complete.
Usage: corrupt_manifest_test.py BUILD_FOLDER [TEST...]
"""

import asyncio
import random
import sys
import tempfile
import unittest
import unittest.mock

import platform_test
from platform_standin import CHUNKS, Origin, chunk_content

SEED = 1
#: Two agents confirm a manifest with two answers each; a corrupt answer costs them up to two more.
MAXIMUM_MANIFESTS = 8


class CorruptingWriter:
    def __init__(self, writer, corrupt):
        self.writer, self.corrupt = writer, corrupt

    def write(self, data):
        self.writer.write(self.corrupt(data))


class CorruptingOrigin(Origin):
    """Passes answers with manifests through `corrupt`, which gets their number from 0."""

    corrupt = None

    async def handle(self, writer, method, target, headers, body):
        if self.corrupt and target.startswith("/manifest/"):
            number, corrupt = self.sent_manifests, self.corrupt
            writer = CorruptingWriter(writer, lambda data: corrupt(number, data))
        await super().handle(writer, method, target, headers, body)


def change_version(data):
    """One flipped bit: 1 becomes 3, and 2 becomes 0."""
    at = data.index(b'"version": ') + len(b'"version": ')
    return data[:at] + bytes([data[at] ^ 2]) + data[at + 1:]


def change_digest(data):
    at = data.index(b'"digests": ["') + len(b'"digests": ["')
    return data[:at] + (b"1" if data[at:at + 1] == b"0" else b"0") + data[at + 1:]


class CorruptManifestTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.platform = platform_test.Platform(self.folder.name)
        self.origin = CorruptingOrigin()

    async def start(self):
        with unittest.mock.patch.object(platform_test, "Origin", lambda: self.origin):
            await self.platform.start()

    async def asyncTearDown(self):
        await self.platform.stop()
        self.folder.cleanup()

    def corrupt_next(self, change):
        """Corrupts the next manifest only."""
        first = self.origin.sent_manifests
        self.origin.corrupt = lambda number, data: change(data) if number == first else data

    def name_version(self, version):
        self.origin.newest = version
        self.platform.store.put("versions", "m", {"model": "m", "version": version})

    async def wait_for_version(self, version):
        await self.platform.wait(lambda: all(e.version == version for e in self.platform.engines), 10)
        self.assert_versions_unmixed()

    def assert_versions_unmixed(self):
        for engine in self.platform.engines:
            for order, chunks in zip(engine.orders, engine.activated_chunks, strict=True):
                self.assertLessEqual(order["version"], self.origin.newest)
                self.assertEqual({n: chunk_content(order["version"], n) for n in range(CHUNKS)},
                                 chunks)

    async def test_a_version_that_nobody_named_is_not_started(self):
        self.corrupt_next(change_version)
        await self.start()
        await asyncio.sleep(2)  # In which the engines were ordered to start version 3.
        self.assertLessEqual(self.origin.sent_manifests, MAXIMUM_MANIFESTS)
        self.assert_versions_unmixed()
        self.name_version(2)
        await self.wait_for_version(2)

    async def test_a_corrupt_digest_delays_no_version(self):
        await self.start()
        before = self.origin.sent_manifests
        self.corrupt_next(change_digest)
        self.name_version(2)
        await self.wait_for_version(2)
        self.assertLessEqual(self.origin.sent_manifests - before, MAXIMUM_MANIFESTS)

    async def test_a_corrupt_digest_delays_no_version_after_a_restart_of_all_agents(self):
        await self.start()
        self.corrupt_next(change_digest)
        self.name_version(2)
        agents = self.platform.processes[:len(self.platform.engines)]
        for agent in agents:
            agent.kill()
            agent.wait()
        for index, engine in enumerate(self.platform.engines):
            self.platform.run_host(index, engine)
        await self.wait_for_version(2)

    async def test_versions_arrive_while_any_byte_of_manifests_may_be_corrupt(self):
        generator = random.Random(SEED)

        def corrupt_any_byte(_, data):
            if generator.random() >= 0.5:
                return data
            at = data.index(b"\r\n\r\n") + 4
            at += generator.randrange(len(data) - at)
            return data[:at] + bytes([data[at] ^ 1 << generator.randrange(8)]) + data[at + 1:]

        self.origin.corrupt = corrupt_any_byte
        await self.start()
        for version in range(2, 7):
            self.name_version(version)
            await self.wait_for_version(version)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], *sys.argv[2:]])
