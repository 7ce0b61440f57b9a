"""DRAIN: an entry of another writer, with fields missing, makes gateways send requests to a runner
that is leaving. Not a case: no work is lost. Run by hand; exits as the cases do, and TROUBLE=0 is
the same without that entry.

Three gateways, one in each zone, and three runners of `arkivtjeneste`. One runner says `draining`
in its entry and in its answers, serves on for some seconds and ends. Meanwhile another writer
leaves an entry under its id that has no `version`, `coldLeftMs`, `seq` and `born`. The runner's own
heartbeats follow as before.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))

from fleet import BROKEN, BOUNDS, HELD, ZONES, Engine, Fleet, Runner, run_case, trouble  # noqa: E402

DRAIN_S = BOUNDS["drainMs"] / 1000
CALLS_PER_S = 20  # At each gateway.
SERVES_ON_S = 9.0  # From its saying `draining` to its end.


class LeavingRunner(Runner):
    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.arrivals = []  # (at, request).

    async def run(self, writer, method, target, headers):
        if headers.get("x-pumicemast-expect-instance") == self.identity:
            request = headers.get("x-pumicemast-request-id")
            at = self.fleet.record.line("reached", runner=self.identity, id=request)
            self.arrivals.append((at, request))
        await super().run(writer, method, target, headers)


async def play(record, fleet):
    for number, zone in enumerate(ZONES, 1):
        fleet.add_gateway(f"front-{zone}-{number}", zone)
        fleet.add_runner(f"i-7f3a91c{number}", "arkivtjeneste", zone, cls=LeavingRunner, slots=6)
        fleet.add_runner(f"i-5c1e07{number}0", "modelflaade", zone, cls=Engine, slots=16)
    await fleet.start([Fleet.route("/hent-skema/", "unsafe", "arkivtjeneste", 300, 4000, 1),
                       Fleet.route("/fritekst/", "stream", "modelflaade", 500, 6000, 2, True)],
                      [{"name": "arkivtjeneste", "maxConns": 100}, Fleet.engine_service()])
    for gateway in fleet.gateways:
        await fleet.ready(gateway)
    await asyncio.sleep(4)
    sent, answers = {}, {}

    async def one(gateway):
        at = record.now()
        identity, status, complete, _ = await fleet.call(gateway, "POST", "/hent-skema/1", {},
                                                         b"x" * 600, 4000)
        sent[identity], answers[identity] = at, status if complete else 0

    async def load(seconds):
        calls = []
        begin = record.now()
        for number in range(int(seconds * CALLS_PER_S)):
            await asyncio.sleep(max(0.0, begin + number / CALLS_PER_S - record.now()))
            calls += [asyncio.create_task(one(gateway)) for gateway in fleet.gateways]
        await asyncio.gather(*calls)

    demand = asyncio.create_task(load(4 + SERVES_ON_S))
    await asyncio.sleep(2)
    runner = next(r for r in fleet.runners if r.service == "arkivtjeneste")
    runner.state, runner.leaving = "draining", True
    entry = runner.entry()
    fleet.store.put("servers", runner.identity, entry)
    acknowledged = record.line("draining", runner=runner.identity)
    for _ in range(2):
        await asyncio.sleep(DRAIN_S + 1.0)
        if trouble():
            odd = {name: entry[name] for name in ("service", "address", "zone", "slots")}
            fleet.store.put("servers", runner.identity, {**odd, "state": "ready"})
            record.line("other_writer", runner=runner.identity)
    await asyncio.sleep(max(0.0, acknowledged + SERVES_ON_S - record.now()))
    runner.registered = False
    fleet.store.delete("servers", runner.identity)
    await runner.stop()
    record.line("ended", runner=runner.identity)
    await demand
    late = [(at, r) for at, r in runner.arrivals if at > acknowledged + DRAIN_S
            and sent.get(r, 0) > acknowledged + DRAIN_S]
    lost = [r for _, r in late if answers.get(r) in (0, 502)]
    print(f"{len(late)} requests reached the leaving runner later than {DRAIN_S} s after "
          f"`draining` was accepted ({len(runner.arrivals)} in all); {len(lost)} of them lost")
    record.line("summary", late=len(late), lost=len(lost))
    return BROKEN if late else HELD


sys.exit(run_case(Path(__file__).resolve().parent, play))
