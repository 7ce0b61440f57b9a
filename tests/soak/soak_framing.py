"""Back ends that answer without a length or chunks during the soak, and cut some of it off."""

import asyncio
import time

MAX_PAUSE_S = 1.0
MAX_DURATION_S = 3.0


class Framing:
    """Independent of the faults and with its own random generator."""

    def __init__(self, platform, checks, random):
        self.platform, self.checks, self.random = platform, checks, random
        self.unframed = 0
        self.cut = 0

    async def run(self, end):
        """Runs until cancelled; cuts streams off until `end` only, so that all bounds are checked."""
        while True:
            await asyncio.sleep(self.random.uniform(0.1, MAX_PAUSE_S))
            backend = self.random.choice(self.platform.engines + self.platform.plain)
            backend.framed = False
            self.unframed += 1
            await self.cut_streams(backend, self.random.uniform(0.5, MAX_DURATION_S), end)
            backend.framed = True

    async def cut_streams(self, backend, duration, end):
        """An engine closes some of its streams inside an event, in an orderly way."""
        step = duration / 4
        for _ in range(4):
            cuts = self.random.random() < 0.5 and time.monotonic() < end
            if cuts and backend.model and backend.mode == "whole":
                self.checks.disturb_engines(2 * step)
                backend.mode = "break"
                self.cut += 1
            await asyncio.sleep(step)

    def finish(self):
        """All back ends state the ends of their responses again."""
        for backend in self.platform.engines + self.platform.plain:
            backend.framed = True
