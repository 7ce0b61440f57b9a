"""Back ends that name how many requests a second they take of all gateways together."""

import asyncio

RATES = ["0.5", "1", "2", "5.5", "10"]  # Requests a second.
MAX_LIMIT_DURATION_S = 9.0  # For which one limit is named; some windows of the check fit in.


class Limits:
    """Names and lifts limits beside whatever else is played. Its draws are its own."""

    def __init__(self, platform, checks, random):
        self.platform, self.checks, self.random = platform, checks, random
        self.limits_set = 0

    async def run(self):
        """Until cancelled; limits that are named then stay."""
        while True:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            runners = self.choose_runners()
            for runner in runners:
                self.set_limit(runner, self.random.choice(RATES))
            await asyncio.sleep(self.random.uniform(2.0, MAX_LIMIT_DURATION_S))
            if self.random.random() < 0.3:  # Another limit follows at once.
                continue
            self.remove_limits(runners)

    def choose_runners(self):
        group = self.random.choice([self.platform.engines, self.platform.plain])
        return group if self.random.random() < 0.4 else [self.random.choice(group)]

    def set_limit(self, runner, rate):
        self.limits_set += 1
        runner.limit = rate
        self.checks.on_limit_changed(runner, float(rate))

    def remove_limits(self, runners):
        for runner in runners:
            runner.limit = None
            self.checks.on_limit_changed(runner, None)

    def remove_all_limits(self):
        self.remove_limits(self.platform.engines + self.platform.plain)
