"""A gateway gets SIGTERM while clients that read slowly are in the middle of their answers.

With PLANNED=configuration a configuration with a shorter idle timeout comes instead of the SIGTERM.
"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import (Answer, Fleet, Runner, Store, TROUBLE, call, configuration,  # noqa: E402
                     encode_request, open_caller, read_answer, run, wait_until)

ANSWER_BYTES = 900 * 1024
READ_BYTES_PER_S = 165_000
DEADLINE_MS = 6000
READERS = 4
SHORT_IDLE_TIMEOUT_MS = 2000
STOPS = os.environ.get("PLANNED", "stop") == "stop"


class LargeAnswers(Runner):
    def body_for(self, request_id):
        text = f"{self.identity}/{request_id} ".encode()
        size = 800 if request_id.startswith("start") else ANSWER_BYTES
        return (text * (size // len(text) + 1))[:size]


class PacedReader:
    """Reads at a steady rate, as over a slow link."""

    def __init__(self, reader):
        self.reader, self.begun, self.count = reader, None, 0

    async def read(self, limit):
        self.begun = self.begun or time.monotonic()
        part = await self.reader.read(min(limit, 4096))
        self.count += len(part)
        delay = self.begun + self.count / READ_BYTES_PER_S - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        return part

    async def readline(self):
        return await self.reader.readline()


async def slow_client(ip, port, number, record):
    request_id = f"slow-{number}"
    answer = Answer()
    begun = time.monotonic()
    reader, writer = await open_caller(ip, port, receive_buffer=8192)
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            writer.write(encode_request("POST", "/form/1", request_id, DEADLINE_MS))
            await read_answer(PacedReader(reader), answer)
    except (OSError, EOFError, TimeoutError) as error:
        answer.fault = f"{type(error).__name__}: {error}"
    writer.transport.abort()
    record(f"answered id={request_id} status={answer.status} complete={answer.complete}"
           f" bytes={len(answer.body)} of={ANSWER_BYTES}"
           f" after_s={time.monotonic() - begun:.2f} {answer.fault}")
    return answer


async def case(fleet: Fleet, record):
    store = Store()
    store.host = fleet.address()
    await store.start()
    zone = next(iter(fleet.zones))
    runner = LargeAnswers(record, "i-1", "qsl-desk", zone, fleet.address())
    routes, services = [("/form/", "unsafe", "qsl-desk", 1, DEADLINE_MS)], ["qsl-desk"]
    store.put("config", "main", configuration(3, routes, services))
    await runner.start()
    store.put("servers", runner.identity, runner.entry())
    ip = fleet.add("front-1", "gateway", zone, f"{store.host}:{store.port}")
    port = fleet.callers_port

    async def serves():
        return (await call(ip, port, "POST", "/form/1", "start")).status == 200
    await wait_until(serves, 20, "the gateway serves")

    clients = [asyncio.create_task(slow_client(ip, port, number, record))
               for number in range(READERS)]
    await asyncio.sleep(0.4)
    gateway = fleet.processes["front-1"]
    begun = time.monotonic()
    if TROUBLE and STOPS:
        record(f"SIGTERM; the process has {fleet.bounds['graceS']} s")
        gateway.send_signal(signal.SIGTERM)
    elif TROUBLE:
        changed = configuration(8, routes, services)
        changed["limits"]["idleTimeoutMs"] = SHORT_IDLE_TIMEOUT_MS
        store.put("config", "main", changed)
        record(f"configuration 8 acknowledged: idleTimeoutMs {SHORT_IDLE_TIMEOUT_MS}")
    answers = await asyncio.gather(*clients)
    if TROUBLE and STOPS:
        code = await asyncio.to_thread(gateway.wait, 20)
        record(f"the process ended with {code}, {time.monotonic() - begun:.2f} s after SIGTERM")
    for line in fleet.log_of("front-1").splitlines():
        if "gateway event" in line:
            record(f"log: {line}")
    if any(answer.status != 200 for answer in answers):
        raise RuntimeError("a request was not served at all")
    return all(answer.complete for answer in answers)


run(case, FOLDER, site="vlc-logfleet-grown")
