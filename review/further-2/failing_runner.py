"""BUDGET: a request that crashes the runners that run it goes on reaching them, since failures of a
runner in trouble clear it. Not a case: it shows rarely, and no sound request was lost. Run by hand;
exits as the cases do, and TROUBLE=0 is the same without crashes and failures.

Three gateways, one in each zone, and six runners of `arkivtjeneste`. One request, with the same
path, caller and body each time, comes once a second, in turn at the gateways; each runner that
begins to run it crashes and is back 2 s later. One runner is in trouble: before it begins a
request it fails a part of them with a 500. Sound requests come all the while.
"""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))

from fleet import BROKEN, CONTACT_S, HELD, ZONES, Engine, Fleet, Runner  # noqa: E402
from fleet import run_case, send_response, trouble  # noqa: E402

BODY = b"the same request each time" * 20
DOWN_S = 2.0
FAILS = 0.45  # Of the requests of the one runner in trouble.
COMES = 60
EVERY_S = 1.0
SOUND_EVERY_S = 0.1
THIRD = 3
MOST_AFTER = 3


class CrashingRunner(Runner):
    crashes, reached, failed = [], [], []
    in_trouble = False

    async def handle(self, writer, method, target, headers, body):
        own = headers.get("x-pumicemast-expect-instance") == self.identity
        if own and body and trouble():
            request = headers.get("x-pumicemast-request-id")
            if body == BODY:
                at = self.fleet.record.line("reached", runner=self.identity, id=request)
                CrashingRunner.reached.append(at)
            if self.in_trouble and random.random() < FAILS:
                self.fleet.record.line("failed", runner=self.identity, id=request)
                CrashingRunner.failed.append(body == BODY)
                send_response(writer, 500, b"failed", self.head(headers, (), 500))
                return
            if body == BODY:
                at = self.fleet.record.line("crashed", runner=self.identity, id=request,
                                            running=self.running)
                CrashingRunner.crashes.append(at)
                await self.crash(DOWN_S)
                raise ConnectionError
        await super().handle(writer, method, target, headers, body)


async def play(record, fleet):
    for number, zone in enumerate(ZONES, 1):
        fleet.add_gateway(f"front-{zone}-{number}", zone)
        for copy in range(2):
            fleet.add_runner(f"i-7f3a91c{number}{copy}", "arkivtjeneste", zone,
                             cls=CrashingRunner, slots=6)
        fleet.add_runner(f"i-5c1e07{number}0", "modelflaade", zone, cls=Engine, slots=16)
    fleet.runners[0].in_trouble = True
    await fleet.start([Fleet.route("/hent-skema/", "unsafe", "arkivtjeneste", 300, 4000, 1),
                       Fleet.route("/fritekst/", "stream", "modelflaade", 500, 6000, 2, True)],
                      [{"name": "arkivtjeneste", "maxConns": 100}, Fleet.engine_service()])
    for gateway in fleet.gateways:
        await fleet.ready(gateway)
    await asyncio.sleep(4)
    sound = []

    async def ask(number, body, kind):
        _, status, complete, _ = await fleet.call(fleet.gateways[number % 3], "POST",
                                                  "/hent-skema/1", {}, body, 4000, kind)
        if kind == "sound":
            sound.append(status if complete else 0)

    async def send(count, every_s, body_of, kind):
        calls = []
        for number in range(count):
            calls.append(asyncio.create_task(ask(number, body_of(number), kind)))
            await asyncio.sleep(every_s)
        await asyncio.gather(*calls)

    load = asyncio.create_task(send(int((COMES * EVERY_S + 4) / SOUND_EVERY_S), SOUND_EVERY_S,
                                    lambda n: b"sound %d" % n, "sound"))
    await asyncio.sleep(4)
    await send(COMES, EVERY_S, lambda n: BODY, "crashing")
    await load
    crashes = CrashingRunner.crashes
    since = crashes[THIRD - 1] + CONTACT_S if len(crashes) >= THIRD else float("inf")
    late = [at for at in CrashingRunner.reached if at > since]
    lost = sum(1 for status in sound if status in (0, 502))
    record.line("summary", crashes=len(crashes), late=len(late), sound=len(sound), lost=lost,
                failed_of_it=CrashingRunner.failed.count(True))
    print(f"{len(crashes)} crashes; the request reached runners {len(late)} times later than "
          f"{CONTACT_S} s after the third (allowed {MOST_AFTER}); failed with a 500: "
          f"{CrashingRunner.failed.count(True)} times; sound: {len(sound)}, lost {lost}")
    return BROKEN if len(late) > MOST_AFTER else HELD


sys.exit(run_case(Path(__file__).resolve().parent, play))
