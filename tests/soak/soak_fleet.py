"""The soak's fleet: three gateways, three agents, and the store and back ends behind proxies."""

import asyncio
import os
import signal
import subprocess
import time
from pathlib import Path

import platform_test
from loopback_proxy import LoopbackProxy
from platform_standin import Origin, Store
from soak_checks import DEADLINE_S, RETRY_EXTRA, RETRY_RATIO, OUTDATED_WEIGHTS_LIMIT_S
from soak_engine import SoakEngine, SoakBackend

GATEWAYS = ["127.0.0.21", "127.0.0.22", "127.0.0.23"]
ENGINES = ["127.0.0.11", "127.0.0.12", "127.0.0.13"]


class SoakPlatform(platform_test.Platform):
    """The processes of the system, with stand-ins for the store, the origin and the back ends."""

    store_class = Store

    def __init__(self, folder, checks, random):
        super().__init__(folder)
        self.checks, self.random = checks, random
        self.version = 1
        self.routes = []
        self.priority_routes = []  # In every configuration.
        self.gateways = {}
        self.gateway_started_at = {}
        self.hosts = {}

    def suspend_when_frozen(self):
        """Stops the steady clock of frozen processes, as on a suspended machine."""
        library = self.folder / "suspended_clock.so"
        source = Path(__file__).with_name("suspended_clock.c")
        subprocess.run(["cc", "-shared", "-fPIC", "-O1", "-o", library, source], check=True)
        self.environment = {**os.environ, "LD_PRELOAD": str(library)}

    async def start(self):
        self.store, self.origin = self.store_class(), Origin()
        self.plain = [SoakBackend(self.checks, "plain", f"p{n}") for n in (1, 2)]
        self.engines = [SoakEngine(self.checks, self.random, f"e{n}", host, "m", 1)
                        for n, host in enumerate(ENGINES, 1)]
        for engine in self.engines:
            engine.platform = self
        for server in [self.store, self.origin, *self.plain, *self.engines]:
            await server.start()
        self.store_proxy = await self.proxy("127.0.0.1", self.store)
        self.proxies = {backend: await self.proxy(backend.host, backend)
                        for backend in self.plain + self.engines}
        self.internal = platform_test.free_port()
        self.ports = {host: [platform_test.free_port() for _ in range(3)] for host in GATEWAYS}
        self.configure(self.version, extra=self.priority_routes)
        for backend in self.plain + self.engines:
            self.register(backend, backend.service)
        self.store.put("versions", "m", {"model": "m", "version": 1})
        for index in range(len(ENGINES)):
            self.start_host(index)
        for host in GATEWAYS:
            self.start_gateway(host)
        for host in GATEWAYS:
            await self.wait(lambda host=host: self.serves(host))

    @staticmethod
    async def proxy(host, server):
        proxy = LoopbackProxy(host, server.host, server.port)
        await proxy.start()
        return proxy

    def register(self, backend, service, state="ready"):
        self.store.put("servers", backend.identity, {
            "service": service, "address": f"{backend.host}:{self.proxies[backend].port}",
            "zone": "z1", "slots": self.slots, "state": state, "models": [], "layers": None})

    def unregister(self, identity):
        if identity in self.store.objects["servers"]:
            self.store.delete("servers", identity)

    def start_host(self, index):
        backend = self.engines[index]
        engine_port, store = backend.port, self.store
        # The agent connects to the engine and the store through their proxies.
        backend.port, self.store = self.proxies[backend].port, self.store_proxy
        self.hosts[index] = self.run_host(index, backend)
        backend.port, self.store = engine_port, store

    def start_gateway(self, host):
        callers, ready, metrics = self.ports[host]
        self.gateways[host] = self.launch(f"gateway-{host}", "pumicemast-gateway", f"""
[process]
name=gateway-{host}
zone=z1
charts={platform_test.ROOT}/charts
stop_grace_ms={self.stop_grace_ms}
[listen]
callers={host}:{callers}
ready={host}:{ready}
metrics={host}:{metrics}
internal={host}:{self.internal}
[weights]
changeover_ms={int(OUTDATED_WEIGHTS_LIMIT_S * 1000)}
changeover_margin_ms=500
[retry]
ratio={RETRY_RATIO}
extra={RETRY_EXTRA}
gateway_count={len(GATEWAYS) + 2}
[log]
decisions=failures
[platform]
store=127.0.0.1:{self.store_proxy.port}
{self.memory_settings()}""")
        self.gateway_started_at[host] = time.monotonic()
        self.checks.incarnations[host] = self.checks.incarnations.get(host, 0) + 1

    def launch(self, name, program, settings, stdout=None):
        """Starts a process; its later incarnations append to the same log."""
        output = stdout or open(self.folder / f"{name}.log", "ab")
        return super().launch(name, program, settings, output)

    async def call_gateway(self, host, method, target, identity, port=0, key="key"):
        reader, writer = await asyncio.open_connection(host, self.ports[host][port])
        fields = {"Host": "api.example", "X-Api-Key": key, "X-Pumicemast-Request-Id": identity,
                  "X-Pumicemast-Deadline-Ms": str(int(DEADLINE_S * 1000)),
                  "X-Pumicemast-Model": "m", "X-Pumicemast-Token-Usage": "100,50",
                  "Content-Length": "0"}
        lines = [f"{method} {target} HTTP/1.1"] + [f"{n}: {v}" for n, v in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        try:
            return await self.read_response(reader, None)
        finally:
            writer.close()

    async def serves(self, host):
        try:
            ready = await self.call_gateway(host, "GET", "/ready", "r", port=1)
            chat = await self.call_gateway(host, "POST", "/chat/1", f"warm-up-{time.monotonic()}")
            return ready.status == 200 and chat.status == 200
        except (OSError, IndexError):
            return False

    def add_route(self):
        self.version += 1
        self.routes = (self.routes + [self.route(f"/v{self.version}/", "safe", "plain", 1)])[-40:]
        self.configure(self.version, extra=self.priority_routes + self.routes)

    def name_weights(self):
        version = self.origin.newest + 1
        self.origin.newest = version
        self.checks.named_at[version] = time.monotonic()
        self.store.put("versions", "m", {"model": "m", "version": version})

    async def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        for proxy in [self.store_proxy, *self.proxies.values()]:
            await proxy.stop()
        await super().stop()
