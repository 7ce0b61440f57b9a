"""Back ends of the soak: they tell the checks what they see, and engines can be troubled.

An engine is played as the protocol has it: an order takes what lies in the one staging place at that
moment, ends what runs first, and takes nothing new until it serves the new weights.
"""

import asyncio
import time

from platform_standin import Backend, send_response, chunk_content

CHANGEOVER_S = 0.1  # As `warmS` in the stand-in's configuration.
LATEST_ORDER_S = 12.0  # Orders without an answer were seen to be carried out 2.7 to 12 s later.
SLOWEST_ANSWER_S = 2.0  # Longer than an agent waits for an answer to an order (0.5 s).
KILLER_TARGET = "/chat/killer-"  # What begins so ends the engine that begins it.
TIMELINE_EVENTS = 400  # Ten versions' chunks and orders.


class SoakRunner(Backend):
    """Puts the request's id into what it answers, and tells the checks when each request begins."""

    def __init__(self, checks, service, *arguments):
        super().__init__(*arguments)
        self.checks = checks
        self.service = service
        self.draining_since = None
        self.down = False
        self.limit = None  # Requests a second that it takes of all gateways together.

    async def start_anew(self):
        """Another incarnation at the same address."""
        self.identity += "x"

    async def run(self, writer, method, target, headers):
        self.checks.on_arrival(self.service, headers.get("x-pumicemast-request-id", ""))
        self.checks.on_limited_arrival(self)
        await super().run(writer, method, target, headers)

    def head(self, headers, extra=()):
        fields = super().head(headers, extra)
        if self.limit is not None:
            fields["Server-Limit"] = self.limit
            self.checks.on_limit_told(self)
        return fields

    def on_request_started(self, headers):
        self.checks.on_run(self, headers.get("x-pumicemast-request-id", ""))

    def plain_body(self, headers):
        return headers.get("x-pumicemast-request-id", "").encode()

    def event(self, headers, number):
        identity = headers.get("x-pumicemast-request-id", "")
        return f"id: {number}\ndata: {identity} {number}\n\n".encode()


class SoakEngine(SoakRunner):
    """An engine with weights, one staging place and a sequence of orders."""

    def __init__(self, checks, random, *arguments):
        super().__init__(checks, "engines", *arguments)
        self.random = random
        self.name = self.identity
        self.life = 1
        self.running = 0
        self.busy = False
        self.wrong_chunks = {}  # Of the weights that it serves: chunk and what is wrong with it.
        self.turned_bad = {}  # Chunk that turned bad where it lies, and when.
        self.order_trouble = None
        self.late_orders = 0  # Sent so far, whether taken meanwhile or not.
        self.report_delay = 0.0
        self.timeline = []
        self.platform = None  # Lists it anew after it ended under a request; set by the platform.
        self.revivals = []
        self.never = asyncio.Event()  # Kept here: what waits for an event alone is collected with it.
        self.work = set()  # Orders on their way, and a changeover.

    def note(self, text):
        self.timeline.append((time.monotonic(), text))
        del self.timeline[:-TIMELINE_EVENTS]

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.work.add(task)
        task.add_done_callback(self.work.discard)

    # ---- staging ----

    def stage(self, number, data):
        super().stage(number, data)
        self.turned_bad.pop(number, None)
        versions = [version for version in sorted(self.checks.named_at)
                    if data == chunk_content(version, number)]
        self.note(f"chunk {number} written, of version {versions or 'none'}")

    def spoil(self, number):
        """A chunk turns bad where it lies."""
        if number in self.staged:
            self.staged[number] = b"x" + self.staged[number][:-1]
            self.turned_bad[number] = time.monotonic()
            self.note(f"chunk {number} turned bad")

    # ---- orders ----

    def activate(self, order):
        if self.is_stale(order) or self.busy:
            return 409
        if order["version"] == self.version:
            return 200
        self.seq += 1
        self.orders.append(order)
        self.busy = True
        wrong = self.checks.wrong_chunks(order["version"], self.staged, self.turned_bad)
        if wrong:  # A violation only when it serves a request.
            self.checks.count("engine", "took a mixture")
        self.spawn(self.change_over(order["version"], wrong))
        return 202

    def take_and_note(self, order, how):
        status = self.activate(order)
        self.note(f"order to start version {order['version']}, expectedRev "
                  f"{order.get('expectedRev')}, {how}: {status}, seq {self.seq}")
        return status

    async def change_over(self, version, wrong):
        while self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(CHANGEOVER_S)
        self.version, self.wrong_chunks, self.busy = version, wrong, False
        self.note(f"serves version {version}, wrong chunks {wrong}")

    async def take_later(self, order, delay):
        await asyncio.sleep(delay)
        self.take_and_note(order, f"{delay:.2f} s late, not answered")

    async def handle_order(self, writer, order):
        trouble = self.order_trouble
        if trouble is None:
            send_response(writer, self.take_and_note(order, "answered"))
            return
        if trouble == "answered late":
            status = self.take_and_note(order, "answered late")
            await asyncio.sleep(self.random.uniform(0, SLOWEST_ANSWER_S))
            send_response(writer, status)
            return
        if trouble == "lost":
            self.note(f"order to start version {order['version']} lost")
        else:
            self.late_orders += 1
            self.spawn(self.take_later(order, self.random.uniform(0, LATEST_ORDER_S)))
        await self.never.wait()  # This connection says nothing further.

    async def handle_report(self, writer):
        report = self.report()
        await asyncio.sleep(self.report_delay)
        send_response(writer, 200, report)

    def report(self):
        return {**super().report(), "busy": self.busy, "running": self.running}

    # ---- requests ----

    async def run(self, writer, method, target, headers):
        if target.startswith(KILLER_TARGET):
            await self.run_killer(writer, target, headers)
            return
        wanted = int(headers.get("x-pumicemast-expect-version", 0))
        if self.version == 0 or wanted not in (0, self.version):
            self.refuse(writer, headers, 421)
        elif self.busy:
            self.refuse(writer, headers, 503)
        else:
            await self.run_counted(writer, method, target, headers)

    def refuse(self, writer, headers, status):
        self.checks.on_arrival(self.service, headers.get("x-pumicemast-request-id", ""))
        send_response(writer, status, b"",
                      self.head(headers, {"X-Pumicemast-Not-Executed": 1}.items()))

    async def run_counted(self, writer, method, target, headers):
        life = self.life
        self.running += 1
        try:
            await super().run(writer, method, target, headers)
        finally:
            if life == self.life:
                self.running -= 1

    # ---- lives ----

    async def start_anew(self):
        await self.crash()
        await self.come_back()

    async def run_killer(self, writer, target, headers):
        """The request ends the engine that begins it; it is back a while later."""
        if self.down or self.draining_since or self.busy or not self.version:
            self.refuse(writer, headers, 503)
            return
        self.checks.on_engine_ended_by(target)
        self.down = True
        old = self.identity
        await self.crash()
        self.revivals.append(asyncio.create_task(self.come_back_listed(old)))
        raise ConnectionError

    async def come_back_listed(self, old):
        await asyncio.sleep(self.random.uniform(0.3, 1.5))
        await self.come_back()
        self.platform.register(self, self.service)
        self.platform.unregister(old)
        self.checks.disturb_engines(0)
        self.down = False

    async def crash(self):
        """Ends it with all that was under way; what was staged stays."""
        self.note("crashed")
        self.life += 1
        for task in list(self.work):
            task.cancel()
        await self.stop()

    async def come_back(self):
        """Another incarnation: no layers, no orders taken."""
        self.identity = f"{self.name}-{self.life}"
        self.version, self.seq, self.running, self.busy = 0, 0, 0, False
        self.wrong_chunks = {}
        await self.start()
        self.note(f"came back as {self.identity}, chunks staged {sorted(self.staged)}")
