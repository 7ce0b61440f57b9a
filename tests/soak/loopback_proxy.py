"""A TCP proxy on loopback whose connections can be delayed, held, silenced or reset during use.

Bytes are never dropped from a connection that stays open: as on a real network, held data arrives
later, or the connection breaks, or it stays silent forever.
"""

import asyncio

READ_BYTES = 65536


class LoopbackProxy:
    """Listens on `host` and forwards to (`target_host`, `target_port`)."""

    def __init__(self, host, target_host, target_port):
        self.host, self.target = host, (target_host, target_port)
        self.delay = 0.0  # Seconds that each read is delayed, in either direction.
        self.refusing = False  # New connections are aborted.
        self.direction_gates = {"up": asyncio.Event(), "down": asyncio.Event()}
        self.writers = set()
        self.connection_gates = set()  # An event for each open connection; cleared to silence it.
        self.restore()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        self.server.close()
        self.reset()

    def restore(self):
        self.delay, self.refusing = 0.0, False
        for direction in self.direction_gates.values():
            direction.set()

    def hold(self, *directions):
        """Holds data in the directions "up" (to the target), "down", or both."""
        for direction in directions:
            self.direction_gates[direction].clear()

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def silence(self):
        """Silences open connections for good without closing them; returns their number.

        New connections work.
        """
        for gate in self.connection_gates:
            gate.clear()
        return len(self.connection_gates)

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
        gate = asyncio.Event()
        gate.set()
        self.writers |= both
        self.connection_gates.add(gate)
        try:
            await asyncio.gather(self.pump("up", reader, target_writer, gate),
                                 self.pump("down", target_reader, writer, gate))
        except (ConnectionError, asyncio.CancelledError, OSError):
            pass  # One side closed or reset its connection: the other is aborted too.
        finally:
            self.writers -= both
            self.connection_gates.discard(gate)
            for end in both:
                end.transport.abort()

    async def pump(self, direction, reader, writer, gate):
        while data := await reader.read(READ_BYTES):
            if self.delay:
                await asyncio.sleep(self.delay)
            await self.direction_gates[direction].wait()
            await gate.wait()
            writer.write(data)
            await writer.drain()
        await self.direction_gates[direction].wait()
        await gate.wait()
        if writer.can_write_eof():
            writer.write_eof()
        if direction == "down":
            raise ConnectionError
