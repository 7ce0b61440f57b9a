"""Back ends that name how many requests a second they take of all gateways together."""

import asyncio

RATES = ["0.5", "1", "2", "5.5", "10"]  # Requests a second.
LONGEST_S = 9.0  # For which one limit is named; some windows of the check fit in.


class Limits:
    """Names and lifts limits beside whatever else is played. Its draws are its own."""

    def __init__(self, platform, checks, random):
        self.platform, self.checks, self.random = platform, checks, random
        self.named = 0

    async def run(self):
        """Until cancelled; limits that are named then stay."""
        while True:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            runners = self.drawn()
            for runner in runners:
                self.name(runner, self.random.choice(RATES))
            await asyncio.sleep(self.random.uniform(2.0, LONGEST_S))
            if self.random.random() < 0.3:  # Another limit follows at once.
                continue
            self.lift(runners)

    def drawn(self):
        group = self.random.choice([self.platform.engines, self.platform.plain])
        return group if self.random.random() < 0.4 else [self.random.choice(group)]

    def name(self, runner, rate):
        self.named += 1
        runner.limit = rate
        self.checks.on_limit(runner, float(rate))

    def lift(self, runners):
        for runner in runners:
            runner.limit = None
            self.checks.on_limit(runner, None)

    def lift_all(self):
        self.lift(self.platform.engines + self.platform.plain)
