"""Back ends of the soak: they report requests to the checks; engines can have faults.

An engine stand-in follows the protocol: a start order activates the chunks that are staged when the
order is taken. The engine finishes its running requests first and accepts no new ones until it
serves the new weights.
"""

import asyncio
import time

from platform_standin import Backend, send_response, chunk_content

CHANGEOVER_S = 0.1  # Same as `warmS` in the stand-in's configuration.
MAX_ORDER_DELAY_S = 12.0  # Engines have carried out unanswered orders 2.7 to 12 s later.
MAX_ORDER_RESPONSE_S = 2.0  # Longer than an agent waits for the response to an order (0.5 s).
CRASHING_TARGET = "/chat/killer-"  # Requests with this prefix crash the engine that starts them.
MAX_TIMELINE_EVENTS = 400  # Enough for the chunks and orders of ten versions.


class SoakBackend(Backend):
    """Responds with the request's id and reports the start of each request to the checks."""

    def __init__(self, checks, service, *arguments):
        super().__init__(*arguments)
        self.checks = checks
        self.service = service
        self.draining_since = None
        self.down = False
        self.limit = None  # Requests per second accepted from all gateways together.
        self.announced_at = None  # When it first said in a response that it is leaving.

    async def restart(self):
        """Starts another incarnation at the same address."""
        self.identity += "x"

    async def run(self, writer, method, target, headers):
        self.checks.on_arrival(self.service, headers.get("x-pumicemast-request-id", ""))
        self.checks.on_limited_arrival(self)
        self.checks.on_arrival_in_pause(self, headers.get("x-pumicemast-request-id", ""),
                                        headers.get("x-pumicemast-expect-instance", ""))
        await super().run(writer, method, target, headers)

    def notices(self, status):
        fields = super().notices(status)
        if self.leaving and self.announced_at is None:
            self.announced_at = time.monotonic()
        return fields

    def head(self, headers, extra=(), status=200):
        fields = super().head(headers, extra, status)
        if "Retry-After" in fields:
            self.checks.on_pause_sent(self, headers.get("x-pumicemast-request-id", ""),
                                      float(fields["Retry-After"]))
        if self.limit is not None:
            fields["Server-Limit"] = self.limit
            self.checks.on_limit_sent(self)
        return fields

    def on_request_started(self, headers):
        self.checks.on_request_started(self, headers.get("x-pumicemast-request-id", ""))

    def plain_body(self, headers):
        identity = headers.get("x-pumicemast-request-id", "")
        return self.checks.bodies.get(identity, identity.encode())

    def event(self, headers, number):
        identity = headers.get("x-pumicemast-request-id", "")
        return f"id: {number}\ndata: {identity} {number}\n\n".encode()


class SoakEngine(SoakBackend):
    """An engine with weights, one staging area and a sequence number of orders."""

    def __init__(self, checks, random, *arguments):
        super().__init__(checks, "engines", *arguments)
        self.random = random
        self.name = self.identity
        self.incarnation = 1
        self.running = 0
        self.busy = False
        self.wrong_chunks = {}  # Of the served weights: chunk number and its defect.
        self.corrupted_at = {}  # Staged chunks that were corrupted, with the time.
        self.order_fault = None
        self.delayed_orders = 0  # Number of orders received so far to execute late.
        self.report_delay = 0.0
        self.timeline = []
        self.platform = None  # Registers it again after a crash; set by the platform.
        self.restart_tasks = []
        # Referenced here because a task that waits for an unreferenced event is garbage-collected.
        self.never = asyncio.Event()
        self.tasks = set()  # Delayed orders, and an activation.

    def record_event(self, text):
        self.timeline.append((time.monotonic(), text))
        del self.timeline[:-MAX_TIMELINE_EVENTS]

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # ---- staging ----

    def stage(self, number, data):
        super().stage(number, data)
        self.corrupted_at.pop(number, None)
        versions = [version for version in sorted(self.checks.named_at)
                    if data == chunk_content(version, number)]
        self.record_event(f"chunk {number} written, of version {versions or 'none'}")

    def corrupt(self, number):
        """Corrupts a staged chunk."""
        if number in self.staged:
            self.staged[number] = b"x" + self.staged[number][:-1]
            self.corrupted_at[number] = time.monotonic()
            self.record_event(f"chunk {number} corrupted")

    # ---- orders ----

    def activate(self, order):
        if self.is_stale(order) or self.busy:
            return 409
        if order["version"] == self.version:
            return 200
        self.seq += 1
        self.orders.append(order)
        self.busy = True
        wrong = self.checks.wrong_chunks(order["version"], self.staged, self.corrupted_at)
        if wrong:  # A violation only if the engine then serves a request.
            self.checks.count_outcome("engine", "activated mixed weights")
        self.spawn(self.finish_activation(order["version"], wrong))
        return 202

    def activate_and_record(self, order, how):
        status = self.activate(order)
        self.record_event(f"order to start version {order['version']}, expectedRev "
                  f"{order.get('expectedRev')}, {how}: {status}, seq {self.seq}")
        return status

    async def finish_activation(self, version, wrong):
        while self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(CHANGEOVER_S)
        self.version, self.wrong_chunks, self.busy = version, wrong, False
        self.record_event(f"serves version {version}, wrong chunks {wrong}")

    async def execute_later(self, order, delay):
        await asyncio.sleep(delay)
        self.activate_and_record(order, f"{delay:.2f} s late, not answered")

    async def handle_order(self, writer, order):
        fault = self.order_fault
        if fault is None:
            send_response(writer, self.activate_and_record(order, "answered"))
            return
        if fault == "answered late":
            status = self.activate_and_record(order, "answered late")
            await asyncio.sleep(self.random.uniform(0, MAX_ORDER_RESPONSE_S))
            send_response(writer, status)
            return
        if fault == "lost":
            self.record_event(f"order to start version {order['version']} lost")
        else:
            self.delayed_orders += 1
            self.spawn(self.execute_later(order, self.random.uniform(0, MAX_ORDER_DELAY_S)))
        await self.never.wait()  # No response is sent on this connection.

    async def handle_report(self, writer):
        report = self.report()
        await asyncio.sleep(self.report_delay)
        send_response(writer, 200, report, self.notices(200))

    def report(self):
        return {**super().report(), "busy": self.busy, "running": self.running}

    # ---- requests ----

    async def run(self, writer, method, target, headers):
        if target.startswith(CRASHING_TARGET):
            await self.run_crashing_request(writer, target, headers)
            return
        expected_version = int(headers.get("x-pumicemast-expect-version", 0))
        if self.version == 0 or expected_version not in (0, self.version):
            self.refuse(writer, headers, 421)
        elif self.busy:
            self.refuse(writer, headers, 503)
        else:
            await self.run_counted(writer, method, target, headers)

    def refuse(self, writer, headers, status):
        self.checks.on_arrival(self.service, headers.get("x-pumicemast-request-id", ""))
        send_response(writer, status, b"",
                      self.head(headers, {"X-Pumicemast-Not-Executed": 1}.items(), status))

    async def run_counted(self, writer, method, target, headers):
        incarnation = self.incarnation
        self.running += 1
        try:
            await super().run(writer, method, target, headers)
        finally:
            if incarnation == self.incarnation:
                self.running -= 1

    # ---- incarnations ----

    async def restart(self):
        await self.crash()
        await self.recover()

    async def run_crashing_request(self, writer, target, headers):
        """Crashes the engine, which starts this request; it recovers 0.3 to 1.5 s later."""
        if self.down or self.draining_since or self.busy or not self.version:
            self.refuse(writer, headers, 503)
            return
        self.checks.on_engine_crash(target)
        self.down = True
        old = self.identity
        await self.crash()
        self.restart_tasks.append(asyncio.create_task(self.recover_and_register(old)))
        raise ConnectionError

    async def recover_and_register(self, old):
        await asyncio.sleep(self.random.uniform(0.3, 1.5))
        await self.recover()
        self.platform.register(self, self.service)
        self.platform.unregister(old)
        self.checks.disturb_engines(0)
        self.down = False

    async def crash(self):
        """Ends the engine and all its work in progress; staged chunks are kept."""
        self.record_event("crashed")
        self.incarnation += 1
        for task in list(self.tasks):
            task.cancel()
        await self.stop()

    async def recover(self):
        """Starts another incarnation, without layers and with no orders taken."""
        self.identity = f"{self.name}-{self.incarnation}"
        self.version, self.seq, self.running, self.busy = 0, 0, 0, False
        self.wrong_chunks = {}
        await self.start()
        self.record_event(f"recovered as {self.identity}, chunks staged {sorted(self.staged)}")
