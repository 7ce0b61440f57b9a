"""Routes of different priorities, and several tenants, that compete for slots during the soak."""

import asyncio
import time

from soak_fleet import GATEWAYS

PRIORITIES = {"urgent": 0, "usual": 1, "bulk": 2}  # By route.
KEYS = ["key", "key-second", "key-third"]  # The first tenant is the largest.
KEY_WEIGHTS = [3, 2, 1]
CALLERS = 24  # With those of the usual load more than the slots of the engines.
MAX_PAUSE_S = 0.1
MAX_BURST_PAUSE_S = 4.0
BURST_REQUESTS = 40
MAX_RETRY_S = 1.0


class Priorities:
    """Additional callers, with their own random generator. One class or tenant at a time bursts."""

    def __init__(self, platform, checks, load, random):
        self.platform, self.checks, self.load, self.random = platform, checks, load, random
        self.number = 0
        self.outcomes = {}  # By route and status.

    def configure(self):
        """Adds the routes and tenants to all configurations. Call before the platform starts."""
        self.checks.checks_all_refusals = True
        self.platform.priority_routes = [
            {**self.platform.route(f"/chat/{name}/", "stream", "engines", 2, resumable=True),
             "priority": priority} for name, priority in PRIORITIES.items()]
        self.platform.other_tenants = [
            {"name": "second", "apiKeys": [KEYS[1]]},
            {"name": "third", "apiKeys": [KEYS[2]], "priority": PRIORITIES["bulk"]}]

    def start(self):
        return [asyncio.create_task(self.run_caller()) for _ in range(CALLERS)] \
            + [asyncio.create_task(self.run_bursts())]

    async def run_caller(self):
        while time.monotonic() < self.load.end:
            await self.call(self.random.choice(list(PRIORITIES)),
                            self.random.choices(KEYS, KEY_WEIGHTS)[0])
            await asyncio.sleep(self.random.uniform(0.0, MAX_PAUSE_S))

    async def run_bursts(self):
        while time.monotonic() < self.load.end:
            name, key = self.random.choice(list(PRIORITIES)), self.random.choice(KEYS)
            await asyncio.gather(*(self.call(name, key) for _ in range(BURST_REQUESTS)))
            await asyncio.sleep(self.random.uniform(0.0, MAX_BURST_PAUSE_S))

    async def call(self, name, key):
        """Sends a request, and once more after a refusal when it is told to return."""
        host = self.random.choice(GATEWAYS)
        response = await self.send(name, host, key)
        if response is None or response.status != 503 or "retry-after" not in response.headers:
            return
        await asyncio.sleep(min(float(response.headers["retry-after"]), MAX_RETRY_S))
        await self.send(name, host, key)

    async def send(self, name, host, key):
        self.number += 1
        response = await self.load.send_request("chat", host, f"chat-{name}-{self.number}",
                                                f"/chat/{name}/1", key)
        outcome = f"{name} {response.status if response else 'none'}"
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        return response
