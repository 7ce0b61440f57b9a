"""Another writer leaves odd entries in the list of back ends, while back ends come and go."""

import asyncio
import json
import time

from loopback_proxy import LoopbackProxy
from platform_standin import Store
from soak_checks import DRAIN_LIMIT_S, JOIN_LIMIT_S
from soak_engine import SoakBackend
from soak_fleet import GATEWAYS

MAX_ENTRIES = 3  # At the same time.
MAX_STAY_S = 2.5
MAX_PAUSE_S = 1.0
MAX_USE_S = 1.0
DEPTHS = [500, 60_000]
#: Written into the store's responses as they are, in place of their names.
RAW = {f"raw-nested-{depth}": "[" * depth + "]" * depth for depth in DEPTHS}
RAW.update({f"raw-objects-{depth}": '{"a":' * depth + "1" + "}" * depth for depth in DEPTHS})
RAW.update({"raw-huge": "1e400", "raw-negative-huge": "-1e400", "raw-many-digits": "9" * 400,
            "raw-over-64-bits": "18446744073709551616", "raw-minus-zero": "-0.0",
            "raw-high-surrogate": r'"release \ud83d"', "raw-low-surrogate": r'"\udc00 release"',
            "raw-two-high-surrogates": r'"\ud83d\ud83d"'})
NESTED = [name for name in RAW if name.startswith(("raw-nested", "raw-objects"))]
KINDS = ["nested", "nested", "number", "escape", "address", "type", "missing", "whole"]
NUMBERS = ["raw-huge", "raw-negative-huge", "raw-many-digits", "raw-over-64-bits",
           "raw-minus-zero", -1, 0, 0.5]
CUT_ESCAPES = [name for name in RAW if name.endswith(("surrogate", "surrogates"))]
BAD_ADDRESSES = ["127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:1e3", "127.0.0.1:",
                 ":80", "-", "127.0.0.1", "127.0.0.1:99999999999999999999", "1" * 70_000]
WRONG_TYPES = [None, True, [], {}, [[]], 7, "text", ""]
NUMBER_FIELDS = ["slots", "coldLeftMs", "born", "layers", "models", "version", "zone"]
FIELDS = ["service", "address", "zone", "slots", "state", "models", "layers", "coldLeftMs", "born"]


class RawStore(Store):
    """Sends some values as texts that Python's JSON module does not produce."""

    async def send(self, writer, kind, status, content):
        text = json.dumps(content)
        if kind != "servers" or "raw-" not in text:
            await super().send(writer, kind, status, content)
            return
        for name, raw in RAW.items():
            text = text.replace(f'"{name}"', raw)
        self.respond(writer, status, text.encode())


class OddEntries:
    """Another writer of the list of back ends, and a plain back end that comes and goes."""

    def __init__(self, platform, checks, faults, random):
        self.platform, self.checks, self.faults, self.random = platform, checks, faults, random
        self.number = 0
        self.left = {}  # How many entries of each kind were left.
        self.joined = 0
        self.kinds = {"nested": self.nested, "number": self.number_out_of_range,
                      "escape": self.cut_escape, "address": self.bad_address,
                      "type": self.wrong_type, "missing": self.missing_field,
                      "whole": self.no_object}

    def configure(self):
        """Call before the platform starts."""
        self.platform.store_class = RawStore

    async def run(self, load):
        await asyncio.gather(self.leave_entries(load), self.join_and_leave(load))

    # ---- the other writer ----

    async def leave_entries(self, load):
        """Leaves entries alone and together: an unreadable one could hide what others do."""
        while time.monotonic() < load.end:
            count = self.random.choice([1, 1, 2, MAX_ENTRIES])
            await asyncio.gather(*[self.leave_entry() for _ in range(count)])

    async def leave_entry(self):
        await asyncio.sleep(self.random.uniform(0.0, MAX_PAUSE_S))
        kind = self.random.choice(KINDS)
        self.left[kind] = self.left.get(kind, 0) + 1
        self.number += 1
        name = f"odd-{self.number}"
        self.faults.timeline.append((time.monotonic(), f"{name}: {kind}"))
        self.platform.store.put("servers", name, self.kinds[kind]())
        await asyncio.sleep(self.random.uniform(0.0, MAX_STAY_S))
        self.platform.unregister(name)

    def entry(self, **fields):
        """The entry of a back end of a service that no route uses."""
        return {"service": "notes", "address": "127.0.0.1:9", "zone": "z1", "slots": 4,
                "state": "ready", "models": [], "layers": None, **fields}

    def nested(self):
        return self.entry(**{self.random.choice(FIELDS): self.random.choice(NESTED)})

    def number_out_of_range(self):
        return self.entry(**{self.random.choice(NUMBER_FIELDS): self.random.choice(NUMBERS)})

    def cut_escape(self):
        return self.entry(**{self.random.choice(FIELDS): self.random.choice(CUT_ESCAPES)})

    def bad_address(self):
        return self.entry(service="plain", address=self.random.choice(BAD_ADDRESSES))

    def wrong_type(self):
        return self.entry(**{self.random.choice(FIELDS): self.random.choice(WRONG_TYPES)})

    def missing_field(self):
        entry = self.entry(service="plain")
        del entry[self.random.choice(["service", "address", "zone", "slots", "state"])]
        return entry

    def no_object(self):
        return self.random.choice([*WRONG_TYPES, *NESTED, *NUMBERS, *CUT_ESCAPES])

    # ---- the back end that comes and goes ----

    async def join_and_leave(self, load):
        while time.monotonic() < load.end:
            self.joined += 1
            backend = SoakBackend(self.checks, "plain", f"joining-{self.joined}")
            await backend.start()
            proxy = LoopbackProxy(backend.host, backend.host, backend.port)
            await proxy.start()
            self.platform.proxies[backend] = proxy
            await self.use(backend)
            self.platform.unregister(backend.identity)
            await asyncio.sleep(MAX_PAUSE_S)
            await backend.stop()

    async def use(self, backend):
        """Adds the back end, awaits requests to it, and lets it drain."""
        lives = self.gateway_lives()
        self.checks.on_joined(backend, time.monotonic())
        self.platform.register(backend, backend.service)
        await asyncio.sleep(JOIN_LIMIT_S)
        still_alive = self.gateway_lives()
        self.checks.check_joined(backend, [life for life in lives if life in still_alive])
        await asyncio.sleep(self.random.uniform(0.0, MAX_USE_S))
        self.platform.register(backend, backend.service, state="draining")
        backend.draining_since = time.monotonic()
        await asyncio.sleep(DRAIN_LIMIT_S + 2 * MAX_USE_S)

    def gateway_lives(self):
        """The gateways that run and are not stopping, each with the number of its start."""
        return [(host, self.checks.incarnations[host]) for host in GATEWAYS
                if self.platform.gateways[host].poll() is None
                and self.platform.gateways[host] not in self.faults.stopping]
