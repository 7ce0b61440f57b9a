"""Rate limits that back ends set for all gateways together during the soak."""

import asyncio

RATES = ["0.5", "1", "2", "5.5", "10"]  # Requests per second.
MAX_LIMIT_DURATION_S = 9.0  # Some windows of the check fit into this time.


class Limits:
    """Sets and removes limits, independently of the faults and with its own random generator."""

    def __init__(self, platform, checks, random):
        self.platform, self.checks, self.random = platform, checks, random
        self.limits_set = 0

    async def run(self):
        """Runs until cancelled; limits that are set then remain."""
        while True:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            backends = self.choose_backends()
            for backend in backends:
                self.set_limit(backend, self.random.choice(RATES))
            await asyncio.sleep(self.random.uniform(2.0, MAX_LIMIT_DURATION_S))
            if self.random.random() < 0.3:  # The next limit may replace it.
                continue
            self.remove_limits(backends)

    def choose_backends(self):
        group = self.random.choice([self.platform.engines, self.platform.plain])
        return group if self.random.random() < 0.4 else [self.random.choice(group)]

    def set_limit(self, backend, rate):
        self.limits_set += 1
        backend.limit = rate
        self.checks.on_limit_changed(backend, float(rate))

    def remove_limits(self, backends):
        for backend in backends:
            backend.limit = None
            self.checks.on_limit_changed(backend, None)

    def remove_all_limits(self):
        self.remove_limits(self.platform.engines + self.platform.plain)
