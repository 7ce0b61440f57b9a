"""Faults that the soak injects into the fleet, and planned work."""

import asyncio
import signal
import time

import silent_sockets
from soak_checks import DEADLINE_S, DRAIN_LIMIT_S
from soak_engine import CRASHING_TARGET
from soak_fleet import GATEWAYS

FAULTS = ["store_trouble", "runner_link", "freeze", "kill", "kill_group", "silent_links",
          "agent_killed_at_order"]
ENGINE_FAULTS = ["runner_trouble", "late_orders", "order_overtaken", "engine_crash", "bad_chunks",
                 "slow_reports", "engine_mute", "killer_request"]
#: Together longer than the 2.3 s for which an agent relies on the chunks that it read back.
SLOW_REPORT_COUNT = 3
SLOW_REPORT_DELAY_S = 1.0  # An agent waits 0.6 s for a load report.
ORDER_TIMEOUT_S = 4.0  # Most versions are ordered 1 to 3 s after they are named.
PLANNED = ["drain", "new_configurations", "new_weights", "weights_in_succession", "planned_stop"]


class Faults:
    """Each fault is a coroutine that also ends it. Faults have their own random generator."""

    def __init__(self, platform, checks, random):
        self.platform, self.checks, self.random = platform, checks, random
        self.tasks = []
        self.injected = {}
        self.timeline = []
        self.stopping = set()
        self.load = None  # Crashing requests are sent until its end; set by the soak.
        self.crashing_request_tasks = []
        self.enabled = FAULTS + ENGINE_FAULTS + PLANNED  # The faults to choose from.

    def record(self, text, count=1):
        self.injected[text] = self.injected.get(text, 0) + count
        self.timeline.append((time.monotonic(), f"{text} {count}"))

    def inject(self, name, duration):
        self.record(name)
        if name in FAULTS:
            self.checks.disturb(duration)
        elif name in ENGINE_FAULTS:
            self.checks.disturb_engines(duration)
        task = asyncio.create_task(getattr(self, name)(duration))
        self.tasks.append(task)
        return task

    def inject_random(self):
        return self.inject(self.random.choice(self.enabled), self.random.uniform(0.3, 3.0))

    def random_backend(self):
        return self.random.choice(self.platform.plain + self.platform.engines)

    # ---- links and the store ----

    async def impair_link(self, proxy, duration):
        kind = self.random.choice(["delay", "hold", "up", "down", "reset"])
        if kind == "delay":
            proxy.delay = self.random.uniform(0.02, 0.4)
        elif kind == "hold":
            proxy.hold("up", "down")
        elif kind == "reset":
            proxy.refusing = True
            proxy.reset()
        else:
            proxy.hold(kind)
        await asyncio.sleep(duration)
        if self.random.random() < 0.5:
            proxy.reset()
        proxy.restore()

    async def store_trouble(self, duration):
        store = self.platform.store
        kind = self.random.choice(["down", "mute", "link", "link"])
        if kind == "link":
            await self.impair_link(self.platform.store_proxy, duration)
            return
        setattr(store, kind, True)
        await asyncio.sleep(duration)
        setattr(store, kind, False)

    async def runner_link(self, duration):
        await self.impair_link(self.random.choice(list(self.platform.proxies.values())), duration)

    async def silent_links(self, duration):
        """Silences open connections; requests sent on them may wait until their deadline."""
        self.checks.disturb(DEADLINE_S)
        where = self.random.choice(["store", "runner", "internal", "internal"])
        if where == "store":
            self.platform.store_proxy.silence()
        elif where == "runner":
            self.random.choice(list(self.platform.proxies.values())).silence()
        else:
            self.silence_internal()

    def silence_internal(self):
        """Silences the connections between one process of the system and all others."""
        live = [process for group in (self.platform.gateways, self.platform.hosts)
                for _, process in sorted(group.items()) if process.poll() is None]
        if not live:
            return
        process = self.random.choice(live)
        others = [other for other in live if other is not process]
        silenced = silent_sockets.silence(process, others, self.platform.internal)
        self.record(f"internal connections of {process.args[-1].stem} silenced", silenced)

    # ---- back ends ----

    async def runner_trouble(self, duration):
        backend = self.random_backend()
        backend.mode = self.random.choice(["shed", "lost", "break"])
        await asyncio.sleep(duration)
        backend.mode = "whole"

    async def order_overtaken(self, duration):
        """Names the next version while an order for the previous one is delayed, twice."""
        engine = self.random.choice(self.platform.engines)
        engine.order_fault = "late"
        for _ in range(2):
            await self.await_delayed_order(engine)
            await asyncio.sleep(self.random.uniform(0.1, 0.8))
        self.platform.name_weights()
        await asyncio.sleep(duration)
        engine.order_fault = None

    async def late_orders(self, duration):
        """Engines execute orders late or never, while versions are named in succession."""
        engines = self.random.sample(self.platform.engines, self.random.choice([1, 2, 3]))
        for engine in engines:
            engine.order_fault = self.random.choice(["late", "late", "lost", "answered late"])
        self.platform.name_weights()
        for _ in range(self.random.choice([1, 2])):
            await asyncio.sleep(self.random.uniform(0.5, 3.0))
            self.platform.name_weights()
        await asyncio.sleep(duration)
        for engine in engines:
            engine.order_fault = None

    async def agent_killed_at_order(self, duration):
        """Kills an agent while its order is delayed; its next incarnation has no record of it."""
        index = self.random.randrange(len(self.platform.engines))
        engine = self.platform.engines[index]
        engine.order_fault = "late"
        if await self.await_delayed_order(engine):
            self.checks.disturb(1.0)
            engine.order_fault = "lost"  # Applies to orders of the agent's next incarnation.
            process = self.platform.hosts[index]
            start_process = self.restart_function(self.platform.hosts, index, process)
            await self.stop_process(process, start_process, signal.SIGKILL, 0.0)
            self.platform.name_weights()
        await asyncio.sleep(duration)
        engine.order_fault = None

    async def await_delayed_order(self, engine):
        """Names a version and waits for a delayed order for it; returns whether one came."""
        before = engine.delayed_orders
        self.platform.name_weights()
        end = time.monotonic() + ORDER_TIMEOUT_S
        while time.monotonic() < end and engine.delayed_orders == before:
            await asyncio.sleep(0.02)
        return engine.delayed_orders > before

    async def engine_mute(self, duration):
        """While an order is delayed, the engine sends some load reports too late."""
        engine = self.random.choice(self.platform.engines)
        engine.order_fault = "late"
        await self.await_delayed_order(engine)
        for _ in range(SLOW_REPORT_COUNT):
            engine.report_delay = SLOW_REPORT_DELAY_S
            await asyncio.sleep(self.random.uniform(0.7, 1.2))
            engine.report_delay = 0.0
            await asyncio.sleep(self.random.uniform(0.1, 0.5))
        self.platform.name_weights()
        await asyncio.sleep(duration)
        engine.order_fault = None

    async def engine_crash(self, duration):
        """Crashes an engine, in half of the cases shortly after a version is named.

        Staged chunks are kept.
        """
        engine = self.random.choice(self.platform.engines)
        if engine.draining_since or engine.down:
            return
        engine.down = True
        if self.random.random() < 0.5:
            self.platform.name_weights()
            await asyncio.sleep(self.random.uniform(0, 1.5))
        self.checks.disturb_engines(duration)
        old = engine.identity
        await engine.crash()
        await asyncio.sleep(duration / 2)
        await engine.recover()
        self.platform.register(engine, engine.service)
        self.checks.disturb_engines(0)
        engine.down = False
        await asyncio.sleep(self.random.uniform(0, duration / 2))
        self.platform.unregister(old)

    async def killer_request(self, duration):
        """Sends a request that crashes the engine that starts it, repeatedly until the run ends."""
        target = f"{CRASHING_TARGET}{len(self.crashing_request_tasks) + 1}"
        for _ in range(self.random.choice([1, 1, 3])):
            self.crashing_request_tasks.append(
                asyncio.create_task(self.send_crashing_request(target)))
        await asyncio.sleep(duration)

    async def send_crashing_request(self, target):
        attempts = 0
        while time.monotonic() < self.load.end:
            attempts += 1
            host = self.random.choice(GATEWAYS)
            try:
                await asyncio.wait_for(self.platform.call_gateway(
                    host, "POST", target,
                    f"killer{target}-{id(asyncio.current_task())}-{attempts}"),
                    DEADLINE_S)
            except (OSError, IndexError, ValueError, asyncio.TimeoutError):
                pass  # Its engine crashed or its gateway was stopped.
            await asyncio.sleep(self.random.uniform(0.2, 0.8))

    async def bad_chunks(self, duration):
        engine = self.random.choice(self.platform.engines)
        for _ in range(self.random.choice([1, 3])):
            engine.corrupt(self.random.randrange(len(engine.staged)))
            await asyncio.sleep(duration / 3)

    async def slow_reports(self, duration):
        engine = self.random.choice(self.platform.engines)
        engine.report_delay = self.random.uniform(0.1, 1.5)
        await asyncio.sleep(duration)
        engine.report_delay = 0.0

    # ---- processes ----

    def random_group(self):
        return self.random.choice([self.platform.gateways, self.platform.hosts])

    def restart_function(self, group, key, process):
        start = self.platform.start_gateway if group is self.platform.gateways \
            else self.platform.start_host

        def start_process():
            # Two faults may have stopped the same process: start it only once.
            if group[key] is process:
                start(key)
        return start_process

    def random_process(self):
        group = self.random_group()
        key = self.random.choice(sorted(group))
        return group[key], self.restart_function(group, key, group[key])

    async def freeze(self, duration):
        process, _ = self.random_process()
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration)
            process.send_signal(signal.SIGCONT)

    async def stop_process(self, process, start_process, signal_number, duration):
        already_stopping = signal_number == signal.SIGTERM and process in self.stopping
        if process.poll() is not None or already_stopping:
            return  # It is started again by the stop in progress.
        if signal_number == signal.SIGTERM:
            self.stopping.add(process)
        process.send_signal(signal_number)
        while process.poll() is None:
            await asyncio.sleep(0.05)
        if signal_number == signal.SIGTERM:
            self.checks.on_stopped(process.args[-1].stem, process.returncode)
        await asyncio.sleep(duration / 4)
        start_process()

    async def kill(self, duration):
        await self.stop_process(*self.random_process(), signal.SIGKILL, duration)
        self.checks.disturb(1.0)

    async def kill_group(self, duration):
        """Kills all gateways or all agents, at once or one after the other."""
        group = self.random_group()
        gap = self.random.choice([0.0, 0.0, duration / len(group)])
        stops = []
        for key in sorted(group):
            process = group[key]
            stops.append(asyncio.create_task(self.stop_process(
                process, self.restart_function(group, key, process), signal.SIGKILL, duration)))
            self.checks.disturb(1.0)
            await asyncio.sleep(gap)
        await asyncio.gather(*stops)
        self.checks.disturb(1.0)

    # ---- planned work ----

    async def planned_stop(self, duration):
        await self.stop_process(*self.random_process(), signal.SIGTERM, duration)

    async def drain(self, duration):
        backend = self.random_backend()
        if backend.draining_since or backend.down:
            return
        self.platform.register(backend, backend.service, state="draining")
        backend.draining_since = time.monotonic()
        await asyncio.sleep(DRAIN_LIMIT_S + duration)
        self.platform.unregister(backend.identity)
        await asyncio.sleep(0.5)
        await backend.restart()
        backend.draining_since = None
        self.platform.register(backend, backend.service)

    async def new_configurations(self, duration):
        for _ in range(self.random.choice([1, 1, 20])):
            self.platform.add_route()
            await asyncio.sleep(0.08)

    async def new_weights(self, duration):
        self.platform.name_weights()
        await asyncio.sleep(duration)

    async def weights_in_succession(self, duration):
        for _ in range(self.random.choice([2, 3])):
            self.platform.name_weights()
            await asyncio.sleep(self.random.uniform(0.5, 5.0))
