"""Demo on real processes: publishes a model, rolls it out and replaces it under load, with one
planned stop and one agent killed during a transfer. Prints lines `figure NAME VALUE UNIT`."""

import argparse
import hashlib
import pathlib
import random
import re
import subprocess
import sys
import tempfile
import time
import urllib.parse

import fleet as fleets

WEIGHT_FILES = {"model-00001-of-00002.bin": 40 << 20, "model-00002-of-00002.bin": 20 << 20,
                "tokenizer/vocabulary.bin": 3 << 20, "config.json": 700}
CHUNK_BYTES = 1 << 20
#: In this time, in seconds, an agent's link carries the model twice, the origin's four times.
LINK_TIME_S = 12
REPLICAS = 8
MINIMUM_LIVE_REPLICAS = 5


def make_weights(folder, seed):
    """Fills a directory with pseudo-random weight files from a seed."""
    generator = random.Random(seed)
    for name, size in WEIGHT_FILES.items():
        path = folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(generator.randbytes(size))
    return folder


def make_next_version(first, folder):
    """Links the files of the first version and adds one: versions share most of their chunks."""
    for path in sorted(first.rglob("*")):
        target = folder / path.relative_to(first)
        if path.is_dir():
            target.mkdir(parents=True, exist_ok=True)
        else:
            target.parent.mkdir(parents=True, exist_ok=True)
            target.symlink_to(path.resolve())
    size = sum(path.stat().st_size for path in first.rglob("*") if path.is_file())
    (folder / "adapter-v2.bin").write_bytes(random.Random(2).randbytes(max(1, size // 2)))
    return folder


def total_bytes(folder):
    return sum(path.stat().st_size for path in folder.rglob("*") if path.is_file())


def verify_engine_files(fleet, rows, digest, folder):
    """Reads every file back from every engine; returns the number of files that differ."""
    mismatches = 0
    for row in rows:
        backend = fleet.machine(row["machine"])["backend"]
        for path in sorted(folder.rglob("*")):
            if not path.is_file() or path.stat().st_size == 0:
                continue
            name = path.relative_to(folder).as_posix()
            status, _, body = fleets.http_call(
                backend, "GET", f"/admin/file?digest={digest}&path={urllib.parse.quote(name)}")
            expected = hashlib.sha256(path.read_bytes()).digest()
            if status != 200 or hashlib.sha256(body).digest() != expected:
                mismatches += 1
    return mismatches


def metric(fleet, machine, name):
    """Returns the sum of one metric of an agent over all its labels."""
    text = fleets.http_call(fleet.machine(machine)["http"], "GET", "/metrics")[2].decode()
    return sum(float(value) for value in
               re.findall(rf"^{re.escape(name)}(?:{{[^}}]*}})? (\S+)$", text, re.MULTILINE))


def start_load(fleet, folder):
    settings = {
        "load": {"entries": ";".join(entry["callers"] for entry in fleet.entries),
                 "model": "forms", "service_path": "/notices/send", "tenants": 3,
                 "requests_per_second": 60, "duration_ms": 120000,
                 "history": folder / "history.jsonl"},
        "journals": {"urls": ";".join(f"http://{machine['backend']}"
                                      for machine in fleet.machines)}}
    path = fleets.write_ini(folder / "load.ini", settings)
    return subprocess.Popen([str(fleet.bin / "pumicemast-load"), "--settings", str(path)],
                            stdout=subprocess.PIPE, text=True)


def roll_out(fleet, version, during_rollout=None):
    """Creates a rollout and waits for its end; returns the seconds until all replicas were live."""
    started = time.monotonic()
    fleet.ctl("create", "rollout", "forms", version, "max_unavailable=3")
    if during_rollout:
        during_rollout()
    fleet.ctl("watch", "rollout", "forms")
    return time.monotonic() - started


def kill_agent_during_transfer(fleet, stopping):
    def find_fetching_agent():
        for row in fleet.rows("show replicas where version=v2 and state=FETCHING"):
            verified, count = map(int, row["chunks"].split("/"))
            if 0 < verified < count and row["machine"] != stopping:
                return row["machine"]
        return None
    fleets.wait_until(find_fetching_agent, "an agent with a transfer in progress")
    victim = find_fetching_agent()
    if victim:
        fleet.kill(victim)
    return victim


def perform_planned_stop(fleet, machine):
    """Plans a stop under load and waits until the machine is drained.

    Returns the number of requests that the stop cancelled or left unfinished.
    """
    fleet.ctl("plan", "stop", machine)
    fleets.wait_until(lambda: fleet.rows(f"show stops where machine={machine}")[0]["state"]
                      == "DRAINED", f"the stop of {machine}")
    cancelled = metric(fleet, machine, "pumicemast_agent_requests_cancelled_total")
    text = fleets.http_call(fleet.machine(machine)["http"], "GET", "/metrics")[2].decode()
    unfinished = re.search(
        r'^pumicemast_agent_requests_finished_total{whole="no"} (\S+)$', text, re.MULTILINE)
    return cancelled + (float(unfinished.group(1)) if unfinished else 0)


def run(arguments, folder):
    first = pathlib.Path(arguments.weights).resolve() if arguments.weights \
        else make_weights(folder / "v1", 1)
    second = make_next_version(first, folder / "v2")
    size = total_bytes(first)
    figures = {}
    with fleets.Fleet(folder / "run", arguments.build, zones=3, entries=6, engines=10, services=2,
                      origin_bytes_per_second=max(4 * size // LINK_TIME_S, 1 << 20),
                      link_bytes_per_second=max(2 * size // LINK_TIME_S, 1 << 20),
                      engine={"memory_bytes": 8 * size + (64 << 20)}) as fleet:
        chunk = ("--chunk-bytes", str(CHUNK_BYTES))
        fleet.ctl("publish", "forms", "v1", str(first), options=chunk)
        fleet.ctl("set", "target", "forms", f"replicas={REPLICAS}",
                  f"floor={MINIMUM_LIVE_REPLICAS}")
        fleet.ctl("set", "route", "notices", "path=/notices", "service=notices")
        for tenant in range(3):
            fleet.ctl("set", "tenant", f"tenant-{tenant}", "rate=600", "burst=600")
        fleets.wait_until(lambda: len(fleet.rows("show targets")) == 1
                          and len(fleet.rows("show versions")) == 1, "the target")

        figures["time_to_all_live"] = (roll_out(fleet, "v1"), "s")
        digest_rows = fleet.rows("show versions where version=v1")
        origin = fleet.stats(fleet.origin)["chunk_bytes_out"]
        figures["origin_copies"] = (origin / size, "copies")
        live = fleet.rows("show replicas where version=v1 and state=LIVE")
        digest = full_digest(fleet, live[0]["machine"], "v1")
        assert digest.startswith(digest_rows[0]["digest"])
        figures["engine_files_wrong"] = (verify_engine_files(fleet, live, digest, first), "files")

        load = start_load(fleet, folder)
        fleet.ctl("publish", "forms", "v2", str(second), options=chunk)
        fleets.wait_until(lambda: len(fleet.rows("show versions")) == 2, "the second version")
        stopping = live[0]["machine"]
        killed = []
        figures["time_to_all_live_v2"] = (
            roll_out(fleet, "v2",
                     lambda: killed.append(kill_agent_during_transfer(fleet, stopping))),
            "s")
        figures["stop_cut_off"] = (perform_planned_stop(fleet, stopping), "requests")
        load.terminate()
        load_output = load.communicate(timeout=90)[0]

        print(f"\nkilled during its transfer: {killed[0]}; planned stop: {stopping}\n")
        print(fleet.ctl("show", "rollouts").stdout)
        print(fleet.ctl("show", "replicas").stdout)
        print(fleet.ctl("show", "machines").stdout)
    for name, (value, unit) in figures.items():
        print(f"figure {name} {value:.3f} {unit}")
    print(load_output, end="")
    failures = [
        line for line in load_output.splitlines()
        if re.match(r"figure (answers_(lost|doubled|mixed|foreign)|refused_not_run_but_ran) ", line)
        and not line.split()[2] == "0"]
    if figures["stop_cut_off"][0] or figures["engine_files_wrong"][0]:
        failures.append("a planned stop interrupted requests, or an engine's files differ")
    return failures


def full_digest(fleet, machine, version):
    """Returns the full digest of a version that an engine serves."""
    import json
    state = json.loads(fleets.http_call(fleet.machine(machine)["backend"], "GET",
                                        "/admin/state")[2])
    return next(serving["digest"] for serving in state["serving"].values()
                if serving["version"] == version)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--weights", help="publish this directory instead of generated files")
    parser.add_argument("--keep", help="keep settings, logs and the history in this folder")
    arguments = parser.parse_args()
    if arguments.keep:
        failures = run(arguments, pathlib.Path(arguments.keep))
    else:
        with tempfile.TemporaryDirectory(prefix="pumicemast-") as folder:
            failures = run(arguments, pathlib.Path(folder))
    for line in failures:
        print(f"check failed: {line}", file=sys.stderr)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
