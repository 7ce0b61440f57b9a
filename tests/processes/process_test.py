"""Shared base of the tests with real processes: a small fleet and operations on it."""

import json
import pathlib
import random
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import fleet as fleets  # noqa: E402  (importable only after the path is set)

BUILD = None  # Set by main().
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"


def known_failures():
    """Names of the tests listed as known to fail, as `module.Class.test`."""
    if not KNOWN_FAILURES_FILE.exists():
        return set()
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return {line.split(":", 1)[0].strip() for line in lines if line.strip()}


def make_weights(folder, seed, size=3 << 20):
    generator = random.Random(seed)
    (folder / "layers").mkdir(parents=True, exist_ok=True)
    (folder / "layers" / "0.bin").write_bytes(generator.randbytes(size))
    (folder / "config.json").write_text(json.dumps({"seed": seed}))
    (folder / "empty.txt").write_text("")
    return folder


class ProcessTest(unittest.TestCase):
    """Starts a fleet of real processes; `fleet_options` are passed to Fleet."""

    fleet_options = {}

    def setUp(self):
        module = pathlib.Path(sys.argv[0]).stem
        if f"{module}.{type(self).__name__}.{self._testMethodName}" in known_failures():
            self.skipTest("listed in KNOWN-RED.txt")
        self.folder_handle = tempfile.TemporaryDirectory(prefix="pumicemast-")
        self.addCleanup(self.folder_handle.cleanup)
        self.folder = pathlib.Path(self.folder_handle.name)
        options = {"zones": 3, "entries": 3, "engines": 4, "services": 1, **self.fleet_options}
        self.fleet = fleets.Fleet(self.folder / "run", BUILD, **options)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def publish(self, version, seed):
        weights = make_weights(self.folder / version, seed)
        self.fleet.ctl("publish", "forms", version, str(weights),
                       options=("--chunk-bytes", "262144"))
        self.wait_for_rows(f"show versions where version={version}", 1)
        return weights

    def wait_for_rows(self, query, count):
        fleets.wait_until(lambda: len(self.fleet.rows(query)) == count, f"{count} of: {query}")

    def roll_out(self, version, replicas=3, floor=1, **options):
        if not self.fleet.rows("show targets"):
            self.fleet.ctl("set", "target", "forms", f"replicas={replicas}", f"floor={floor}")
            self.wait_for_rows("show targets", 1)
        self.fleet.ctl("create", "rollout", "forms", version,
                       *(f"{key}={value}" for key, value in options.items()))
        # The entry that serves the next command may not have read the new rollout yet.
        self.wait_for_rows(f"show rollouts where version={version}", 1)
        self.fleet.ctl("watch", "rollout", "forms")

    def call(self, path, body, entry=0, headers=None, timeout=30):
        """Sends a request as a caller; returns (status, headers with lower-case names, body)."""
        status, response_headers, response = fleets.http_call(
            self.fleet.entries[entry]["callers"], "POST", path, json.dumps(body),
            {"Content-Type": "application/json", **(headers or {})}, timeout)
        return status, {key.lower(): value for key, value in response_headers.items()}, response

    def request_completion(self, entry=0, headers=None, **body):
        return self.call("/v1/completions", {"model": "forms", "prompt": "hi", **body}, entry,
                         headers)

    def executions(self, machine):
        address = self.fleet.machine(machine)["backend"]
        return json.loads(fleets.http_call(address, "GET", "/executions")[2])["executions"]


def main():
    """Runs the tests of the main module; the first argument is the build folder."""
    global BUILD
    BUILD = str(pathlib.Path(sys.argv.pop(1)).resolve())
    unittest.main(module="__main__", verbosity=2)
