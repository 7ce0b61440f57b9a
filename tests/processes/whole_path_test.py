"""End-to-end test with real processes: publish, roll out, serve, roll back and planned stop."""

import hashlib
import json
import os
import subprocess
import unittest

import process_test
from process_test import ProcessTest, fleets, make_weights

NODE_CLIENT = """
const OpenAI = require('openai').default;
const client = new OpenAI({apiKey: 'none', baseURL: process.argv[2], maxRetries: 0});
(async () => {
  const plain = await client.chat.completions.create(
      {model: 'forms', messages: [{role: 'user', content: 'hi'}], max_tokens: 5});
  const stream = await client.chat.completions.create(
      {model: 'forms', messages: [{role: 'user', content: 'hi'}], max_tokens: 5, stream: true});
  let streamed = '';
  for await (const event of stream) streamed += event.choices[0].delta.content || '';
  const models = [];
  for await (const model of client.models.list()) models.push(model.id);
  let refusal = null;
  try {
    await client.completions.create({model: 'nothing', prompt: 'x'});
  } catch (error) {
    refusal = {status: error.status, code: error.code, name: error.constructor.name};
  }
  console.log(JSON.stringify({plain: plain.choices[0].message.content, streamed, models, refusal}));
})();
"""


class WholePathTest(ProcessTest):
    def test_whole_path(self):
        weights = self.publish("v1", 1)
        self.roll_out("v1")
        live = self.fleet.rows("show replicas where state=LIVE")
        self.assertEqual(3, len(live))
        self.check_engine_files(live, weights)
        self.check_plain_and_streamed()
        self.check_refusals()
        self.check_service_and_claims()
        self.check_public_client()
        self.check_version_change()
        self.check_planned_stop()

    def check_engine_files(self, live, weights):
        for row in live:
            backend = self.fleet.machine(row["machine"])["backend"]
            state = json.loads(fleets.http_call(backend, "GET", "/admin/state")[2])
            digest = state["serving"]["forms"]["digest"]
            for path in ("layers/0.bin", "config.json", "empty.txt"):
                held = fleets.http_call(backend, "GET", f"/admin/file?digest={digest}&path={path}")
                self.assertEqual((weights / path).read_bytes(), held[2], path)

    def check_plain_and_streamed(self):
        status, headers, body = self.request_completion(headers={"X-Request-Id": "mine"},
                                                        max_tokens=3)
        self.assertEqual((200, "mine", "completed"),
                         (status, headers["x-request-id"], headers["x-outcome"]))
        words = json.loads(body)["choices"][0]["text"].split()
        self.assertEqual(["0", "1", "2"], [word.split(":")[1] for word in words])
        status, headers, body = self.request_completion(entry=1, stream=True, max_tokens=3)
        self.assertEqual((200, "text/event-stream"), (status, headers["content-type"]))
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))
        self.assertEqual(5, body.count(b"data: "))

    def check_refusals(self):
        status, headers, body = self.request_completion(model="nothing")
        self.assertEqual((404, "not-run"), (status, headers["x-outcome"]))
        self.assertEqual("not-run", json.loads(body)["error"]["outcome"])
        for bad in ({"prompt": 1, "model": 2}, {"model": "forms"}, {"model": "forms", "prompt": "x",
                                                                     "stream": "yes"}):
            self.assertEqual(400, self.call("/v1/completions", bad)[0])
        self.assertEqual(404, self.call("/nowhere", {})[0])
        self.assertEqual(400, self.request_completion(headers={"X-Deadline-Ms": "soon"})[0])
        status, headers, _ = self.request_completion(headers={"X-Deadline-Ms": "1"}, max_tokens=500)
        self.assertEqual((504, "unknown"), (status, headers["x-outcome"]))

    def check_service_and_claims(self):
        self.fleet.ctl("set", "route", "notices", "path=/notices", "service=notices")
        self.wait_for_rows("show routes", 1)
        non_repeatable = {"X-Non-Repeatable": "true", "Idempotency-Key": "k1"}
        fleets.wait_until(lambda: self.call("/notices/send", {"n": 1})[0] == 200,
                          "the route to be applied")
        before = len(self.executions("a05"))
        status, headers, body = self.call("/notices/send", {"n": 2}, headers=non_repeatable)
        self.assertEqual((200, "completed"), (status, headers["x-outcome"]))
        self.assertEqual(json.loads(body)["body"], '{"n": 2}')
        status, headers, body = self.call("/notices/send", {"n": 2}, entry=1,
                                          headers=non_repeatable)
        self.assertEqual((409, "completed"), (status, headers["x-outcome"]))
        self.assertEqual(before + 1, len(self.executions("a05")))

    def check_public_client(self):
        folder = os.path.join(process_test.BUILD, "public-client")
        os.makedirs(folder, exist_ok=True)
        if not os.path.isdir(os.path.join(folder, "node_modules", "openai")):
            subprocess.run(["npm", "install", "--no-save", "--no-package-lock", "--no-audit",
                            "--no-fund", "--silent", "--prefix", folder, "openai@4.104.0"],
                           check=True, timeout=300)
        script = os.path.join(folder, "client.cjs")
        with open(script, "w", encoding="utf-8") as stream:
            stream.write(NODE_CLIENT)
        base = f"http://{self.fleet.entries[2]['callers']}/v1"
        result = subprocess.run(["node", script, base], capture_output=True, text=True,
                                timeout=60)
        self.assertEqual(0, result.returncode, result.stderr)
        output = json.loads(result.stdout)
        self.assertEqual(5, len(output["plain"].split()))
        self.assertEqual(output["plain"], output["streamed"])
        self.assertIn("forms", output["models"])
        self.assertEqual({"status": 404, "code": "model_not_found", "name": "NotFoundError"},
                         output["refusal"])

    def check_version_change(self):
        self.publish("v2", 2)
        tag = self.tag()
        self.roll_out("v2", max_unavailable=1)
        second = self.tag()
        self.assertNotEqual(tag, second)
        self.fleet.ctl("rollback", "rollout", "forms")
        self.wait_for_rows("show rollouts where version=v1", 1)
        self.fleet.ctl("watch", "rollout", "forms")
        self.assertEqual(tag, self.tag())

    def tag(self):
        """The tag of the serving weights in completions; all replicas must return the same."""
        tags = set()
        for entry in range(3):
            status, _, body = self.request_completion(entry=entry, max_tokens=1)
            self.assertEqual(200, status, body)
            tags.add(json.loads(body)["choices"][0]["text"].split(":")[0])
        self.assertEqual(1, len(tags))
        return tags.pop()

    def check_planned_stop(self):
        machine = self.fleet.rows("show replicas where state=LIVE")[0]["machine"]
        self.fleet.ctl("plan", "stop", machine)
        fleets.wait_until(lambda: self.fleet.rows("show stops")[0]["state"] == "DRAINED",
                          "the planned stop to drain the machine")
        fleets.wait_until(lambda: not [row for row in self.fleet.rows("show replicas")
                                       if row["machine"] == machine],
                          "the drained replica to be removed")
        before = len(self.executions(machine))
        for _ in range(12):
            self.assertEqual(200, self.request_completion(max_tokens=1)[0])
        self.assertEqual(before, len(self.executions(machine)))
        self.fleet.ctl("cancel", "stop", machine)


class SettingsRefusalTest(unittest.TestCase):
    """Every program rejects invalid settings: prints all findings, exits with 2, starts nothing."""

    def test_every_binary(self):
        import tempfile
        with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
            file.write("[listen]\nhttp=nowhere\n[load]\nrequests_per_second=-1\n[wrong]\nkey=1\n"
                       "[standin]\nrole=\n[network]\nduplex=both\n")
            file.flush()
            for program, arguments in {
                    "pumicemast-entry": ["--settings", file.name],
                    "pumicemast-agent": ["--settings", file.name],
                    "pumicemast-standin": ["--settings", file.name],
                    "pumicemast-load": ["--settings", file.name],
                    "pumicemast-experiment": ["run", file.name],
                    "pumicemast-plan": [file.name]}.items():
                result = subprocess.run([f"{process_test.BUILD}/bin/{program}", *arguments],
                                        capture_output=True, text=True, timeout=10,
                                        cwd=process_test.ROOT)
                self.assertEqual(2, result.returncode, program)
                self.assertRegex(result.stderr, r"\d+ findings; nothing was started\n$", program)
                self.assertIn(f"{file.name}:6: [wrong] key: unknown key", result.stderr, program)
                help_result = subprocess.run([f"{process_test.BUILD}/bin/{program}", "--help"],
                                        capture_output=True, text=True, timeout=10)
                self.assertEqual(0, help_result.returncode, program)
                self.assertIn("example", help_result.stdout, program)


if __name__ == "__main__":
    process_test.main()
