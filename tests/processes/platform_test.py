"""Gateway and agent processes on a stand-in for the users' platform.

Each test checks a guarantee of the system or a fault that once occurred. Where possible, tests wait
for a condition, with a generous timeout, instead of a fixed time.
Usage: platform_test.py BUILD_FOLDER [TEST...]
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from platform_standin import CHUNKS, Origin, Backend, Store, chunk_content
from process_test import known_failures

ROOT = Path(__file__).resolve().parents[2]
BUILD = Path(sys.argv[1]) if len(sys.argv) > 1 else ROOT / "build"
ENGINES = ["127.0.0.11", "127.0.0.12"]  # One address per machine: all agents use the same port.


# Below the range from which the system takes the ports of outgoing connections: one of them could
# take the port before the process that it is meant for.
PORTS_OF_PROCESSES = range(12000, 32000)


def free_port():
    while True:
        port = random.SystemRandom().choice(PORTS_OF_PROCESSES)
        with socket.socket() as listener:
            try:
                listener.bind(("0.0.0.0", port))
            except OSError:
                continue
            return port


class Response:
    """A response; it is incomplete if its connection broke."""

    def __init__(self, status, headers, body, complete):
        self.status, self.headers, self.body, self.complete = status, headers, body, complete


class Platform:
    """The stand-ins and the processes under test."""

    slots = 4  # Per back end.
    store_class = Store

    def __init__(self, folder):
        self.folder = Path(folder)
        self.processes = []
        self.gateway_ports = {}
        self.environment = None  # Of the started processes; None inherits the one of the test.
        self.zones = {}  # By back end; z1 for the others.
        self.cold_left_ms = {}  # By back end.
        self.evacuations = False  # Whether gateways follow evacuations.
        self.memory_mb = None  # Of the gateway.
        self.stop_grace_ms = 6000  # Of the gateway.
        self.limits = {}  # Of callers, besides the usual ones.
        self.route_fields = {}  # Of every route.
        self.tenant_fields = {}  # Of the first tenant.
        self.other_tenants = []
        self.plain_fields = {}  # Of the plain service.

    async def start(self):
        self.store, self.origin = self.store_class(), Origin()
        self.plain = [Backend("p1"), Backend("p2")]
        self.engines = [Backend("e1", ENGINES[0], "m", 1), Backend("e2", ENGINES[1], "m", 1)]
        for server in [self.store, self.origin, *self.plain, *self.engines]:
            await server.start()
        self.internal = free_port()
        self.configure(1)
        for backend in self.plain:
            self.register(backend, "plain")
        for backend in self.engines:
            self.register(backend, "engines")
        for index, backend in enumerate(self.engines):
            self.run_host(index, backend)
        self.gateway = self.run_gateway()
        await self.wait(self.ready)
        await self.wait(self.engines_answer)

    def configure(self, version, extra=(), header_timeout_ms=3000):
        routes = [self.route("/chat/", "stream", "engines", 2, resumable=True),
                  self.route("/write/", "unsafe", "plain", 1),
                  self.route("/read/", "safe", "plain", 2), *extra]
        routes = [{**route, **self.route_fields} for route in routes]
        engine = {"slots": self.slots, "step_ms": 10, "read_per_s": 20000, "stride": 5, "layers": 4,
                  "chunks": CHUNKS, "chunkBytes": 4096, "models": [{"name": "m", "warmS": 0.1}]}
        services = [{"name": "engines", "maxConns": 50, "engine": engine},
                    {"name": "plain", "maxConns": 50, **self.plain_fields},
                    {"name": "origin", "origin": f"127.0.0.1:{self.origin.port}", "maxConns": 9}]
        self.store.put("config", "main", {
            "version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 65536,
                       "headerTimeoutMs": header_timeout_ms, "idleTimeoutMs": 15000,
                       **self.limits},
            "tenants": [{"name": "acme", "apiKeys": ["key"], **self.tenant_fields},
                        *self.other_tenants]})

    @staticmethod
    def route(prefix, kind, service, attempts, resumable=False):
        return {"name": prefix, "host": "api.example", "pathPrefix": prefix, "kind": kind,
                "timeoutMs": 5000, "goalMs": 1000, "gapGoalMs": 1000, "priority": 1,
                "service": service, "attempts": attempts, "public": False, "resumable": resumable}

    def register(self, backend, service, state="ready"):
        self.store.put("servers", backend.identity, {
            "service": service, "address": f"{backend.host}:{backend.port}",
            "zone": self.zones.get(backend.identity, "z1"),
            "coldLeftMs": self.cold_left_ms.get(backend.identity, 0),
            "slots": self.slots, "state": state, "models": [], "layers": None})

    def locality_settings(self):
        return "[membership]\nevacuation_bound_ms=3000\n" if self.evacuations else ""

    def memory_settings(self):
        return f"[limits]\nmemory_mb={self.memory_mb}\n" if self.memory_mb else ""

    def launch(self, name, program, settings, stdout=None):
        path = self.folder / f"{name}.ini"
        path.write_text(settings)
        output = stdout or open(self.folder / f"{name}.log", "wb")
        process = subprocess.Popen([BUILD / "bin" / program, "--settings", path], stdout=output,
                                   stderr=subprocess.STDOUT, cwd=ROOT, env=self.environment)
        self.processes.append(process)
        return process

    def run_host(self, index, backend):
        return self.launch(f"host{index}", "pumicemast-host", f"""
[process]
name=host{index}
zone=z1
region=r1
charts={ROOT}/charts
regions=z1:r1;
[listen]
internal={backend.host}:{self.internal}
metrics={backend.host}:{free_port()}
[engine]
address={backend.host}:{backend.port}
service=engines
report_interval_ms=50
[weights]
changeover_ms=3000
[platform]
store=127.0.0.1:{self.store.port}
""")

    def run_gateway(self, stdout=None, decisions="failures"):
        self.callers, self.ready_port = free_port(), free_port()
        self.metrics_port = free_port()
        return self.launch("gateway", "pumicemast-gateway", f"""
[process]
name=gateway
zone=z1
zones=z1;z2;z3;
regions=z1:r1;z2:r2;z3:r3;
charts={ROOT}/charts
stop_grace_ms={self.stop_grace_ms}
[listen]
callers=127.0.0.1:{self.callers}
ready=127.0.0.1:{self.ready_port}
metrics=127.0.0.1:{self.metrics_port}
internal=127.0.0.1:{self.internal}
{self.locality_settings()}{self.memory_settings()}[weights]
changeover_ms=3000
changeover_margin_ms=500
[log]
decisions={decisions}
[platform]
store=127.0.0.1:{self.store.port}
""", stdout)

    def run_gateway_without_store(self):
        """A second gateway of the zone, which learns everything from the first one."""
        return self.run_second_gateway(free_port(), f"127.0.0.1:{self.internal}")

    def run_second_gateway(self, store_port, seeds=""):
        """A second gateway of the zone."""
        self.second_metrics = free_port()
        self.second_ready = free_port()
        self.second_callers = free_port()
        return self.launch("gateway2", "pumicemast-gateway", f"""
[process]
name=gateway2
zone=z1
regions=z1:r1;z2:r2;z3:r3;
charts={ROOT}/charts
stop_grace_ms=6000
[listen]
callers=127.0.0.2:{self.second_callers}
ready=127.0.0.2:{self.second_ready}
metrics=127.0.0.1:{self.second_metrics}
internal=127.0.0.2:{self.internal}
[membership]
seeds={seeds}
evacuation_bound_ms={3000 if self.evacuations else 0}
[weights]
changeover_ms=3000
changeover_margin_ms=500
[log]
decisions=failures
[platform]
store=127.0.0.1:{store_port}
""")

    async def second_is_ready(self):
        try:
            response = await self.call("GET", "/ready", port=self.second_ready, host="127.0.0.2")
            return response.status == 200
        except OSError:
            return False

    async def metric(self, name, port):
        """The first value of a metric, or None."""
        try:
            text = (await self.call("GET", "/metrics", port=port)).body.decode()
        except OSError:
            return None
        values = [line.split()[-1] for line in text.splitlines() if line.startswith(name)]
        return float(values[0]) if values else None

    def many_routes(self, count):
        return [self.route(f"/many/{number:05}/", "safe", "plain", 2) for number in range(count)]

    async def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in [self.store, self.origin, *self.plain, *self.engines]:
            await server.stop()

    async def call(self, method, target, headers=None, port=None, on_event=None, body=b"",
                   host="127.0.0.1"):
        """Sends one request on a new connection; returns the response."""
        reader, writer = await asyncio.open_connection(host, port or self.callers)
        fields = {"Host": "api.example", "X-Api-Key": "key", "X-Pumicemast-Request-Id": "q1",
                  "X-Pumicemast-Deadline-Ms": "5000", "X-Pumicemast-Model": "m",
                  "X-Pumicemast-Token-Usage": "100,50", "Content-Length": str(len(body)),
                  **(headers or {})}
        lines = [f"{method} {target} HTTP/1.1"] + [f"{n}: {v}" for n, v in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        try:
            return await asyncio.wait_for(self.read_response(reader, on_event), 10)
        finally:
            writer.close()

    @staticmethod
    async def read_response(reader, on_event):
        status = int((await reader.readline()).split()[1])
        headers = {}
        while (line := (await reader.readline()).decode().strip()):
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
        body = b""
        try:
            if headers.get("transfer-encoding") == "chunked":
                while (size := int(await reader.readline(), 16)) > 0:
                    body += await reader.readexactly(size)
                    await reader.readexactly(2)
                    if on_event:
                        on_event(body)
                await reader.readexactly(2)
            else:
                body = await reader.readexactly(int(headers["content-length"]))
            return Response(status, headers, body, True)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return Response(status, headers, body, False)

    async def ready(self):
        try:
            return (await self.call("GET", "/ready", port=self.ready_port)).status == 200
        except OSError:
            return False

    async def engines_answer(self):
        return (await self.call("POST", "/chat/1")).status == 200

    async def wait(self, condition, limit=20):
        end = asyncio.get_running_loop().time() + limit
        while True:
            result = condition()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            if asyncio.get_running_loop().time() > end:
                raise AssertionError(
                    f"{condition} was not met within {limit} s{self.describe_exited_processes()}")
            await asyncio.sleep(0.05)

    def describe_exited_processes(self):
        """Number of exited processes and, if there are any, the end of each log."""
        exited = [p for p in self.processes if p.poll() is not None]
        logs = sorted(self.folder.glob("*.log"))
        lines = [f"; {len(exited)} of {len(self.processes)} processes exited"]
        if exited:
            lines += [f"{log.name}: {log.read_text(errors='replace')[-600:]}" for log in logs]
        return "\n".join(lines)


COMPLETE_STREAM = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(1, 11))


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        if f"platform_test.{type(self).__name__}.{self._testMethodName}" in known_failures():
            self.skipTest("listed in KNOWN-RED.txt")
        self.folder = tempfile.TemporaryDirectory()
        self.platform = Platform(self.folder.name)
        await self.platform.start()

    async def asyncTearDown(self):
        await self.platform.stop()
        self.folder.cleanup()

    async def test_requests_are_served_completely_by_the_expected_instance(self):
        response = await self.platform.call("POST", "/chat/1")
        self.assertEqual((200, COMPLETE_STREAM, True),
                         (response.status, response.body, response.complete))
        self.assertTrue(response.headers["x-pumicemast-response-signature"].startswith("sig-e"))
        response = await self.platform.call("GET", "/read/1")
        self.assertEqual(200, response.status)
        ran = next(r for p in self.platform.plain for r in p.requests)
        self.assertEqual("acme", ran["x-pumicemast-tenant"])
        self.assertNotIn("x-api-key", ran)
        self.assertLessEqual(int(ran["x-pumicemast-deadline-ms"]), 5000)

    async def test_keys_routes_and_a_new_configuration(self):
        self.assertEqual(
            401, (await self.platform.call("GET", "/read/1", {"X-Api-Key": "x"})).status)
        self.assertEqual(404, (await self.platform.call("GET", "/new/1")).status)
        self.platform.configure(2, [Platform.route("/new/", "safe", "plain", 2)])

        async def route_exists():
            return (await self.platform.call("GET", "/new/1")).status == 200
        await self.platform.wait(route_exists, 2)
        self.platform.configure(1)  # An older version is never applied.
        await asyncio.sleep(0.6)
        self.assertEqual(200, (await self.platform.call("GET", "/new/1")).status)

    async def route_exists(self, prefix):
        return (await self.platform.call("GET", f"/{prefix}/x")).status != 404

    async def test_configurations_in_quick_succession_are_read_one_state_at_a_time(self):
        platform = self.platform
        store = platform.store
        await platform.ready()
        await asyncio.sleep(1.2)
        store.sent_kinds.clear()
        for version in range(10, 50):
            extra = [platform.route(f"/new{version}/", "safe", "plain", 1)]
            platform.configure(version, extra=extra)
            await asyncio.sleep(0.05)
        await platform.wait(lambda: self.route_exists("new49"), limit=2)
        # Sending each of the 40 versions would give 40.
        self.assertLessEqual(store.sent_kinds.count("config"), 10)

    async def test_a_large_configuration_is_fetched_from_another_gateway(self):
        platform = self.platform
        platform.run_gateway_without_store()
        name = "pumicemast_gateway_configuration_version"

        async def version():
            return await platform.metric(name, platform.second_metrics)

        async def has(wanted):
            return await version() == wanted
        await platform.wait(lambda: has(1))
        platform.configure(2, extra=platform.many_routes(3000))
        platform.configure(3, extra=platform.many_routes(3001))
        await platform.wait(lambda: has(3), limit=3)
        sent = await platform.metric("pumicemast_gateway_configuration_sent_bytes_total",
                                     platform.metrics_port)
        document = len(json.dumps(platform.store.objects["config"]["main"]["spec"]))
        self.assertGreater(sent, document / 2)  # The gateway sent it, not the store.
        self.assertLess(sent, 2.5 * document)
        pattern = re.compile(rf"version=3 source=gateway from=127.0.0.1:{platform.internal} "
                          r"bytes=\d+ lag_ms=\d+ routes=3004 state=IN_FORCE")
        log = platform.folder / "gateway2.log"
        await platform.wait(lambda: pattern.search(log.read_text()), limit=3)

    # Guards against a fixed timeout for an entire response: a document of several hundred kB on a
    # saturated link exceeded it, the read was given up and restarted, and routes of an acknowledged
    # configuration returned 404 for seconds. The timeout must not end a response that is arriving.
    async def test_a_large_configuration_is_read_over_a_slow_link_after_quick_changes(self):
        platform = self.platform
        platform.store.bytes_per_s["config"] = 400_000
        # After quick changes the gateway reads the current state instead of events.
        for version in (2, 3):
            platform.configure(version, extra=[platform.route("/new/", "safe", "plain", 1)])
            await asyncio.sleep(0.3)
        platform.configure(4, extra=platform.many_routes(4000))  # 900 KB, 2.2 s.
        await platform.wait(lambda: self.route_exists("many/03999"), limit=5)

    async def test_a_large_configuration_is_read_over_a_slow_link_at_the_start(self):
        platform = self.platform
        platform.configure(2, extra=platform.many_routes(4000))
        platform.store.bytes_per_s["config"] = 400_000
        platform.gateway.kill()
        platform.gateway = platform.run_gateway()
        await platform.wait(lambda: platform.ready(), limit=5)

    # Guards against a fixed timeout for an entire response: agents that were restarted in turn gave
    # up reading a large configuration and began again, which kept the links saturated.
    async def test_an_agent_reads_a_large_configuration_once_over_a_slow_link(self):
        platform = self.platform
        for host in platform.processes[:2]:
            host.kill()
        platform.configure(2, extra=platform.many_routes(4000))
        await platform.wait(lambda: self.route_exists("many/03999"), limit=3)
        platform.gateway.kill()  # An agent reads it only if no gateway describes its engine.
        platform.gateway.wait()
        platform.store.sent_kinds.clear()
        platform.store.bytes_per_s["config"] = 400_000
        platform.run_host(0, platform.engines[0])
        await platform.wait(lambda: "config" in platform.store.sent_kinds, limit=10)
        await asyncio.sleep(6)
        self.assertEqual(1, platform.store.sent_kinds.count("config"))

    async def test_an_agent_learns_its_engine_from_a_gateway(self):
        platform = self.platform
        for host in platform.processes[:2]:
            host.kill()
            host.wait()
        platform.store.sent_kinds.clear()
        platform.run_host(0, platform.engines[0])
        log = platform.folder / "host0.log"
        await platform.wait(lambda: "state=KNOWN" in log.read_text(), limit=3)
        await asyncio.sleep(1)
        self.assertEqual(0, platform.store.sent_kinds.count("config"))

    # A delayed watch response carries all versions since. The gateway parsed all of them at once,
    # and the tree of a document takes seven times the memory of its text, so that the gateway
    # exceeded its memory limit and was killed.
    async def test_many_large_versions_in_one_response_take_little_memory(self):
        platform = self.platform
        await asyncio.sleep(0.5)
        platform.store.held_kinds.add("config")
        for version in range(2, 17):
            platform.configure(version, extra=platform.many_routes(4000))  # 900 KB each.
        await asyncio.sleep(0.5)
        platform.store.held_kinds.clear()
        await platform.wait(lambda: self.route_exists("many/03999"), limit=5)
        status = Path(f"/proc/{platform.gateway.pid}/status").read_text()
        peak_kb = int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1))
        self.assertLess(peak_kb, 64_000)

    async def test_a_store_response_that_stalls_midway_is_requested_again(self):
        platform = self.platform
        platform.store.bytes_per_s["config"] = 400_000
        platform.store.remaining_stalls = 1
        for version in (2, 3):
            platform.configure(version, extra=[platform.route("/new/", "safe", "plain", 1)])
            await asyncio.sleep(0.3)
        platform.configure(4, extra=platform.many_routes(1000))
        await platform.wait(lambda: self.route_exists("many/00999"), limit=6)
        self.assertEqual(0, platform.store.remaining_stalls)

    async def test_a_watch_that_was_lost_with_the_store_is_renewed(self):
        platform = self.platform
        await platform.ready()
        await asyncio.sleep(1)
        platform.store.mute = True
        await asyncio.sleep(1)
        platform.configure(2, extra=[platform.route("/new/", "safe", "plain", 1)])
        await asyncio.sleep(3)
        platform.store.mute = False
        await platform.wait(lambda: self.route_exists("new"), limit=3)

    def gateway_log(self):
        return (Path(self.folder.name) / "gateway.log").read_text()

    # A watch whose connection went silent while new connections worked was detected only when the
    # call timed out (8.7 s), and engines served outdated weights for seconds.
    async def test_a_silent_versions_watch_is_detected_soon(self):
        store = self.platform.store
        await asyncio.sleep(1)
        store.silence_kind("versions")
        store.called_kinds.clear()
        await asyncio.sleep(0.2)
        store.put("versions", "m", {"model": "m", "version": 2})
        await self.platform.wait(lambda: "weights model=m version=2" in self.gateway_log(), 4)
        # Two agents poll the list every 2 s; the remaining calls are the gateway's, which have a
        # price and so must be few.
        self.assertLessEqual(store.called_kinds.count("versions"), 2 * 3 + 3)

    # The same fault on the watch of the configuration: new routes returned 404 for seconds.
    async def test_a_silent_configuration_watch_is_detected_soon(self):
        platform = self.platform
        await asyncio.sleep(1)
        platform.store.silence_kind("config")
        await asyncio.sleep(0.2)
        platform.configure(2, extra=[platform.route("/new/", "safe", "plain", 1)])
        await platform.wait(lambda: self.route_exists("new"), limit=4)

    # Non-repeatable requests failed: they were sent on an idle connection that had gone silent, and
    # so counted as possibly executed.
    async def test_a_silent_idle_connection_is_not_reused(self):
        platform = self.platform
        for _ in range(6):
            self.assertEqual(200, (await platform.call("GET", "/read/1")).status)
        # All packets are acknowledged by then: a back end would retransmit the others.
        await asyncio.sleep(0.3)
        for backend in platform.plain:
            self.assertTrue(backend.writers)
            backend.silence(backend.writers)
        await asyncio.sleep(2.5)
        for _ in range(4):
            self.assertEqual(200, (await platform.call("POST", "/write/1")).status)

    # Requests started on outdated weights after the allowed time: a version in the first response
    # after a store outage was dated to that moment, although it was named during the outage.
    async def test_a_version_named_during_a_store_outage_is_not_treated_as_new(self):
        platform = self.platform
        await asyncio.sleep(1)
        platform.store.mute = True
        await asyncio.sleep(0.5)
        platform.store.put("versions", "m", {"model": "m", "version": 2})
        await asyncio.sleep(5)
        platform.store.mute = False
        pattern = re.compile(r"weights model=m version=2 age_ms=\d+ assumed=(\w+)")
        await platform.wait(lambda: pattern.search(self.gateway_log()), 12)
        self.assertEqual("yes", pattern.search(self.gateway_log()).group(1))

    async def test_an_unsafe_request_whose_response_is_lost_runs_once(self):
        for backend in self.platform.plain:
            backend.mode = "lost"
        response = await self.platform.call("POST", "/write/1")
        self.assertEqual(502, response.status)
        self.assertEqual(1, sum(len(backend.requests) for backend in self.platform.plain))

    async def test_a_refused_request_gets_a_retry_after_header(self):
        for backend in self.platform.plain:
            backend.mode = "shed"
        response = await self.platform.call("POST", "/write/1")
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["retry-after"]), 0)
        self.assertEqual(0, sum(len(backend.requests) for backend in self.platform.plain))

    async def test_a_broken_stream_is_resumed_at_another_engine(self):
        for backend in self.platform.engines:
            backend.mode = "break"
        response = await self.platform.call("POST", "/chat/1")
        resumed = [r for e in self.platform.engines for r in e.requests if "last-event-id" in r]
        self.assertEqual("3", resumed[0]["last-event-id"])
        # The second stream breaks too: no attempt is left, and the response must be incomplete.
        self.assertFalse(response.complete)

    async def test_a_stream_broken_once_is_resumed_completely(self):
        broken = self.platform.engines[0]

        async def resumed_once():
            broken.mode = "break"
            response = await self.platform.call("POST", "/chat/1")
            self.assertEqual((True, COMPLETE_STREAM), (response.complete, response.body))
            return any("last-event-id" in r for r in self.platform.engines[1].requests)
        await self.platform.wait(resumed_once)

    async def test_a_draining_back_end_gets_no_new_requests(self):
        self.platform.register(self.platform.plain[0], "plain", "draining")
        await asyncio.sleep(1.5)
        before = len(self.platform.plain[0].requests)
        for _ in range(6):
            self.assertEqual(200, (await self.platform.call("GET", "/read/1")).status)
        self.assertEqual(before, len(self.platform.plain[0].requests))

    async def test_agents_read_all_pages_of_a_list(self):
        """Without a gateway that relays the list, agents read it from the store."""
        self.platform.gateway.send_signal(signal.SIGTERM)
        await self.platform.wait(lambda: self.platform.gateway.poll() is not None, 8)
        self.platform.store.page_size = 1
        listed = len(self.platform.store.listed_kinds)

        async def both_read_backends_again():
            return self.platform.store.listed_kinds[listed:].count("servers") >= 2 * len(ENGINES)
        await self.platform.wait(both_read_backends_again, 15)
        self.platform.origin.newest = 2
        self.platform.store.put("versions", "m", {"model": "m", "version": 2})
        await self.platform.wait(lambda: all(e.version == 2 for e in self.platform.engines), 20)
        for index in range(len(ENGINES)):
            log = (Path(self.folder.name) / f"host{index}.log").read_bytes()
            self.assertIn(b"version=2 held=4 of=8 peers=2", log)

    async def test_agents_do_not_poll_the_store_while_a_gateway_relays_changes(self):
        """Each agent read the full list every two seconds, which saturated the store's links."""
        await asyncio.sleep(1)
        listed = len(self.platform.store.listed_kinds)
        await asyncio.sleep(6)
        self.assertEqual(0, self.platform.store.listed_kinds[listed:].count("servers"))
        # Changes still reach the agents: an added engine counts as a peer for the next version.
        added = self.platform.engines[0]
        self.platform.store.put("servers", "i-joining", {
            "service": "engines", "address": f"127.0.0.77:{added.port}", "zone": "z1",
            "slots": 4, "state": "ready", "models": [], "layers": None})
        await asyncio.sleep(2)
        self.platform.origin.newest = 2
        self.platform.store.put("versions", "m", {"model": "m", "version": 2})
        await self.platform.wait(lambda: all(e.version == 2 for e in self.platform.engines), 20)
        for index in range(len(ENGINES)):
            log = (Path(self.folder.name) / f"host{index}.log").read_bytes()
            self.assertIn(b"version=2 held=4 of=8 peers=3", log)

    async def test_a_change_between_two_pages_of_a_list_is_not_missed(self):
        self.platform.store.page_size = 1

        def drain_once_read(names):
            if names == ["p1"]:
                self.platform.store.on_page_sent = None
                self.platform.register(self.platform.plain[0], "plain", "draining")
        os.kill(self.platform.gateway.pid, signal.SIGKILL)
        self.platform.gateway.wait()
        self.platform.store.on_page_sent = drain_once_read
        self.platform.gateway = self.platform.run_gateway()
        await self.platform.wait(self.platform.ready)

        async def p2_answers():
            return (await self.platform.call("GET", "/read/1")).status == 200
        await self.platform.wait(p2_answers)
        self.assertIsNone(self.platform.store.on_page_sent)
        await asyncio.sleep(1.5)  # Time limit for gateways to stop using a draining back end.
        before = len(self.platform.plain[0].requests)
        for _ in range(6):
            self.assertEqual(200, (await self.platform.call("GET", "/read/1")).status)
        self.assertEqual(before, len(self.platform.plain[0].requests))

    async def test_new_weights_are_verified_and_mostly_fetched_once_from_the_origin(self):
        self.platform.origin.newest = 2
        self.platform.origin.corrupt_once = {(2, 0)}
        self.platform.store.put("versions", "m", {"model": "m", "version": 2})
        await self.platform.wait(lambda: all(e.version == 2 for e in self.platform.engines), 10)
        for engine in self.platform.engines:
            self.assertEqual({n: chunk_content(2, n) for n in range(CHUNKS)},
                             engine.activated_chunks[-1])
        sent = [n for version, n in self.platform.origin.sent_chunks if version == 2]
        self.assertEqual({0, 2, 4, 6}, set(sent))  # Odd chunks are the same in all versions.
        self.assertLessEqual(len(sent), 6)

        async def on_new_weights():
            response = await self.platform.call("POST", "/chat/1")
            return response.headers.get("x-pumicemast-weight-versions") == "2"
        await self.platform.wait(on_new_weights)

    async def test_an_agent_without_known_peers_fetches_nothing(self):
        """Restarted agents fetched full copies from the origin before they knew of the agents whose
        engines hold the weights."""
        self.platform.gateway.send_signal(signal.SIGSTOP)
        agent = self.platform.processes[0]
        agent.kill()
        agent.wait()
        engine = self.platform.engines[0]
        engine.version, engine.staged = 0, {}  # As after a power loss of its machine.
        before = (len(self.platform.origin.sent_chunks), self.platform.origin.sent_manifests)
        self.platform.run_host(0, engine)
        await asyncio.sleep(2)
        after = (len(self.platform.origin.sent_chunks), self.platform.origin.sent_manifests)
        self.platform.gateway.send_signal(signal.SIGCONT)
        self.assertEqual(before, after)
        await self.platform.wait(lambda: engine.version == 1, limit=10)
        self.assertEqual(before[0], len(self.platform.origin.sent_chunks))

    async def test_no_idle_connection_stays_open_at_the_origin(self):
        # Connections left open by machines that lost power would use up the origin's connections
        # and lock out all other machines.
        self.platform.origin.newest = 2
        self.platform.store.put("versions", "m", {"model": "m", "version": 2})
        await self.platform.wait(lambda: all(e.version == 2 for e in self.platform.engines), 10)
        await self.platform.wait(lambda: not self.platform.origin.writers, 2)

    async def test_corrupt_staging_memory_is_repaired_before_a_start(self):
        engine = self.platform.engines[0]
        engine.staged[3] = b"corrupt"
        engine.version = 0  # The engine was restarted and holds no layers.
        await self.platform.wait(lambda: engine.version == 1, 10)
        self.assertEqual(chunk_content(1, 3), engine.activated_chunks[-1][3])

    async def test_a_graceful_stop_interrupts_no_stream(self):
        for backend in self.platform.engines:
            backend.event_gap = 0.15
        first_event = asyncio.Event()
        stream = asyncio.create_task(
            self.platform.call("POST", "/chat/1", on_event=lambda _: first_event.set()))
        await asyncio.wait_for(first_event.wait(), 5)
        self.platform.gateway.send_signal(signal.SIGTERM)
        await self.platform.wait(lambda: self.not_ready(), 3)
        response = await stream
        self.assertEqual((True, COMPLETE_STREAM), (response.complete, response.body))
        await self.platform.wait(lambda: self.platform.gateway.poll() is not None, 8)
        self.assertEqual(0, self.platform.gateway.poll())

    async def not_ready(self):
        return (await self.platform.call(
            "GET", "/ready", port=self.platform.ready_port)).status == 503

    async def test_callers_during_a_stop_are_answered_or_refused(self):
        """Callers ignore the readiness state: each request gets a complete response, or its
        connection is refused before it is sent."""
        broken = []  # (seconds since the start, error or response) of each failed request.
        answered_count = [0]
        loop = asyncio.get_running_loop()
        begin = loop.time()

        async def keep_calling():
            while True:
                try:
                    response = await self.platform.call("POST", "/chat/1", {"X-Api-Key": "nobody"})
                except ConnectionRefusedError:
                    return
                except (OSError, IndexError) as error:
                    broken.append((round(loop.time() - begin, 3), repr(error)))
                    continue
                if response.complete:
                    answered_count[0] += 1
                else:
                    broken.append((round(loop.time() - begin, 3), vars(response)))

        callers = [asyncio.create_task(keep_calling()) for _ in range(8)]
        await asyncio.sleep(0.2)
        self.platform.gateway.terminate()
        await asyncio.wait_for(asyncio.gather(*callers), 20)
        self.assertEqual(0, self.platform.gateway.wait())
        self.assertEqual([], broken)
        self.assertGreater(answered_count[0], 100)

    async def call_with_delays(self, connect_after, send_after):
        """Connects and sends a request, each so many seconds after this call."""
        await asyncio.sleep(connect_after)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.platform.callers)
        await asyncio.sleep(send_after - connect_after)
        writer.write(b"GET /read/1 HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key\r\n"
                     b"X-Pumicemast-Request-Id: q1\r\nX-Pumicemast-Deadline-Ms: 5000\r\n\r\n")
        return await self.platform.read_response(reader, None)

    async def test_callers_that_are_slow_to_send_are_answered_during_a_stop(self):
        """On a loaded machine a caller may send its request a second after it connected. The
        gateway closed such connections after half a second, and the callers got no response."""
        self.platform.gateway.terminate()
        responses = await asyncio.gather(self.call_with_delays(0.0, 1.2),
                                         self.call_with_delays(2.0, 3.2),
                                         self.call_with_delays(2.7, 4.2))
        self.assertEqual([True] * 3, [response.complete for response in responses])
        self.assertEqual([200, 503, 503], [response.status for response in responses])
        await self.platform.wait(lambda: self.platform.gateway.poll() == 0, limit=4)

    async def test_callers_whose_process_is_paused_are_answered_during_a_stop(self):
        """On a loaded machine callers were not scheduled between connecting and sending. The
        gateway closed their connections after half a second, six of them at once."""
        callers = await asyncio.create_subprocess_exec(
            sys.executable, Path(__file__).with_name("paused_callers.py"),
            str(self.platform.callers), "40", stdout=asyncio.subprocess.PIPE)
        await asyncio.sleep(0.5)
        self.platform.gateway.terminate()
        for _ in range(3):
            await asyncio.sleep(0.3)
            callers.send_signal(signal.SIGSTOP)
            await asyncio.sleep(0.8)
            callers.send_signal(signal.SIGCONT)
        output, _ = await asyncio.wait_for(callers.communicate(), 30)
        result = json.loads(output)
        self.assertEqual([], result["broken"])
        self.assertGreater(result["answered"], 100)
        await self.platform.wait(lambda: self.platform.gateway.poll() == 0, limit=4)

    async def test_the_rest_of_a_request_on_a_keep_alive_connection_is_awaited_during_a_stop(self):
        """A caller that paused in the middle of its second request got no response: the gateway
        waited only for the first request of a connection."""
        self.platform.configure(2, header_timeout_ms=9000)
        await asyncio.sleep(1)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.platform.callers)
        request = (b"GET /read/1 HTTP/1.1\r\nHost: api.example\r\nX-Api-Key: key\r\n"
                   b"X-Pumicemast-Request-Id: q1\r\nX-Pumicemast-Deadline-Ms: 5000\r\n\r\n")
        writer.write(request)
        self.assertEqual(200, (await self.platform.read_response(reader, None)).status)
        self.platform.gateway.terminate()
        writer.write(request[:40])
        await asyncio.sleep(4.2)
        writer.write(request[40:])
        self.assertEqual(503, (await self.platform.read_response(reader, None)).status)
        await self.platform.wait(lambda: self.platform.gateway.poll() == 0, limit=4)

    async def test_a_gateway_that_starts_gets_the_list_from_the_contact_of_its_zone(self):
        """Hundreds of processes that each read the list from the store at startup saturated the
        links to it for many seconds."""
        contact = self.platform.store.objects["gateway-contacts"]["z1"]
        self.assertEqual({"gateway": f"127.0.0.1:{self.platform.internal}"}, contact["spec"])
        before = self.platform.store.listed_kinds.count("servers")
        self.platform.run_second_gateway(self.platform.store.port)
        await self.platform.wait(self.platform.second_is_ready, limit=5)
        log = Path(self.folder.name) / "gateway2.log"
        await self.platform.wait(lambda: b"event=list count=4" in log.read_bytes(), limit=5)
        self.assertEqual(before, self.platform.store.listed_kinds.count("servers"))
        self.assertIn(b"source=gateway", log.read_bytes())

    async def test_an_unreachable_contact_is_replaced(self):
        """As after a power outage from which the machine of the zone's contact does not return."""
        self.platform.gateway.kill()
        self.platform.gateway.wait()
        self.platform.run_second_gateway(self.platform.store.port)
        await self.platform.wait(self.platform.second_is_ready, limit=5)
        contact = self.platform.store.objects["gateway-contacts"]["z1"]
        self.assertEqual({"gateway": f"127.0.0.2:{self.platform.internal}"}, contact["spec"])

    async def test_each_gateway_reads_the_list_from_a_store_without_contacts(self):
        self.platform.store.refused_kinds.add("gateway-contacts")
        self.platform.gateway.kill()
        self.platform.gateway.wait()
        self.platform.run_second_gateway(self.platform.store.port)
        await self.platform.wait(self.platform.second_is_ready, limit=5)

    async def test_serving_continues_while_the_store_is_down(self):
        self.platform.store.down = True
        await asyncio.sleep(1)
        self.assertEqual(200, (await self.platform.call("POST", "/chat/1")).status)
        self.assertEqual(200, (await self.platform.call("GET", "/read/1")).status)

    async def test_hangup_reloads_and_bad_settings_are_refused(self):
        log = Path(self.folder.name) / "gateway.log"
        self.platform.gateway.send_signal(signal.SIGHUP)
        await self.platform.wait(lambda: b"event=reload" in log.read_bytes(), 5)
        settings = Path(self.folder.name) / "gateway.ini"
        settings.write_text(settings.read_text() + "\n[nonsense]\na=b\n")
        await self.platform.wait(lambda: b"reload state=REFUSED" in log.read_bytes(), 5)
        self.assertEqual(200, (await self.platform.call("GET", "/read/1")).status)

    async def test_a_blocked_log_reader_does_not_block_requests(self):
        read_end, write_end = os.pipe()
        os.set_blocking(write_end, False)
        try:
            while True:
                os.write(write_end, b"x" * 65536)
        except BlockingIOError:
            pass  # The pipe is full.
        os.set_blocking(write_end, True)
        self.platform.gateway.kill()
        self.platform.gateway.wait()
        self.platform.gateway = self.platform.run_gateway(os.fdopen(write_end, "wb"), "all")
        await self.platform.wait(self.platform.ready)
        await self.platform.wait(self.platform.engines_answer)
        for _ in range(50):
            self.assertEqual(200, (await self.platform.call("GET", "/read/1")).status)
        os.close(read_end)

    async def test_an_interrupt_during_a_stop_ends_the_process_at_once_with_its_log_written(self):
        process = self.platform.gateway
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(1.1)
        process.send_signal(signal.SIGINT)
        await self.platform.wait(lambda: process.poll() is not None, limit=1)
        self.assertIn("event=stop", (Path(self.folder.name) / "gateway.log").read_text())

    async def test_engines_listed_before_the_configuration_arrives_are_subscribed(self):
        platform = self.platform
        platform.gateway.kill()
        platform.gateway.wait()
        platform.store.held_kinds.add("config")
        platform.store.listed_kinds.clear()
        platform.gateway = platform.run_gateway()
        await platform.wait(lambda: "servers" in platform.store.listed_kinds)
        await asyncio.sleep(0.5)
        platform.store.held_kinds.clear()

        async def engines_report():
            response = await platform.call("GET", "/metrics", port=platform.metrics_port)
            return b"pumicemast_gateway_reporting_engines 2" in response.body
        await platform.wait(engines_report, limit=5)

    async def test_metrics_are_served(self):
        await self.platform.call("GET", "/read/1")

        async def counted():
            response = await self.platform.call("GET", "/metrics", port=self.platform.metrics_port)
            return b"pumicemast_gateway_requests_total" in response.body
        await self.platform.wait(counted)

    async def test_zones_without_a_known_gateway_count_in_the_retry_budget(self):
        async def three_gateways_counted():
            response = await self.platform.call("GET", "/metrics", port=self.platform.metrics_port)
            return b"pumicemast_gateway_retry_gateways 3" in response.body
        await self.platform.wait(three_gateways_counted, limit=5)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], *sys.argv[2:]], verbosity=2)
