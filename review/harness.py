"""Starts the deployed programs on loopback for the cases of this review.

Each machine has its own loopback address. Settings are filled in from the templates of the deploy
file, and the programs are started with its commands. Only the Python standard library and the
store of the project's own process tests are used.
"""

import asyncio
import os
import random
import re
import shlex
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "tests" / "processes"))

from platform_standin import Backend, Origin, Server, Store, send_response  # noqa: E402

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
LONGEST_RUN_S = 100
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

#: Zones with their regions, bounds and limits as the sheets of the sites state them.
SITES = {
    "kjs-pumice": {
        "zones": {"aarhus-hal": "midtjylland", "ballerup-hal": "hovedstaden",
                  "kolding-hal": "syddanmark"},
        "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
                   "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
                   "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
                   "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 102,
                   "recoveryS": 12, "version_ms": 8000},
        "limits": {"front": {"memoryMb": 260, "linkMbps": 1000.0},
                   "side": {"memoryMb": 128, "linkMbps": 7.3}}},
    "vlc-logfleet-grown": {
        "zones": {"suva-a": "suva", "lautoka-a": "lautoka", "labasa-a": "labasa"},
        "bounds": {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 6000,
                   "catchUpS": 6, "drainMs": 3000, "graceS": 8, "lossSlackMs": 200,
                   "configApplyMs": 3000, "rollbackSlackMs": 250, "maxStretchMs": 6000,
                   "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetExtra": 206,
                   "coldOvershoot": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoveryS": 15,
                   "version_ms": 13400},
        "limits": {"front": {"memoryMb": 512, "linkMbps": 200.0},
                   "side": {"memoryMb": 128, "linkMbps": 7.3}}},
}


def is_free(ip, port):
    with socket.socket() as listener:
        try:
            listener.bind((ip, port))
        except OSError:
            return False
    return True


def lookup(scopes, name):
    if name in (".", "@"):
        return scopes[-1].get(name)
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


def fill(template, scopes):
    """Fills the gaps of a settings template, as far as the project's templates use them."""
    def section(match):
        value = lookup(scopes, match[1])
        if value is None or value is False:
            return ""
        if isinstance(value, dict):
            return "".join(fill(match[2], [*scopes, {"@": key, ".": entry}])
                           for key, entry in value.items())
        return fill(match[2], [*scopes, {".": value}])

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.@]+)\}\}", lambda match: str(lookup(scopes, match[1]) or ""), text)


class Fleet:
    """The processes of one deployment, and the addresses of its machines."""

    def __init__(self, site):
        self.site, self.bounds = site, SITES[site]["bounds"]
        self.zones, self.limits = SITES[site]["zones"], SITES[site]["limits"]
        self.roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.folder = tempfile.TemporaryDirectory(prefix="pumicemast-review-")
        self.processes = {}
        self.settings = {}
        self.next_host = 10
        self.network = f"127.{random.randint(60, 220)}.{random.randint(1, 250)}"
        # Alike on all machines.
        self.internal_port, self.metrics_port = 7700, 7715
        self.callers_port, self.ready_port = 8005, 8002

    def address(self):
        """A loopback address at which all ports of a machine are free."""
        ports = (self.internal_port, self.metrics_port, self.callers_port, self.ready_port)
        while True:
            self.next_host += 1
            ip = f"{self.network}.{self.next_host}"
            if all(is_free(ip, port) for port in ports):
                return ip

    def add(self, name, role, zone, store, ip=None, **fields):
        """Adds a machine that runs one role of the deploy file, and starts its process."""
        ip = ip or self.address()
        machine = {"nodeName": name, "zone": zone, "region": self.zones[zone],
                   "zones": self.zones, "ip": ip,
                   "listen": {"front": f"{ip}:{self.callers_port}",
                              "ready": f"{ip}:{self.ready_port}"},
                   "internalPorts": [self.internal_port, self.metrics_port],
                   "bounds": self.bounds,
                   "limits": self.limits[self.roles[role]["on"]], "provider": {"address": store},
                   **fields}
        template = (ROOT / self.roles[role]["template"]).read_text()
        path = Path(self.folder.name) / f"{name}.settings"
        path.write_text(fill(template, [machine]))
        self.settings[name] = (role, path, ip)
        self.start(name)
        return ip

    def start(self, name):
        role, path, _ = self.settings[name]
        log = open(Path(self.folder.name) / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            shlex.split(self.roles[role]["run"]), cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
            env={"PATH": os.environ["PATH"], "HOME": self.folder.name, "LANG": "C.UTF-8",
                 "PUMICEMAST_NODE_FILE": str(path)})
        log.close()

    def log_of(self, name):
        return (Path(self.folder.name) / f"{name}.log").read_text(errors="replace")

    def kill_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()


class Record:
    """What was sent, answered and run, as lines in `record.txt` beside the case."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.begun = time.monotonic()

    def __call__(self, text):
        print(f"{time.monotonic() - self.begun:8.3f} {text}", file=self.file, flush=True)


class Runner(Server):
    """A runner of a plain service. It answers as the protocol says; cases override `answer`."""

    def __init__(self, record, identity, service, zone, host):
        super().__init__(host=host)
        self.record, self.identity, self.service, self.zone = record, identity, service, zone
        self.ran_at = []  # When each request was run.

    def entry(self, state="ready"):
        return {"service": self.service, "address": f"{self.host}:{self.port}", "zone": self.zone,
                "version": 1, "slots": 6, "state": state, "coldLeftMs": 0, "seq": 1}

    async def handle(self, writer, method, target, headers, body):
        request_id = headers.get("x-pumicemast-request-id", "")
        if headers.get("x-pumicemast-expect-instance") not in (None, self.identity):
            self.send_head(writer, 421, [("X-Pumicemast-Request-Id", request_id),
                                         ("Content-Length", 0)])
            return
        self.ran_at.append(time.monotonic())
        self.record(f"run id={request_id} runner={self.identity}")
        await self.answer(writer, request_id, target)

    @staticmethod
    def send_head(writer, status, fields):
        lines = [f"HTTP/1.1 {status} -"] + [f"{name}: {value}" for name, value in fields]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def answer_fields(self, request_id):
        return [("X-Pumicemast-Request-Id", request_id),
                ("X-Pumicemast-Response-Signature", f"sig-{self.identity}-{request_id}")]

    def body_for(self, request_id):
        return (f"{self.identity}/{request_id} " * 80)[:800].encode()

    async def answer(self, writer, request_id, target):
        await asyncio.sleep(0.06)
        body = self.body_for(request_id)
        self.send_head(writer, 200, [*self.answer_fields(request_id),
                                     ("Content-Length", len(body))])
        writer.write(body)


def configuration(version, routes, services):
    """A configuration in full; a route is (prefix, kind, service, attempts, timeout_ms)."""
    return {"version": version,
            "routes": [{"name": prefix.strip("/"), "host": "api.example", "pathPrefix": prefix,
                        "kind": kind, "service": service, "attempts": attempts,
                        "timeoutMs": timeout_ms, "goalMs": 300, "priority": 1}
                       for prefix, kind, service, attempts, timeout_ms in routes],
            "services": [{"name": name, "maxConns": 100} for name in services],
            "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 4000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "kommune", "apiKeys": ["key"]}]}


class Answer:
    """What a client saw: `complete` only if the framing says that nothing is missing."""

    def __init__(self):
        self.status, self.headers, self.body = None, {}, b""
        self.complete, self.fault = False, ""


async def read_answer(reader, answer):
    answer.status = int((await reader.readline()).split()[1])
    while line := (await reader.readline()).decode("latin-1").strip():
        name, value = line.split(":", 1)
        answer.headers[name.lower()] = value.strip()
    if "content-length" in answer.headers:
        left = int(answer.headers["content-length"])
        while left > 0:
            part = await reader.read(min(left, 65536))
            if not part:
                raise EOFError("closed inside the body")
            answer.body += part
            left -= len(part)
    else:
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    answer.complete = True


async def open_caller(ip, port, receive_buffer=None):
    connection = socket.socket()
    if receive_buffer:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (ip, port))
    limit = receive_buffer or 65536  # Of what is read from the connection in advance.
    return await asyncio.open_connection(sock=connection, limit=limit)


def encode_request(method, target, request_id, deadline_ms, more=None):
    fields = {"Host": "api.example", "X-Api-Key": "key", "X-Pumicemast-Request-Id": request_id,
              "X-Pumicemast-Deadline-Ms": deadline_ms, **(more or {})}
    if method == "POST":
        fields["Content-Length"] = 0
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def call(ip, port, method, target, request_id, deadline_ms=4000, more=None):
    """One client attempt on a new connection."""
    answer = Answer()
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await open_caller(ip, port)
            writer.write(encode_request(method, target, request_id, deadline_ms, more))
            await read_answer(reader, answer)
    except (OSError, EOFError, asyncio.IncompleteReadError, IndexError, TimeoutError) as error:
        answer.fault = type(error).__name__
    finally:
        if writer:
            writer.transport.abort()
    return answer


async def wait_until(condition, seconds, what):
    end = time.monotonic() + seconds
    while not await condition():
        if time.monotonic() > end:
            raise RuntimeError(f"not within {seconds} s: {what}")
        await asyncio.sleep(0.1)


async def play(case, fleet, record):
    try:
        return await asyncio.wait_for(case(fleet, record), LONGEST_RUN_S)
    finally:
        fleet.kill_all()
        await asyncio.sleep(0.2)  # The stand-ins see their connections end.


def run(case, folder, site="kjs-pumice"):
    """Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(folder)
    fleet = Fleet(site)
    status = EXIT_NOT_RUN
    try:
        held = asyncio.run(play(case, fleet, record))
        status = EXIT_HELD if held else EXIT_BROKEN
        record("result: the rule " + ("held" if held else "was broken"))
    except Exception as error:  # noqa: BLE001  (whatever it is, the case could not run)
        record(f"result: the case could not run: {type(error).__name__}: {error}")
        print(f"the case could not run: {type(error).__name__}: {error}", file=sys.stderr)
    finally:
        fleet.folder.cleanup()
    sys.exit(status)


__all__ = ["Answer", "Backend", "Fleet", "Origin", "Runner", "Store", "TROUBLE", "call",
           "configuration", "encode_request", "open_caller", "read_answer", "run",
           "send_response", "wait_until"]
