"""A request that crashes its runners comes again and again, and all processes are killed meanwhile.

What the callers ask for beside it are a few popular requests: many callers send the same ones. When the
processes are back, these run in each crash before any of them is answered whole.
"""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (Backend, Fleet, Origin, Store, TROUBLE, call, configuration,  # noqa: E402
                     run, send_response, wait_until)
import platform_standin  # noqa: E402  (harness makes it importable)

MODEL, SERVICE = "m", "modelflaade"
LAYERS = platform_standin.LAYERS
BEFORE_S, AFTER_S = 5.0, 10.0
RESTART_DELAY_S = 0.5
POPULAR = 1  # Different requests that the callers send.
CRASHING_EVERY_S = 0.45
RUNNER_BACK_S = 3.0  # "the runner is back after some seconds"
CRASHING = "/chat/crashing"


class Engine(Backend):
    """A runner that crashes when it begins to run the crashing request, and comes back."""

    def __init__(self, record, identity, host, store, zone):
        super().__init__(identity, host, MODEL, 1)
        self.record, self.store, self.zone = record, store, zone
        # 1.5 s; the sheet has 20 events in the mean, 50 at most.
        self.events, self.event_gap = 30, 0.05
        self.born = int(time.time() * 1000)
        self.crashes = 0
        self.back = None

    def report(self):
        return {**super().report(), "born": self.born}

    def entry(self):
        return {"service": SERVICE, "address": f"{self.host}:{self.port}", "zone": self.zone,
                "slots": 16, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": self.born,
                "stage": "both", "models": self.report()["models"],
                "layers": self.report()["layers"]}

    def register(self):
        self.store.put("servers", self.identity, self.entry())

    def activate(self, order):
        if order["version"] == self.version:
            return 200
        status = super().activate(order)
        self.register()
        return status

    async def run(self, writer, method, target, headers):
        request_id = headers.get("x-pumicemast-request-id", "")
        expected = headers.get("x-pumicemast-expect-version")
        if self.version == 0 or (expected and int(expected) != self.version):
            send_response(writer, 421, b"", {"X-Pumicemast-Request-Id": request_id})
            return
        if headers.get("x-pumicemast-expect-instance") == self.identity and target == CRASHING:
            self.crash(request_id)
            raise ConnectionError
        await super().run(writer, method, target, headers)

    def on_request_started(self, headers):
        self.record(f"run id={headers['x-pumicemast-request-id']} runner={self.identity}")

    def crash(self, request_id):
        self.crashes += 1
        self.record(f"crash runner={self.identity} under id={request_id}")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.back = asyncio.create_task(self.come_back())

    async def come_back(self):
        await asyncio.sleep(RUNNER_BACK_S)
        self.born, self.seq, self.version = int(time.time() * 1000), 0, 0
        await self.start()
        self.register()


def full_configuration(version, origin):
    result = configuration(version, [("/chat/", "stream", SERVICE, 2, 6000)], [SERVICE])
    result["routes"][0] |= {"resumable": True, "goalMs": 500, "gapGoalMs": 400}
    result["services"][0]["engine"] = {
        "slots": 16, "step_ms": 9.27, "read_per_s": 20700, "chunk": 2048, "stride": 5,
        "layers": LAYERS, "chunks": platform_standin.CHUNKS,
        "chunkBytes": platform_standin.CHUNK_BYTES, "models": [{"name": MODEL, "warmS": 0.3}]}
    result["services"].append({"name": "portal-kunde", "maxConns": 48,
                               "origin": f"{origin.host}:{origin.port}"})
    return result


HEADERS = {"X-Pumicemast-Model": MODEL, "X-Pumicemast-Token-Usage": "100,150"}


async def one(ip, port, request_id, number, record):
    answer = await call(ip, port, "POST", f"/chat/popular-{number % POPULAR}", request_id, 6000,
                        HEADERS)
    served = answer.status == 200 and answer.complete
    record(f"answered id={request_id} status={answer.status} served={served} {answer.body[:20]!r}"
           f" {answer.fault}")
    return served


async def send_for(seconds, gateways, port, record, phase):
    """Sends 10 requests a second; returns how many were sent and served."""
    tasks = []
    begun = time.monotonic()
    while time.monotonic() - begun < seconds:
        number = len(tasks)
        tasks.append(asyncio.create_task(one(gateways[number % len(gateways)], port,
                                             f"{phase}-{number}", number, record)))
        await asyncio.sleep(0.1)
    served = sum(await asyncio.gather(*tasks))
    record(f"{phase}: sent={len(tasks)} served={served}")
    return len(tasks), served


async def send_crashing(gateways, port, record):
    """The crashing request comes again and again, with the same path, caller and body."""
    number = 0
    while True:
        ip = gateways[number % len(gateways)]
        asyncio.create_task(call(ip, port, "POST", CRASHING, f"crashing-{number}", 6000, HEADERS))
        number += 1
        await asyncio.sleep(CRASHING_EVERY_S)


async def case(fleet: Fleet, record):
    store = Store()
    store.host = fleet.address()
    await store.start()
    origin = Origin()
    origin.host = fleet.address()
    await origin.start()
    store.put("config", "main", full_configuration(3, origin))
    address = f"{store.host}:{store.port}"
    engines = []
    for number, zone in enumerate(fleet.zones):
        engine = Engine(record, f"i-{number}", fleet.address(), store, zone)
        await engine.start()
        engines.append(engine)
        engine.register()
        fleet.add(f"side-{zone}", "host", zone, address, ip=engine.host,
                  app=f"{engine.host}:{engine.port}", service=SERVICE)
    gateways = [fleet.add(f"front-{zone}", "gateway", zone, address) for zone in fleet.zones]
    port = fleet.callers_port

    async def all_serve():
        return all([await one(ip, port, f"start-{ip}", 0, record) for ip in gateways])
    await wait_until(all_serve, 30, "all gateways serve")
    sent, served = await send_for(BEFORE_S, gateways, port, record, "before")
    if served < sent / 4:
        raise RuntimeError("less than a quarter was served before the final fault")

    store.put("config", "main", full_configuration(8, origin))
    record("configuration 8 acknowledged; all processes are killed")
    fleet.kill_all()
    await asyncio.sleep(RESTART_DELAY_S)
    for name in fleet.processes:
        fleet.start(name)
    record("all processes are started again")
    crashing = asyncio.create_task(send_crashing(gateways, port, record)) if TROUBLE else None
    recovering = await send_for(fleet.bounds["recoveryS"], gateways, port, record, "recovering")
    sent, served = await send_for(AFTER_S, gateways, port, record, "after")
    if crashing:
        crashing.cancel()
    record(f"crashes: {[engine.crashes for engine in engines]}; recovering {recovering}")
    for name in fleet.processes:
        for line in fleet.log_of(name).splitlines():
            if "QUARANTINED" in line or "state=ENDED" in line:
                record(f"log {line}")
    return served >= sent / 4


run(case, FOLDER)
