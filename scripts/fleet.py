"""Starts a complete fleet of real processes on loopback: stand-ins, entries and agents.

Used by scripts/demo, scripts/bench and the tests with real processes. Waits are for conditions,
never for a fixed time, and every started process is stopped by its process id.
"""

import http.client
import json
import os
import pathlib
import socket
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
WAIT_LIMIT_S = 60
LOG_TAIL_CHARACTERS = 2000


def process_loopback_address():
    """Returns a loopback address derived from the process id, so that only this process uses it.

    On a shared address another fleet or an outgoing connection can take a port that was found free
    before the process that it is meant for binds it.
    """
    process = os.getpid()
    return f"127.{64 + (process >> 16) % 64}.{process >> 8 & 255}.{process & 255}"


def free_ports(host, count):
    """Returns distinct free ports of the address."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((host, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def http_call(address, method, path, body=None, headers=None, timeout=30):
    """Sends one HTTP request; returns (status, headers, body) or raises OSError."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def wait_until(condition, what, limit_s=WAIT_LIMIT_S):
    """Waits until condition() is true; raises TimeoutError with `what` in its text."""
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise TimeoutError(f"still waiting for {what} after {limit_s} s")


def write_ini(path, sections):
    lines = []
    for section, values in sections.items():
        lines.append(f"[{section}]")
        lines += [f"{key}={value}" for key, value in values.items()]
    path.write_text("\n".join(lines) + "\n")
    return path


class Process:
    """A child process and its log file."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.log = folder / f"{name}.log"
        self._output = open(self.log, "ab")
        self.popen = subprocess.Popen(arguments, stdout=self._output, stderr=self._output)

    def alive(self):
        return self.popen.poll() is None

    def require_alive(self):
        """Raises RuntimeError with the end of the log if the process has exited."""
        if not self.alive():
            tail = self.log.read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]
            raise RuntimeError(f"{self.name} ended with {self.popen.returncode}: {tail}")

    def stop(self):
        if self.alive():
            self.popen.terminate()

    def kill(self):
        if self.alive():
            self.popen.kill()
        self.popen.wait()
        self._output.close()

    def wait(self, limit_s=30):
        try:
            return self.popen.wait(limit_s)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait()
        finally:
            self._output.close()


class Fleet:
    """Stand-ins, entries and agents with their addresses; a context manager."""

    def __init__(self, folder, build, zones=3, entries=6, engines=10, services=2,
                 origin_bytes_per_second=10**9, link_bytes_per_second=0, engine=None, agent=None,
                 object_api=None, entry=None):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.bin = pathlib.Path(build).resolve() / "bin"
        self.processes = {}
        self.settings = {}
        self.engine_options = engine or {}
        self.agent_options = agent or {}
        self.entry_options = entry or {}
        self.link_bytes_per_second = link_bytes_per_second
        machines = engines + services
        self.host = process_loopback_address()
        ports = iter(free_ports(self.host, 2 + 3 * entries + 3 * machines))
        self.object_api = self._address(ports)
        self.origin = self._address(ports)
        self.entries = []
        for index in range(entries):
            self.entries.append({"name": f"e{index + 1}", "zone": index % zones,
                                 "callers": self._address(ports), "agents": self._address(ports),
                                 "operators": self._address(ports)})
        self.machines = []
        for index in range(machines):
            kind = "engine" if index < engines else "service"
            self.machines.append({"name": f"a{index + 1:02d}", "zone": index % zones, "kind": kind,
                                  "backend": self._address(ports), "swarm": self._address(ports),
                                  "http": self._address(ports)})
        self._write_settings(origin_bytes_per_second, object_api or {})

    def _address(self, ports):
        return f"{self.host}:{next(ports)}"

    @staticmethod
    def location(zone):
        """Returns the region and zone names for a zone number: one zone per region."""
        return {"region": f"region-{zone + 1}", "zone": f"zone-{zone + 1}"}

    def _write_settings(self, origin_rate, object_api):
        charts = ROOT / "charts"
        self._ini("object_api", {"standin": {"role": "object_api", "listen": self.object_api},
                                 "object_api": object_api})
        self._ini("origin", {"standin": {"role": "origin", "listen": self.origin},
                             "origin": {"bytes_per_second": origin_rate}})
        for entry in self.entries:
            self._ini(entry["name"], {
                "process": {"name": entry["name"], "charts": charts,
                            **self.location(entry["zone"])},
                "listen": {key: entry[key] for key in ("callers", "agents", "operators")},
                "platform": {"url": f"http://{self.object_api}"},
                "limits": {"entry_count": len(self.entries)},
                **self.entry_options})
        for number, machine in enumerate(self.machines):
            backend = {"kind": machine["kind"], "url": f"http://{machine['backend']}"}
            if machine["kind"] == "service":
                backend["service"] = "notices"
            standin = {"standin": {"role": machine["kind"], "listen": machine["backend"]}}
            if machine["kind"] == "engine":
                # Every second engine checks fences, as in the users' fleets.
                standin["engine"] = {"checks_fence": "true" if number % 2 == 0 else "false",
                                     **self.engine_options}
            self._ini(f"{machine['name']}-backend", standin)
            self._ini(machine["name"], {
                "process": {"machine": machine["name"], "charts": charts,
                            **self.location(machine["zone"])},
                "listen": {"swarm": machine["swarm"], "http": machine["http"]},
                "entries": {"addresses": ";".join(entry["agents"] for entry in self.entries)},
                "backend": backend,
                "origin": {"url": f"http://{self.origin}"},
                "links": {"up_bytes_per_second": self.link_bytes_per_second,
                          "down_bytes_per_second": self.link_bytes_per_second},
                **self.agent_options})

    def _ini(self, name, sections):
        self.settings[name] = write_ini(self.folder / f"{name}.ini", sections)

    def start_process(self, name):
        binary = "pumicemast-standin"
        if name in (entry["name"] for entry in self.entries):
            binary = "pumicemast-entry"
        if name in (machine["name"] for machine in self.machines):
            binary = "pumicemast-agent"
        self.processes[name] = Process(
            name, [str(self.bin / binary), "--settings", str(self.settings[name])], self.folder)

    def start(self):
        for name in self.settings:
            self.start_process(name)
        for entry in self.entries:
            wait_until(lambda: self._is_ready(entry), f"entry {entry['name']}")
        for entry in self.entries:
            wait_until(lambda: len(self.rows("show machines where state=SERVING", entry))
                       == len(self.machines), f"all agents at {entry['name']}")

    def _is_ready(self, entry):
        for process in self.processes.values():
            process.require_alive()
        return http_call(entry["operators"], "GET", "/readyz")[0] == 200

    def stop(self):
        # Entries and agents stop first: they drain while their back ends still respond.
        names = [entry["name"] for entry in self.entries]
        names += [machine["name"] for machine in self.machines]
        for name in names:
            if name in self.processes:
                self.processes[name].stop()
        for name in names:
            if name in self.processes:
                self.processes[name].wait()
        for process in self.processes.values():
            process.stop()
        for process in self.processes.values():
            process.wait()

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def ctl(self, *words, entry=None, user="demo", check=True, options=()):
        """Runs pumicemastctl; returns the finished process."""
        selected = [entry] if entry else self.entries
        arguments = [str(self.bin / "pumicemastctl"), "--user", user, "--entry",
                     ",".join(each["operators"] for each in selected),
                     "--origin", f"http://{self.origin}", *options, *words]
        result = subprocess.run(arguments, capture_output=True, text=True, timeout=600)
        if check and result.returncode != 0:
            raise RuntimeError(f"pumicemastctl {' '.join(words)}: exit {result.returncode}: "
                               f"{result.stderr.strip()}")
        return result

    def rows(self, query, entry=None):
        """Returns the rows of a query as dictionaries."""
        answer = self.ctl(*query.split(), entry=entry, options=("--json",))
        return json.loads(answer.stdout)["rows"]

    def machine(self, name):
        return next(machine for machine in self.machines if machine["name"] == name)

    def control(self, address, query):
        """Configures fault injection of a stand-in."""
        status, _, _ = http_call(address, "POST", f"/control?{query}")
        assert status == 200, query

    def stats(self, address):
        return json.loads(http_call(address, "GET", "/stats")[2])

    def kill(self, name):
        """Kills a process without a graceful stop, like the failure of its machine."""
        self.processes[name].kill()
