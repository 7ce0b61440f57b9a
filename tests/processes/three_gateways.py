"""Three gateways of a zone in front of two engines with agents and two plain services."""

import asyncio

from platform_standin import Backend
from platform_test import ENGINES, ROOT, Platform, free_port

GATEWAYS = ["127.0.0.1", "127.0.0.2", "127.0.0.3"]


class ThreeGatewayPlatform(Platform):
    backend_class = Backend  # Of the engines and the plain services.
    slots = 24  # Enough that no back end is full.

    async def start(self):
        await super().start()
        for backend in [*self.plain, *self.engines]:
            await backend.stop()
        make = self.backend_class
        plain = [make(f"p{n}") for n in (1, 2)]
        engines = [make(f"e{n}", host, "m", 1) for n, host in enumerate(ENGINES, 1)]
        for backend, replaced in zip([*plain, *engines], [*self.plain, *self.engines]):
            backend.port = replaced.port
            await backend.start()
        self.plain, self.engines = plain, engines
        self.caller_ports = {GATEWAYS[0]: self.callers}
        self.metrics_ports = {GATEWAYS[0]: self.metrics_port}
        for host in GATEWAYS[1:]:
            self.caller_ports[host], self.metrics_ports[host] = free_port(), free_port()
            self.run_another_gateway(host)
        for host in GATEWAYS:
            await self.wait(lambda host=host: self.serves(host, "/chat/1"))
            await self.wait(lambda host=host: self.serves(host, "/read/1"))

    def run_another_gateway(self, host):
        return self.launch(f"gateway-{host}", "pumicemast-gateway", f"""
[process]
name=gateway-{host}
zone=z1
charts={ROOT}/charts
stop_grace_ms=6000
[listen]
callers={host}:{self.caller_ports[host]}
ready={host}:{free_port()}
metrics={host}:{self.metrics_ports[host]}
internal={host}:{self.internal}
[membership]
seeds={GATEWAYS[0]}:{self.internal}
[weights]
changeover_ms=3000
changeover_margin_ms=500
[log]
decisions=failures
[platform]
store=127.0.0.1:{self.store.port}
""")

    async def serves(self, host, target):
        try:
            response = await self.call("POST", target, host=host, port=self.caller_ports[host])
            return response.status == 200 and response.complete
        except OSError:
            return False

    async def load(self, target, rate, seconds, gateways=GATEWAYS):
        """Sends requests at a fixed rate, without waiting for responses, to the gateways in turn.

        The id of a request begins with the address of its gateway.
        Returns the responses and the duration of each in seconds.
        """
        now = asyncio.get_running_loop().time

        async def call_one(number):
            host = gateways[number % len(gateways)]
            started_at = now()
            response = await self.call("POST", target, host=host, port=self.caller_ports[host],
                                       headers={"X-Pumicemast-Request-Id": f"{host}-{number}"})
            return response, now() - started_at

        calls = []
        begin = now()
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0, begin + number / rate - now()))
            calls.append(asyncio.create_task(call_one(number)))
        return await asyncio.gather(*calls)
