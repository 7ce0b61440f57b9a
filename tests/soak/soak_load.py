"""Callers of the soak: they send requests to gateways and report the responses to the checks."""

import asyncio
import time

import soak_checks
from soak_fleet import GATEWAYS

CALLERS = 8
MAX_PAUSE_S = 0.08


class Load:
    """Sends requests of all kinds until `end`."""

    def __init__(self, platform, checks, random):
        self.platform, self.checks, self.random = platform, checks, random
        self.number = 0
        self.end = 0.0

    def start(self):
        return [asyncio.create_task(self.run_caller()) for _ in range(CALLERS)]

    async def run_caller(self):
        while time.monotonic() < self.end:
            self.number += 1
            kind = self.random.choice(["chat", "chat", "write", "read", "route"])
            host = self.random.choice(GATEWAYS)
            await self.send_request(kind, host, f"{kind}-{self.number}")
            await asyncio.sleep(self.random.uniform(0.0, MAX_PAUSE_S))

    async def send_request(self, kind, host, identity, target=None, key="key"):
        """Returns the response, or None without one."""
        checks, incarnation = self.checks, (host, self.checks.incarnations[host])
        version = self.platform.version
        target = target or (f"/v{version}/1" if kind == "route" else f"/{kind}/1")
        method = "POST" if kind == "chat" else "GET"
        limit = soak_checks.DEADLINE_S + 2 * soak_checks.DEADLINE_TOLERANCE_S
        started_at = time.monotonic()
        checks.on_sent(kind, identity, incarnation)
        try:
            response = await asyncio.wait_for(
                self.platform.call_gateway(host, method, target, identity, key=key), limit)
        except asyncio.TimeoutError:
            checks.on_response_timeout(identity)
            return checks.count_outcome(kind, "no response")
        except (OSError, IndexError, ValueError):
            return checks.count_outcome(kind, "closed")
        checks.on_response_time(identity, time.monotonic() - started_at)
        checks.check_response(kind, identity, response, incarnation, version)
        checks.count_outcome(kind, str(response.status) if response.complete else "interrupted")
        return response
