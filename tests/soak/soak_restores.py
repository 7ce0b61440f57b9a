"""A store that comes back from older copies of itself during the soak."""

import asyncio
import copy

WRITTEN_AGAIN = ["config", "servers", "versions"]  # By the operator and the back ends.
COPY_INTERVAL_S = 0.5
MAX_COPIES = 6
MAX_REWRITE_DELAY_S = 2.0


class Restores:
    """Independent of the faults and with its own random generator."""

    def __init__(self, platform, checks, random):
        self.platform, self.checks, self.random = platform, checks, random
        self.store = platform.store
        self.restored = 0
        self.rewrites = set()
        self.pending = {}  # Lost and not written again yet, by kind and name; None if deleted.

    async def run(self, end):
        """Restores the store now and then until `end`, and ends when all is written again."""
        now = asyncio.get_running_loop().time
        copies = []
        next_restore = now() + self.random.uniform(2, 5)
        while now() < end:
            copies = (copies + [self.store.copy()])[-MAX_COPIES:]
            await asyncio.sleep(COPY_INTERVAL_S)
            if now() < next_restore:
                continue
            await self.restore(self.random.choice(copies))
            copies = []
            next_restore = now() + self.random.uniform(2, 7)
        await asyncio.gather(*self.rewrites)

    async def restore(self, older_copy):
        self.restored += 1
        away_s = self.random.uniform(0.3, 2.0)
        self.checks.disturb(away_s)
        self.store.down = True
        await asyncio.sleep(away_s)
        lost = copy.deepcopy(self.store.objects)
        for (kind, name), item in self.pending.items():
            lost.setdefault(kind, {}).pop(name, None)
            if item:
                lost[kind][name] = item
        self.pending = {}
        self.store.restore(older_copy, self.random.random() < 0.3)
        self.store.down = False
        for kind in WRITTEN_AGAIN:
            names = sorted({*lost.get(kind, {}), *self.store.objects.get(kind, {})})
            for name in names:
                self.write_again(kind, name, lost.get(kind, {}).get(name))

    def write_again(self, kind, name, item):
        """Repeats a lost write, if any, later and unless the object has changed since."""
        found = self.store.objects.get(kind, {}).get(name)
        if (item and item["spec"]) == (found and found["spec"]):
            return
        era, delay_s = self.store.era, self.random.uniform(0, MAX_REWRITE_DELAY_S)
        self.pending[kind, name] = item

        async def write():
            await asyncio.sleep(delay_s)
            if self.store.era != era:
                return  # The next restore takes care of what is pending.
            self.pending.pop((kind, name))
            if self.store.objects.get(kind, {}).get(name) != found:
                return
            if item:
                self.store.put(kind, name, item["spec"])
            else:
                self.store.delete(kind, name)
            self.checks.disturb(0)

        task = asyncio.create_task(write())
        self.rewrites.add(task)
        task.add_done_callback(self.rewrites.discard)
