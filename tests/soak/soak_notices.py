"""Back ends that say in responses that they leave, or ask for pauses, during the soak."""

import asyncio

from soak_checks import DRAIN_LIMIT_S

PAUSES = ["0.4", "1", "2.5", "4"]  # Seconds.


class Notices:
    """Independent of the faults and with its own random generator."""

    def __init__(self, platform, checks, random):
        self.platform, self.checks, self.random = platform, checks, random
        self.current = None
        self.announced = 0
        self.paused = 0

    async def run(self):
        """Runs until cancelled; finish() waits for the end of what was begun."""
        while True:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            notice = self.random.choice([self.leave, self.pause])
            self.current = asyncio.create_task(notice())
            await asyncio.shield(self.current)

    async def finish(self):
        if self.current:
            await self.current

    def choose_backend(self):
        group = self.random.choice([self.platform.engines, self.platform.plain])
        return self.random.choice(group)

    async def leave(self):
        """A back end announces its leaving; the store may never say so. Another one takes over."""
        backend = self.choose_backend()
        if backend.draining_since or backend.down:
            return
        self.announced += 1
        backend.down = True  # No other fault ends it meanwhile.
        backend.leaving = True
        if self.random.random() < 0.5:
            self.platform.register(backend, backend.service, state="draining")
        await asyncio.sleep(DRAIN_LIMIT_S + self.random.uniform(0.5, 2.5))
        old = backend.identity
        self.checks.disturb_engines(0)
        await backend.restart()
        backend.leaving, backend.announced_at = False, None
        self.platform.register(backend, backend.service)
        self.platform.unregister(old)
        self.checks.disturb_engines(0)
        backend.down = False

    async def pause(self):
        """Back ends refuse all requests for a while and ask for pauses."""
        group = self.random.choice([self.platform.engines, self.platform.plain])
        backends = group if self.random.random() < 0.2 else [self.random.choice(group)]
        self.paused += len(backends)
        for backend in backends:
            backend.pause_s, backend.mode = self.random.choice(PAUSES), "shed"
        self.checks.disturb_engines(0)
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        for backend in backends:
            backend.mode = "whole"
        self.checks.disturb_engines(float(max(backend.pause_s for backend in backends)))
