"""A TCP proxy on loopback whose links can be slowed, held, silenced or reset while they are in use.

Bytes are never dropped from a connection that lives on: as on a real network, what is held up comes
later, or the connection breaks, or it says nothing more for good.
"""

import asyncio

CHUNK = 65536


class LoopbackProxy:
    """Listens on `host` and forwards to (`target_host`, `target_port`)."""

    def __init__(self, host, target_host, target_port):
        self.host, self.target = host, (target_host, target_port)
        self.delay = 0.0  # Seconds that each piece takes, either way.
        self.refusing = False  # New connections are closed at once.
        self.open_ways = {"up": asyncio.Event(), "down": asyncio.Event()}
        self.writers = set()
        self.passing = set()  # An event for each open connection; cleared when it goes silent.
        self.heal()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        self.reset()

    def heal(self):
        self.delay, self.refusing = 0.0, False
        for way in self.open_ways.values():
            way.set()

    def hold(self, *ways):
        """Holds up what goes "up" (to the target), "down", or both."""
        for way in ways:
            self.open_ways[way].clear()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def silence(self):
        """What is open now never says anything again, nor breaks; new connections work."""
        for passes in self.passing:
            passes.clear()
        return len(self.passing)

    async def serve(self, reader, writer):
        if self.refusing:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        both = {writer, target_writer}
        passes = asyncio.Event()
        passes.set()
        self.writers |= both
        self.passing.add(passes)
        try:
            await asyncio.gather(self.pump("up", reader, target_writer, passes),
                                 self.pump("down", target_reader, writer, passes))
        except (ConnectionError, asyncio.CancelledError, OSError):
            pass  # One side broke off: so does the other.
        finally:
            self.writers -= both
            self.passing.discard(passes)
            for end in both:
                end.transport.abort()

    async def pump(self, way, reader, writer, passes):
        while data := await reader.read(CHUNK):
            if self.delay:
                await asyncio.sleep(self.delay)
            await self.open_ways[way].wait()
            await passes.wait()
            writer.write(data)
            await writer.drain()
        await self.open_ways[way].wait()
        await passes.wait()
        if writer.can_write_eof():
            writer.write_eof()
        if way == "down":
            raise ConnectionError
