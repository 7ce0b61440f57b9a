"""A small deployment for the cases 4 to 8: the programs of the deploy file in front of stand-ins.

The settings are the project's own templates, filled in with the values of the site kjs-pumice. Each
machine has a loopback address of its own. Store, origin and the engine's protocol are the
project's stand-ins (tests/processes/platform_standin.py); runners register, write heartbeats and
crash as the pages say.
"""

import asyncio
import json
import os
import random
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "processes"))

from platform_standin import CHUNK_BYTES, CHUNKS, LAYERS, Backend, Origin, Store  # noqa: E402
from platform_standin import send_response  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
CONTACT_S = 3.0  # contactMs
BOUNDS = {"graceS": 8, "drainMs": 2000, "version_ms": 8000, "retryBudgetRatio": 0.2,
          "retryBudgetExtra": 102, "budgetWindowS": 10}
ZONES = {"aarhus-hal": "midtjylland", "ballerup-hal": "hovedstaden", "kolding-hal": "syddanmark"}
HOST = "skema.example"
KEY = "jnbanfqasnmgkcuyj8pj"
MODEL = "daka510000"


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


# ---- the platform's template language, as DEPLOY.md has it ----

def look_up(name, scopes):
    if name == ".":
        return scopes[-1].get(".")
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
        if value is not None:
            return value
    return None


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(map(str, value))
    return json.dumps(value) if isinstance(value, dict) else str(value)


def fill(template, scopes):
    def section(match):
        value, body = look_up(match[1], scopes), match[2]
        if value is None or value is False:
            return ""
        if not isinstance(value, (dict, list)):
            return fill(body, scopes + [{".": value}])
        entries = value.items() if isinstance(value, dict) else enumerate(value)
        return "".join(fill(body, scopes + [{".": entry, "@": key}]) for key, entry in entries)

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.@]+)\}\}", lambda m: text_of(look_up(m[1], scopes)), template)


def free_port(hosts):
    """A port that is free at all of these addresses."""
    for _ in range(200):
        port = random.SystemRandom().randrange(12000, 32000)
        sockets = []
        try:
            for host in hosts:
                sockets.append(socket.socket())
                sockets[-1].bind((host, port))
            return port
        except OSError:
            continue
        finally:
            for each in sockets:
                each.close()
    raise OSError("no free port")


def allow_descriptors(count):
    """Raises the soft limit of open files, which may be lower than the platform's `maxFds`."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard < count:
        raise OSError(f"only {hard} open files are allowed here")
    if soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (count, hard))


class Record:
    """What was sent, answered and run, by the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, kind, **fields):
        at = self.now()
        self.file.write(f"{at:8.3f} {kind} " + " ".join(f"{k}={v}" for k, v in fields.items()) +
                        "\n")
        return at

    def close(self):
        self.file.close()


class Runner(Backend):
    """A runner that keeps its entry in the store; it may crash and start again under its id."""

    def __init__(self, fleet, identity, service, zone, host="127.0.0.1", model=None, version=0,
                 slots=6, work_s=0.06):
        super().__init__(identity, host, model, version)
        self.fleet, self.service, self.zone, self.slots = fleet, service, zone, slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.beat = 0
        self.state = "ready"
        self.registered = True
        self.running = 0
        self.tasks = []

    def entry(self):
        self.beat += 1
        holds = self.model and self.version
        return {"service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
                "version": 1, "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                "seq": self.beat, "born": self.born,
                "models": [{"name": self.model, "version": self.version, "adapters": []}]
                if holds else [],
                **({"layers": {"from": 0, "targetVersion": LAYERS, "version": self.version}}
                   if holds else {})}

    async def heartbeats(self):
        while True:
            if self.registered:
                self.fleet.store.put("servers", self.identity, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def report(self):
        return {**super().report(), "born": self.born, "running": self.running,
                "kvUsed": 1000 * self.running, "kvTotal": 317000, "handles": 0, "stage": "both"}

    async def run(self, writer, method, target, headers):
        self.running += 1
        try:
            if self.model is None:
                await asyncio.sleep(self.work_s)
            await super().run(writer, method, target, headers)
        finally:
            self.running -= 1

    async def crash(self, down_s):
        """The process ends; it is back under the same id, without layers, with a later start."""
        self.registered = False
        await self.stop()
        self.tasks.append(asyncio.create_task(self.start_again(down_s)))

    async def start_again(self, down_s):
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        self.seq, self.version, self.running = 0, 0, 0
        await self.start()
        self.registered = True
        self.fleet.store.put("servers", self.identity, self.entry())


class Engine(Runner):
    """A model runner: a start takes `warmS`, and what it runs is lost when it crashes."""

    WARM_S = 0.3

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, model=MODEL, version=1, **options)
        self.busy = False

    def report(self):
        return {**super().report(), "busy": self.busy}

    async def handle_order(self, writer, order):
        held = self.version
        status = self.activate(order)
        if status == 202:
            self.version, self.busy = held, True
            self.tasks.append(asyncio.create_task(self.warm(order["version"], self.born)))
        self.fleet.record.line("order", runner=self.identity, status=status)
        send_response(writer, status, headers=self.notices(status))

    async def warm(self, version, born):
        await asyncio.sleep(self.WARM_S)
        if born == self.born:
            self.version, self.busy = version, False

    async def crash(self, down_s):
        self.busy = False
        await super().crash(down_s)


class Gateway:
    def __init__(self, name, zone, ip):
        self.name, self.zone, self.ip = name, zone, ip
        self.process = None


class Fleet:
    def __init__(self, record):
        self.record = record
        # Addresses that no other run uses.
        self.net = f"127.{64 + os.getpid() % 60}.{os.getpid() // 60 % 250}"
        self.folder = Path(tempfile.mkdtemp(prefix="pumicemast-review-"))
        self.store, self.origin = Store(), Origin()
        self.gateways, self.runners, self.hosts = [], [], []
        self.processes = []
        self.next_ip = 1
        self.next_id = 0
        self.extra = {}  # More fields of the configuration.

    def ip(self):
        self.next_ip += 1
        return f"{self.net}.{self.next_ip}"

    def add_gateway(self, name, zone):
        self.gateways.append(Gateway(name, zone, self.ip()))
        return self.gateways[-1]

    def add_runner(self, identity, service, zone, cls=Runner, **options):
        self.runners.append(cls(self, identity, service, zone, host=self.ip(), **options))
        return self.runners[-1]

    def configure(self, routes, services, version=1):
        origin = {"name": "portal-kunde", "maxConns": 48,
                  "origin": f"127.0.0.1:{self.origin.port}"}
        self.store.put("config", "main", {
            "version": version, "routes": routes, "services": services + [origin],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "bozi300", "apiKeys": [KEY]}], **self.extra})

    @staticmethod
    def route(prefix, kind, service, goal_ms, timeout_ms, attempts=2, resumable=False):
        return {"name": prefix.strip("/"), "host": HOST, "pathPrefix": prefix, "kind": kind,
                "timeoutMs": timeout_ms, "goalMs": goal_ms, "gapGoalMs": 400, "priority": 1,
                "service": service, "attempts": attempts, "public": False,
                "resumable": resumable}

    @staticmethod
    def engine_service(slots=16):
        return {"name": "modelflaade", "maxConns": 424, "engine": {
            "slots": slots, "step_ms": 9.27, "per_seq_ms": 0, "context_per_k": 0,
            "read_per_s": 20700, "pairs_per_m": 0, "chunk": 512, "stride": 4, "layers": LAYERS,
            "chunks": CHUNKS, "chunkBytes": CHUNK_BYTES, "kvCapacityTokens": 317000,
            "usual": {"prompt": 900, "answer": 60},
            "models": [{"name": MODEL, "warmS": 0.3}]}}

    def fields(self, name, ip, zone, machine):
        return {"nodeName": name, "ip": ip, "zone": zone, "region": ZONES[zone], "zones": ZONES,
                "listen": {"front": f"{ip}:{self.front_port}", "ready": f"{ip}:{self.ready_port}"},
                "internalPorts": [self.internal_port, self.metrics_port], "bounds": BOUNDS,
                "provider": {"address": f"127.0.0.1:{self.store.port}"}, **machine}

    def launch(self, program, name, fields):
        template = (ROOT / "deploy" / f"{program}.ini.template").read_text()
        path = self.folder / f"{name}.ini"
        path.write_text(fill(template, [fields]))
        allow_descriptors(fields["limits"]["maxFds"])  # The process inherits the limit.
        with open(self.folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen([ROOT / "target" / "bin" / f"pumicemast-{program}",
                                        "--settings", path], stdout=log, stderr=log, cwd=ROOT)
        self.processes.append(process)
        return process

    def start_gateway(self, gateway):
        gateway.process = self.launch("gateway", gateway.name, self.fields(
            gateway.name, gateway.ip, gateway.zone,
            {"limits": {"memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0}}))

    def start_host(self, runner):
        name = f"side-{runner.identity}"
        return self.launch("host", name, self.fields(
            name, runner.host, runner.zone,
            {"limits": {"memoryMb": 128, "maxFds": 2048, "linkMbps": 7.3},
             "app": f"{runner.host}:{runner.port}", "service": runner.service}))

    async def start(self, routes, services):
        ips = [g.ip for g in self.gateways] + [r.host for r in self.runners]
        self.front_port, self.ready_port = free_port(ips), free_port(ips)
        self.internal_port, self.metrics_port = free_port(ips), free_port(ips)
        for server in [self.store, self.origin, *self.runners]:
            await server.start()
        self.configure(routes, services)
        for runner in self.runners:
            runner.tasks.append(asyncio.create_task(runner.heartbeats()))
        await asyncio.sleep(0.1)
        for gateway in self.gateways:
            self.start_gateway(gateway)
        for runner in self.runners:
            if runner.model:
                self.start_host(runner)

    async def ready(self, gateway, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                status, _, _, _ = await self.exchange(gateway.ip, self.ready_port, "GET", "/ready")
                if status == 200:
                    return
            except (OSError, ValueError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{gateway.name} is not ready")

    async def exchange(self, ip, port, method, target, headers=None, body=b"", limit_s=10):
        """One request on a new connection: (status, headers, body, whether it is complete)."""
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            fields = {"Host": HOST, "Content-Length": len(body), **(headers or {})}
            writer.write((f"{method} {target} HTTP/1.1\r\n" + "".join(
                f"{n}: {v}\r\n" for n, v in fields.items()) + "\r\n").encode() + body)
            return await asyncio.wait_for(self.read_answer(reader), limit_s)
        finally:
            writer.close()

    @staticmethod
    async def read_answer(reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        headers = {n.strip().lower(): v.strip()
                   for n, _, v in (line.partition(":") for line in head[1:]) if n}
        try:
            if headers.get("transfer-encoding") == "chunked":
                body = b""
                while True:
                    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                    part = await reader.readexactly(size + 2)
                    if size == 0:
                        return status, headers, body, True
                    body += part[:-2]
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            return status, headers, body, True
        except (asyncio.IncompleteReadError, ConnectionError):
            return status, headers, b"", False

    async def call(self, gateway, method, target, headers=None, body=b"", deadline_ms=4000,
                   kind="call"):
        """A client's attempt; returns (id, status or 0 without an answer, complete, headers)."""
        self.next_id += 1
        identity = f"{os.getpid():x}{self.next_id:08x}"
        fields = {"X-Pumicemast-Request-Id": identity, "X-Pumicemast-Deadline-Ms": deadline_ms,
                  "X-Api-Key": KEY, **(headers or {})}
        sent = self.record.line("sent", id=identity, gateway=gateway.name, what=kind,
                                target=target)
        status, answer, complete = 0, {}, False
        try:
            status, answer, _, complete = await self.exchange(
                gateway.ip, self.front_port, method, target, fields, body, deadline_ms / 1000 + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        self.record.line("answered", id=identity, gateway=gateway.name, what=kind, status=status,
                         complete=complete, retry_after=answer.get("retry-after", "-"),
                         after_ms=int(1000 * (self.record.now() - sent)))
        return identity, status, complete, answer

    def kill(self, gateway):
        gateway.process.send_signal(signal.SIGKILL)
        gateway.process.wait()
        self.record.line("killed", gateway=gateway.name)

    async def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for runner in self.runners:
            for task in runner.tasks:
                task.cancel()
        for server in [self.store, self.origin, *self.runners]:
            await server.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            for path in self.folder.iterdir():
                path.unlink()
            self.folder.rmdir()


def run_case(folder, play):
    """Plays a case: `play(record, fleet)` returns HELD, BROKEN or NOT_RUN."""
    record = Record(Path(folder) / "record.txt")

    async def main():
        fleet = Fleet(record)
        try:
            return await asyncio.wait_for(play(record, fleet), 105)
        finally:
            await fleet.stop()

    try:
        result = asyncio.run(main())
    except Exception as error:  # The case could not run: no verdict on the rule.
        record.line("not_run", error=repr(error))
        print("the case could not run:", repr(error))
        result = NOT_RUN
    record.line("result", exit=result)
    record.close()
    return result
