"""Benchmarks of real processes; they print lines `figure NAME VALUE UNIT`.

burst: distributes one model to every agent over rate-limited links; compares the time with the
       lower bound of a fluid model.
scale: one real entry with a growing number of hollow agents, which hold no weights and run nothing;
       gives the slopes in docs/CAPACITY.md.
"""

import argparse
import os
import pathlib
import random
import sys
import tempfile
import threading
import time

import fleet as fleets

MEBIBYTE = 1 << 20
GIBIBYTE = 1 << 30
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_bytes(pid):
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def fluid_bound_s(machines, size, origin_rate, link_rate):
    """Lower bound on the time until every machine holds the model, in a fluid model.

    Every machine receives the whole model; machines send each other what the origin does not send.
    """
    return max(size / link_rate, size / origin_rate,
               machines * size / (origin_rate + machines * link_rate))


class Sampler(threading.Thread):
    """Samples the agents' peak resident memory every 0.2 s while a rollout runs."""

    def __init__(self, fleet, agents):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.agents = agents
        self.peak_resident = 0
        self.stopping = threading.Event()

    def run(self):
        while not self.stopping.wait(0.2):
            for name in self.agents:
                pid = self.fleet.processes[name].popen.pid
                self.peak_resident = max(self.peak_resident, resident_bytes(pid))


def times_to_live(fleet, agents, started):
    """Seconds from `started` until each replica was live, from the agents' logs."""
    import datetime
    times = []
    for name in agents:
        for line in fleet.processes[name].log.read_text().splitlines():
            if "->LIVE" in line:
                stamp = datetime.datetime.strptime(line.split()[0], "%Y-%m-%dT%H:%M:%S.%f")
                times.append(stamp.timestamp() - started)
    return sorted(times)


def burst(arguments):
    size = arguments.model_mib * MEBIBYTE
    link_rate = 2 * size / arguments.allowed_s
    origin_rate = 4 * size / arguments.allowed_s
    agents = [f"a{index + 1:02d}" for index in range(arguments.agents)]
    with tempfile.TemporaryDirectory(prefix="pumicemast-") as name:
        folder = pathlib.Path(name)
        weights = folder / "weights"
        weights.mkdir()
        generator = random.Random(arguments.seed)
        with open(weights / "model.bin", "wb") as model:
            for _ in range(arguments.model_mib):
                model.write(generator.randbytes(MEBIBYTE))
        with fleets.Fleet(folder / "run", arguments.build, zones=3, entries=3,
                          engines=arguments.agents, services=0,
                          origin_bytes_per_second=int(origin_rate),
                          link_bytes_per_second=int(link_rate),
                          engine={"memory_bytes": 3 * size}) as fleet:
            fleet.ctl("publish", "forms", "v1", str(weights),
                      options=("--chunk-bytes", str(arguments.chunk_kib * 1024)))
            fleet.ctl("set", "target", "forms", f"replicas={arguments.agents}")
            fleets.wait_until(lambda: fleet.rows("show targets") and fleet.rows("show versions"),
                              "the target")
            before = {agent: cpu_seconds(fleet.processes[agent].popen.pid) for agent in agents}
            sampler = Sampler(fleet, agents)
            sampler.start()
            started = time.time()
            fleet.ctl("create", "rollout", "forms", "v1", f"objective={arguments.objective}")
            fleet.ctl("watch", "rollout", "forms",
                      options=("--timeout-ms", str(int(arguments.allowed_s * 5000))))
            sampler.stopping.set()
            sampler.join()
            cpu = sum(cpu_seconds(fleet.processes[agent].popen.pid) - before[agent]
                      for agent in agents)
            times = times_to_live(fleet, agents, started)
            rows = fleet.rows("show machines")
            origin = fleet.stats(fleet.origin)["chunk_bytes_out"]
    bound = fluid_bound_s(arguments.agents, size, origin_rate, link_rate)
    received_bytes = sum(int(row["origin_bytes"]) + int(row["peer_bytes"]) for row in rows)
    peer_bytes = sum(int(row["peer_bytes"]) for row in rows)
    figures = [
        ("agents", arguments.agents, "agents"), ("replicas_live", len(times), "replicas"),
        ("bound", bound, "s"), ("time_to_half_live", times[len(times) // 2 - 1], "s"),
        ("time_to_all_live", times[-1], "s"), ("time_to_all_live_ratio", times[-1] / bound, "x"),
        ("origin_copies", origin / size, "copies"),
        ("duplicate_bytes_ratio", received_bytes / (arguments.agents * size) - 1, "x"),
        ("agent_cpu_seconds_per_gib", cpu / ((received_bytes + peer_bytes) / GIBIBYTE), "s/GiB"),
        ("agent_peak_resident", sampler.peak_resident / MEBIBYTE, "MiB")]
    for name, value, unit in figures:
        print(f"figure {name} {value:.4g} {unit}")
    return 0 if len(times) == arguments.agents else 1


def start_hollow_process(fleet, name, agents, first, zones):
    path = fleets.write_ini(fleet.folder / f"{name}.ini", {
        "hollow": {"entries": ";".join(entry["agents"] for entry in fleet.entries),
                   "agents": agents, "first_number": first, "zones": zones}})
    return fleets.Process(name, [str(fleet.bin / "pumicemast-hollow"), "--settings", str(path)],
                          fleet.folder)


def read_figure(process, name):
    for line in process.log.read_text().splitlines():
        if line.startswith(f"figure {name} "):
            return float(line.split()[2])
    raise ValueError(f"{process.name} printed no figure {name}")


def measure_entry_usage(fleet, pid, seconds):
    """Returns CPU use in cores over `seconds` of steady state, and resident bytes."""
    before = cpu_seconds(pid)
    time.sleep(seconds)
    return (cpu_seconds(pid) - before) / seconds, resident_bytes(pid)


def measure_scale_step(arguments, folder, count):
    """Measures one real entry that `count` hollow agents are connected to."""
    with fleets.Fleet(folder / str(count), arguments.build, zones=1, entries=1, engines=0,
                      services=0) as fleet:
        pid = fleet.processes["e1"].popen.pid
        hollow = [start_hollow_process(fleet, f"hollow-{first}",
                                       min(arguments.agents_per_process, count - first), first, 8)
                  for first in range(0, count, arguments.agents_per_process)]
        try:
            fleets.wait_until(lambda: len(fleet.rows("show machines where state=SERVING"))
                              == count, f"{count} hollow agents")
            cpu, resident = measure_entry_usage(fleet, pid, arguments.seconds)
            print(f"figure entry_cpu_at_{count}_agents {cpu:.4f} cores")
            print(f"figure entry_resident_at_{count}_agents {resident / MEBIBYTE:.1f} MiB")
            if count == 0:
                return
            replicas = min(330, count)
            fleet.ctl("create", "version", "forms", "v1", "digest=" + "a" * 64, "bytes=1000",
                      "chunks=1")
            fleet.ctl("set", "target", "forms", f"replicas={replicas}")
            started = time.monotonic()
            cpu_start = cpu_seconds(pid)
            fleet.ctl("create", "rollout", "forms", "v1")
            fleet.ctl("watch", "rollout", "forms")
            elapsed = time.monotonic() - started
            print(f"figure rollout_of_{replicas}_at_{count}_agents {elapsed:.2f} s")
            print(f"figure rollout_cpu_at_{count}_agents {cpu_seconds(pid) - cpu_start:.2f} s")
        finally:
            for process in hollow:
                process.stop()
            for process in hollow:
                process.wait()
        total = {name: sum(read_figure(process, name) for process in hollow)
                 for name in ("statuses_sent", "status_bytes_sent", "assignments_received",
                              "assignment_bytes_received")}
        print(f"figure status_bytes_at_{count}_agents "
              f"{total['status_bytes_sent'] / total['statuses_sent']:.0f} bytes/message")
        print(f"figure assignment_bytes_at_{count}_agents "
              f"{total['assignment_bytes_received'] / total['assignments_received']:.0f} "
              f"bytes/message")
        print(f"figure assignments_at_{count}_agents {total['assignments_received']:.0f} messages")


def scale(arguments):
    with tempfile.TemporaryDirectory(prefix="pumicemast-") as folder:
        for count in map(int, arguments.agents.split(",")):
            measure_scale_step(arguments, pathlib.Path(folder), count)
    return 0


def main():
    parser = argparse.ArgumentParser(prog="scripts/bench", description=__doc__)
    parser.add_argument("--build", default="build", help=argparse.SUPPRESS)
    commands = parser.add_subparsers(dest="command", required=True)
    burst_parser = commands.add_parser("burst", help="distribute one model to every agent")
    burst_parser.add_argument("--agents", type=int, default=24)
    burst_parser.add_argument("--model-mib", type=int, default=256)
    burst_parser.add_argument("--chunk-kib", type=int, default=1024)
    burst_parser.add_argument("--allowed-s", type=float, default=60,
                              help="seconds for two model copies on a link, four from the origin")
    burst_parser.add_argument("--objective", choices=("time", "origin_bytes"), default="time")
    burst_parser.add_argument("--seed", type=int, default=1)
    scale_parser = commands.add_parser("scale", help="one entry with hollow agents")
    scale_parser.add_argument("--agents", default="0,250,500,1000,2000",
                              help="numbers of hollow agents to measure")
    scale_parser.add_argument("--agents-per-process", type=int, default=500)
    scale_parser.add_argument("--seconds", type=float, default=10)
    arguments = parser.parse_args()
    return {"burst": burst, "scale": scale}[arguments.command](arguments)


if __name__ == "__main__":
    sys.exit(main())
