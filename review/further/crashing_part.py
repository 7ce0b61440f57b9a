"""Requests with a part of the prompt that crashes runners are in the traffic from its start.

No two requests are alike, neither these nor the sound ones; all share their caller and their first part.
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
LEAD_S = 10.0  # Traffic starts so long after the machines do.
CRASHING_S = 25.0
BACK_S = 12.0  # Until the runners are back and hold their weights again.
AFTER_S = 8.0
RUNNERS_PER_ZONE = 4
SOUND_PER_S = 24.0
CRASHING_PER_S = 6.0
RUNNER_BACK_S = 3.0  # "the runner is back after some seconds"
CRASHING_PART = "dead0bad"


class History:
    """What the runners saw, by the steady clock."""

    def __init__(self):
        self.crashing = []  # When requests with the crashing part reached runners.
        self.begun = {}  # When each sound request first began.
        self.sent = {}  # When each sound request was sent, by its first and only attempt.


class Engine(Backend):
    """A runner that crashes when it begins to run the crashing request, and comes back."""

    def __init__(self, record, identity, host, store, zone, history):
        super().__init__(identity, host, MODEL, 1)
        self.record, self.store, self.zone = record, store, zone
        self.history = history
        self.events, self.event_gap = 20, 0.05  # The mean of the sheet.
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
        if headers.get("x-pumicemast-expect-instance") != self.identity:
            await super().run(writer, method, target, headers)  # Answers 421.
            return
        now = time.monotonic()
        if CRASHING_PART in headers["x-pumicemast-prompt-prefix"]:
            self.history.crashing.append(now)
            self.crash(request_id)
            raise ConnectionError
        self.history.begun.setdefault(request_id, now)
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




def headers_for(number, crashing):
    own = f"{number + 1:x}{'c' if crashing else 'a'}"
    parts = ["5c1e07a2:40", *([f"{CRASHING_PART}:200"] if crashing else []), f"{own}:400"]
    return {"X-Pumicemast-Model": MODEL, "X-Pumicemast-Token-Usage": "640,100",
            "X-Pumicemast-Prompt-Prefix": ",".join(parts)}


async def send_for(seconds, per_second, crashing, phase, gateways, port, history, record):
    async def one(number):
        request_id = f"{phase}-{number}"
        if not crashing:
            history.sent[request_id] = time.monotonic()
        answer = await call(gateways[number % len(gateways)], port, "POST", f"/chat/{request_id}",
                            request_id, 6000, headers_for(number, crashing))
        record(f"answered id={request_id} status={answer.status} complete={answer.complete}"
               f" {answer.body[:20] if answer.status != 200 else b''!r} {answer.fault}")
    tasks = []
    begun = time.monotonic()
    while time.monotonic() - begun < seconds:
        tasks.append(asyncio.create_task(one(len(tasks))))
        await asyncio.sleep(1 / per_second)
    await asyncio.gather(*tasks)


def begun_share(history, since, until):
    sent = [identity for identity, at in history.sent.items() if since <= at <= until]
    begun = sum(identity in history.begun for identity in sent)
    return len(sent), begun


async def case(fleet: Fleet, record):
    store = Store()
    store.host = fleet.address()
    await store.start()
    origin = Origin()
    origin.host = fleet.address()
    await origin.start()
    store.put("config", "main", full_configuration(3, origin))
    address = f"{store.host}:{store.port}"
    history = History()
    engines = []
    for zone in fleet.zones:
        for number in range(RUNNERS_PER_ZONE):
            engine = Engine(record, f"i-{len(engines)}", fleet.address(), store, zone, history)
            await engine.start()
            engines.append(engine)
            engine.register()
            fleet.add(f"side-{zone}-{number}", "host", zone, address, ip=engine.host,
                      app=f"{engine.host}:{engine.port}", service=SERVICE)
    gateways = [fleet.add(f"front-{zone}", "gateway", zone, address) for zone in fleet.zones]
    port = fleet.callers_port
    await asyncio.sleep(LEAD_S)

    contact_s = fleet.bounds["contactMs"] / 1000
    begun = time.monotonic()
    flows = [send_for(CRASHING_S, SOUND_PER_S, False, "sound", gateways, port, history, record)]
    if TROUBLE:
        flows.append(send_for(CRASHING_S, CRASHING_PER_S, True, "crashing", gateways, port,
                              history, record))
    await asyncio.gather(*flows)
    await asyncio.sleep(BACK_S)
    calm = time.monotonic()
    await send_for(AFTER_S, SOUND_PER_S, False, "calm", gateways, port, history, record)
    calm_sent, calm_begun = begun_share(history, calm, calm + AFTER_S)
    record(f"outside disruption: sent={calm_sent} begun={calm_begun}")
    if calm_begun < 20:
        raise RuntimeError("fewer than 20 sound requests began outside disruption")
    crashes = sorted(history.crashing)
    fifth = crashes[min(4, len(crashes) - 1)] if crashes else begun
    late = sum(at > fifth + contact_s for at in crashes)
    sent, started = begun_share(history, fifth + 2 * contact_s, begun + CRASHING_S)
    record(f"crashes={len(crashes)} fifth_s={fifth - begun:.2f} late={late}")
    record(f"sound from 2 x contactMs after the fifth crash: sent={sent} begun={started}")
    for name in fleet.processes:
        for line in fleet.log_of(name).splitlines():
            if "QUARANTINED" in line:
                record(f"log {line}")
    less = sent >= 20 and started / sent < calm_begun / calm_sent / 2
    record(f"BUDGET {'broken' if late > 3 else 'held'}; LOST {'broken' if less else 'held'}")
    return not less and late <= 3


run(case, FOLDER)
