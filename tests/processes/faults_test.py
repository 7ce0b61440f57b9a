"""Invariants under failures: killed and frozen processes, stopping entries, platform outages, lost
responses, malformed frames and concurrent operators. Many tests run a load generator meanwhile and
check its history against the journals of the back ends."""

import json
import os
import re
import signal
import socket
import subprocess
import threading
import time
import unittest

import process_test
from process_test import ProcessTest, fleets


def exchange_once(connection):
    """Sends a request for an unknown model and reads until the connection closes.

    Returns the bytes that were read, followed by the error if there was one.
    """
    body = b'{"model": "nobody", "prompt": "hi"}'
    head = (f"POST /v1/completions HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n").encode()
    response = b""
    try:
        connection.sendall(head + body)
        while received := connection.recv(65536):
            response += received
    except OSError as error:
        return response + repr(error).encode()
    return response


class FaultTest(ProcessTest):
    fleet_options = {"entry": {"lease": {"ttl_ms": 2000, "renew_ms": 500, "margin_ms": 300},
                               "control": {"replace_after_ms": 3000},
                               "membership": {"silence_ms": 1500}}}

    def start_load(self, **options):
        settings = {
            "load": {"entries": ";".join(entry["callers"] for entry in self.fleet.entries),
                     "model": "forms", "service_path": "/notices/send",
                     "requests_per_second": 40, "duration_ms": 120000,
                     "repeated_key_share": 0.3,
                     "history": self.folder / "history.jsonl", **options},
            "journals": {"urls": ";".join(f"http://{machine['backend']}"
                                          for machine in self.fleet.machines)}}
        path = fleets.write_ini(self.folder / "load.ini", settings)
        load = subprocess.Popen([f"{process_test.BUILD}/bin/pumicemast-load", "--settings",
                                 str(path)], stdout=subprocess.PIPE, text=True)
        self.addCleanup(load.stdout.close)
        self.addCleanup(load.kill)
        return load

    def finish_load(self, load, minimum_complete=50):
        """Stops the load and checks the invariants that hold under every failure."""
        load.terminate()
        output = load.communicate(timeout=90)[0]
        figures = {name: float(value) for name, value
                   in re.findall(r"^figure (\S+) (\S+) ", output, re.MULTILINE)}
        for name in ("answers_lost", "answers_mixed", "answers_foreign", "answers_doubled",
                     "refused_not_run_but_ran"):
            self.assertEqual(0, figures[name], output)
        self.assertGreaterEqual(figures["answers_whole"], minimum_complete, output)
        return figures

    def serve(self, replicas=3, floor=1):
        self.fleet.ctl("set", "route", "notices", "path=/notices", "service=notices")
        self.publish("v1", 1)
        self.roll_out("v1", replicas, floor)
        for entry in range(len(self.fleet.entries)):
            fleets.wait_until(lambda: self.request_completion(entry=entry, max_tokens=1)[0] == 200,
                              f"entry {entry} to serve")
            fleets.wait_until(lambda: self.call("/notices/ping", {}, entry)[0] == 200,
                              f"entry {entry} to route")

    def wait_for_completed(self, count):
        """Waits until the metrics of the entries count that many more completed requests."""
        def completed():
            total = 0
            for entry in self.fleet.entries:
                try:
                    text = fleets.http_call(entry["operators"], "GET", "/metrics")[2].decode()
                except OSError:
                    continue
                total += sum(map(float, re.findall(
                    r'^pumicemast_entry_requests_total{outcome="completed".*} (\S+)$', text,
                    re.MULTILINE)))
            return total
        before = completed()
        fleets.wait_until(lambda: completed() >= before + count, f"{count} completed requests")

    def controller(self):
        """Name of the entry that holds the lease.

        The queried entry may not know it yet: it reads the lease only once per third of its TTL.
        """
        def known():
            status = {row["field"]: row["value"] for row in self.fleet.rows("show status")}
            return status["controller"].split("/")[0]
        fleets.wait_until(lambda: known() != "", "the controller to be known")
        return known()

    def test_a_platform_outage_does_not_stop_serving_or_transfers(self):
        self.serve()
        self.publish("v2", 2)
        load = self.start_load(service_share=0)
        self.wait_for_completed(20)
        self.fleet.ctl("create", "rollout", "forms", "v2", "max_unavailable=1")
        self.wait_for_rows("show rollouts where version=v2", 1)
        self.fleet.control(self.fleet.object_api, "outage_ms=6000&silent=1")
        self.wait_for_completed(60)
        refused = self.fleet.ctl("set", "target", "forms", "replicas=4", check=False)
        self.assertIn(refused.returncode, (5, 6), refused.stderr)
        self.fleet.ctl("watch", "rollout", "forms")
        figures = self.finish_load(load)
        self.assertEqual(0, figures["outcome_unknown"])

    def test_non_repeatable_requests_are_refused_without_the_platform(self):
        self.serve()
        self.fleet.control(self.fleet.object_api, "outage_ms=3000")
        before = len(self.executions("a05"))
        status, headers, body = self.call(
            "/notices/send", {"key": "k"},
            headers={"X-Non-Repeatable": "true", "Idempotency-Key": "k"})
        self.assertEqual((503, "not-run"), (status, headers["x-outcome"]), body)
        self.assertIn("retry-after", headers)
        self.assertEqual(before, len(self.executions("a05")))

    def test_a_call_whose_response_is_lost_runs_once(self):
        self.serve()
        service = self.fleet.machine("a05")["backend"]
        non_repeatable = {"X-Non-Repeatable": "true"}
        for method in ("POST", "PUT", "DELETE"):
            # The first call leaves a keep-alive connection open; an HTTP library may resend a
            # request by itself on a reused connection.
            host = self.fleet.entries[0]["callers"]
            fleets.http_call(host, method, "/notices/warm", b"{}")
            before = len(self.executions("a05"))
            self.fleet.control(service, "drop_answers=1")
            status, headers, _ = fleets.http_call(host, method, "/notices/send", b"{}",
                                                  non_repeatable)
            self.assertEqual((502, "unknown"), (status, headers["X-Outcome"]), method)
            self.assertEqual(before + 1, len(self.executions("a05")), method)

    def test_lost_platform_responses(self):
        self.fleet.control(self.fleet.object_api, "lost_answers=0.3")
        self.serve()
        load = self.start_load()
        self.publish("v2", 2)
        self.roll_out("v2", max_unavailable=1)
        self.wait_for_completed(40)
        self.finish_load(load)

    def test_an_engine_and_an_agent_are_killed_under_load(self):
        self.serve()
        load = self.start_load()
        self.wait_for_completed(20)
        first, second = [row["machine"] for row in
                         self.fleet.rows("show replicas where state=LIVE")][:2]
        self.fleet.kill(first)
        self.wait_for_completed(40)
        self.fleet.kill(f"{second}-backend")
        self.wait_for_completed(40)
        self.finish_load(load)

    def test_a_frozen_agent_gets_no_new_work(self):
        self.serve()
        load = self.start_load(service_share=0)
        self.wait_for_completed(20)
        machine = self.fleet.rows("show replicas where state=LIVE")[0]["machine"]
        os.kill(self.fleet.processes[machine].popen.pid, signal.SIGSTOP)
        try:
            fleets.wait_until(
                lambda: all(self.fleet.rows(f"show machines where machine={machine}", entry)[0]
                            ["state"] in ("SILENT", "LOST") for entry in self.fleet.entries),
                "all entries to detect the frozen agent")
            self.wait_for_completed(60)
        finally:
            os.kill(self.fleet.processes[machine].popen.pid, signal.SIGCONT)
        self.finish_load(load)

    def test_a_frozen_controller_is_replaced_and_reverts_nothing(self):
        self.serve(replicas=2, floor=1)
        frozen = self.controller()
        process = self.fleet.processes[frozen].popen
        others = [entry for entry in self.fleet.entries if entry["name"] != frozen]
        os.kill(process.pid, signal.SIGSTOP)
        try:
            self.fleet.ctl("set", "target", "forms", "replicas=4", "floor=1", entry=others[0])
            fleets.wait_until(lambda: len(self.fleet.rows("show replicas where state=LIVE",
                                                          others[0])) == 4, "a new controller")
        finally:
            os.kill(process.pid, signal.SIGCONT)
        resumed = next(entry for entry in self.fleet.entries if entry["name"] == frozen)
        fleets.wait_until(lambda: self.fleet.rows("show targets", resumed)[0]["replicas"] == "4",
                          "the resumed entry to catch up")
        self.fleet.ctl("set", "tenant", "probe", "rate=1")  # A change after it resumed.
        self.wait_for_rows("show tenants", 1)
        for entry in self.fleet.entries:
            self.assertEqual(4, len(self.fleet.rows("show replicas where state=LIVE", entry)))

    def test_concurrent_operator_changes_conflict(self):
        self.serve()
        results = []
        version = self.fleet.rows("show targets")[0]["object"]

        def change(user, replicas, entry):
            results.append((user, self.fleet.ctl(
                "set", "target", "forms", f"replicas={replicas}", f"expect={version}",
                user=user, entry=self.fleet.entries[entry], check=False)))

        threads = [threading.Thread(target=change, args=(f"user{index}", index + 1, index % 3))
                   for index in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        codes = sorted(result.returncode for _, result in results)
        self.assertEqual([0, 3, 3, 3, 3, 3], codes)
        for _, result in results:
            if result.returncode == 3:
                self.assertRegex(result.stderr, r"conflict: .*expected version \d+, but version")

    def test_an_entry_drains_and_another_takes_over(self):
        self.serve()
        load = self.start_load(service_share=0)
        self.wait_for_completed(20)
        name = self.controller()
        self.fleet.processes[name].stop()
        self.assertEqual(0, self.fleet.processes[name].wait())
        remaining = [entry for entry in self.fleet.entries if entry["name"] != name]
        fleets.wait_until(lambda: self.fleet.rows("show status", remaining[0]) and
                          {row["field"]: row["value"] for row in
                           self.fleet.rows("show status", remaining[0])}["controller"]
                          .split("/")[0] != name, "another controller")
        self.finish_load(load)

    def test_a_stopping_entry_answers_or_refuses_every_call(self):
        """Callers send one request after the other while each entry in turn is stopped.

        Each request gets a complete response, or its connection is refused before it is sent.
        """
        broken = []
        answered_count = [0]

        def keep_calling(host, port):
            while True:
                try:
                    connection = socket.create_connection((host, port), timeout=30)
                except ConnectionRefusedError:
                    return
                with connection:
                    response = exchange_once(connection)
                if response.startswith(b"HTTP/1.1 ") and response.endswith(b"}"):
                    answered_count[0] += 1
                else:
                    broken.append(response)

        for entry in self.fleet.entries:
            host, port = entry["callers"].split(":")
            threads = [threading.Thread(target=keep_calling, args=(host, int(port)))
                       for _ in range(8)]
            for thread in threads:
                thread.start()
            time.sleep(0.2)
            process = self.fleet.processes[entry["name"]]
            process.stop()
            self.assertEqual(0, process.wait())
            for thread in threads:
                thread.join()
        self.assertEqual([], broken)
        self.assertGreater(answered_count[0], 100)

    def test_a_restarted_agent_recovers_weights_from_its_engine(self):
        self.serve()
        row = self.fleet.rows("show replicas where state=LIVE")[0]
        origin_bytes = self.fleet.stats(self.fleet.origin)["chunk_bytes_out"]
        self.fleet.kill(row["machine"])
        self.fleet.start_process(row["machine"])
        fleets.wait_until(lambda: [each for each in self.fleet.rows(
            "show replicas where state=LIVE") if each["machine"] == row["machine"]],
            "the restarted agent to serve")
        self.assertEqual(origin_bytes, self.fleet.stats(self.fleet.origin)["chunk_bytes_out"])

    def test_malformed_frames_close_only_their_connection(self):
        import struct
        self.serve()
        targets = [self.fleet.entries[0]["agents"], self.fleet.machines[0]["swarm"]]
        payloads = [struct.pack("<I", 0x7fffffff), struct.pack("<I", 8) + b"\xff" * 8,
                    b"GET / HTTP/1.0\r\n\r\n", struct.pack("<I", 100) + b"torn"]
        for target in targets:
            for payload in payloads:
                host, port = target.split(":")
                with socket.create_connection((host, int(port)), timeout=5) as connection:
                    connection.sendall(payload)
        fleets.wait_until(lambda: b'pumicemast_entry_bad_frames_total{reason="oversize frame"}' in
                          fleets.http_call(self.fleet.entries[0]["operators"], "GET",
                                           "/metrics")[2], "the count of the oversize frame")
        self.assertEqual(200, self.request_completion(max_tokens=1)[0])
        for process in self.fleet.processes.values():
            self.assertTrue(process.alive(), process.name)


if __name__ == "__main__":
    process_test.main()
