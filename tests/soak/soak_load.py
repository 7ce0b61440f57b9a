"""Callers of the soak: each asks a gateway for something and tells the checks what came back."""

import asyncio
import time

import soak_checks
from soak_fleet import GATEWAYS

CALLERS = 8
LONGEST_PAUSE_S = 0.08


class Load:
    """Requests of all kinds, until `end`."""

    def __init__(self, platform, checks, random):
        self.platform, self.checks, self.random = platform, checks, random
        self.number = 0
        self.end = 0.0

    def start(self):
        return [asyncio.create_task(self.caller()) for _ in range(CALLERS)]

    async def caller(self):
        while time.monotonic() < self.end:
            self.number += 1
            kind = self.random.choice(["chat", "chat", "write", "read", "route"])
            host = self.random.choice(GATEWAYS)
            await self.ask(kind, host, f"{kind}-{self.number}")
            await asyncio.sleep(self.random.uniform(0.0, LONGEST_PAUSE_S))

    async def ask(self, kind, host, identity):
        checks, life = self.checks, (host, self.checks.lives[host])
        version = self.platform.version
        target = f"/v{version}/1" if kind == "route" else f"/{kind}/1"
        method = "POST" if kind == "chat" else "GET"
        limit = soak_checks.DEADLINE_S + 2 * soak_checks.LATE_S
        began = time.monotonic()
        checks.on_sent(kind)
        try:
            answered = await asyncio.wait_for(
                self.platform.call_gateway(host, method, target, identity), limit)
        except asyncio.TimeoutError:
            checks.on_no_answer(identity)
            return checks.count(kind, "no answer")
        except (OSError, IndexError, ValueError):
            return checks.count(kind, "closed")
        checks.on_answer_after(identity, time.monotonic() - began)
        checks.check(kind, identity, answered, life, version)
        return checks.count(kind, str(answered.status) if answered.complete else "cut")
