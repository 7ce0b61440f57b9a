"""What callers and back ends see, and the rules that it must keep."""

import time
from bisect import bisect_left, bisect_right

from platform_standin import CHUNKS, chunk_content

DEADLINE_S = 5.0
LATE_S = 1.0  # An answer may come so much later than its deadline, on a loaded machine.
START_BOUND_S = 3.0  # As in the settings: older weights may start requests after a naming.
DRAIN_BOUND_S = 2.0
QUIET_S = 4.0  # Bounds hold only when nothing was disturbed for so long.
TURNED_BAD_S = 3.0  # A chunk that turned bad so shortly before is not the system's fault.
RETRY_RATIO = 0.2  # As in the gateways' settings.
RETRY_EXTRA = 30
RETRY_WINDOW_S = 10.0
ENDS_TO_CONVICT = 3  # Engines that end under one request before it is run no more.
ENDS_AFTERWARDS = 3  # Whose evidence may have been lost while the system was disturbed.
CONTACT_S = 3.0  # After the third end every gateway that is in touch knows.
LIMIT_WINDOW_S = 4.0
LIMIT_SETTLE_S = 1.0  # After a back end first named a limit, until all gateways keep it.
LIMIT_BURST = 2  # Requests above the rate in a window, with nothing disturbed.
DISTURBED_RATIO, DISTURBED_EXTRA = 1.5, 5  # What the rule allows also while gateways come and go.
STALL_S = 1.0  # The store and all back ends are played by one process: it stands still, so do they.
TIMELINE_SHOWN = 40  # Events, the last ones; the whole time line is in the kept logs.


class RetryCount:
    """Requests for one service, and arrivals there beyond the first of each."""

    def __init__(self):
        self.requests = []
        self.repeats = []
        self.seen = set()

    def on_arrival(self, identity, now):
        """Whether this one is a repeat."""
        if identity not in self.seen:
            self.seen.add(identity)
            return False
        self.repeats.append(now)
        return True

    @staticmethod
    def within(times, end):
        return bisect_right(times, end) - bisect_left(times, end - RETRY_WINDOW_S)

    def beyond(self, now):
        """Repeats in the window that ends now, and how many are allowed."""
        requests = max(self.within(self.requests, now - shift * RETRY_WINDOW_S)
                       for shift in (0, 0.5, 1))
        return self.within(self.repeats, now), RETRY_RATIO * requests + RETRY_EXTRA


class LimitCount:
    """Requests that reach a back end since it named a limit."""

    def __init__(self, rate):
        self.rate = rate
        self.told_at = None
        self.arrivals = []

    def on_arrival(self, now):
        """How many came in the window that ends now; 0 while gateways may not know of the limit."""
        if self.told_at is None or now - self.told_at < LIMIT_SETTLE_S:
            return 0
        self.arrivals.append(now)
        return bisect_right(self.arrivals, now) - bisect_left(self.arrivals, now - LIMIT_WINDOW_S)

    def allowed(self, quiet):
        by_rate = self.rate * LIMIT_WINDOW_S
        return by_rate + LIMIT_BURST if quiet else DISTURBED_RATIO * by_rate + DISTURBED_EXTRA


class Checks:
    """The history of one run."""

    def __init__(self):
        self.began = time.monotonic()
        self.lives = {}  # By gateway: how often it was started.
        self.runs = {}  # By request id: how often it began at a runner.
        self.refused = set()  # Not repeatable, answered as not run.
        self.highest_route = {}  # By gateway and life: newest route seen in force.
        self.named_at = {1: 0.0}
        self.retries = {"engines": RetryCount(), "plain": RetryCount()}
        self.ends = {}  # By target: when engines ended under it.
        self.late_ends = {}  # By target: ends with nothing disturbed, long after the third.
        self.limits = {}  # By identity of the back end: the limit that it names now.
        self.violations = []
        self.outcomes = {}
        self.disturbed_until = 0.0
        self.engines_disturbed_until = 0.0
        self.last_beat = None  # When the stand-ins last showed that they run.

    def violate(self, rule, text):
        self.violations.append(f"{time.monotonic() - self.began:.3f} s {rule}: {text}")

    def disturb(self, seconds):
        """A fault of machines, links or the store. Planned work is none: bounds hold during it."""
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)

    def disturb_engines(self, seconds):
        """A fault of back ends alone: it excuses broken answers, and nothing that gateways do."""
        self.engines_disturbed_until = max(self.engines_disturbed_until,
                                           time.monotonic() + seconds)

    def beat(self):
        """To be called often: where it is not, the store and back ends have stood still."""
        now = time.monotonic()
        if self.last_beat is not None and now - self.last_beat > STALL_S:
            self.count("stand-ins", f"stood still {now - self.last_beat:.0f} s")
            self.disturb(DEADLINE_S)  # What was sent meanwhile may wait for its deadline.
        self.last_beat = now

    def quiet(self):
        """Nothing of the system or between its parts was disturbed for a while."""
        self.beat()
        return time.monotonic() > self.disturbed_until + QUIET_S

    def all_quiet(self):
        """Nor were back ends."""
        return self.quiet() and time.monotonic() > self.engines_disturbed_until + QUIET_S

    # ---- what back ends see ----

    def on_arrival(self, service, identity):
        now = time.monotonic()
        count = self.retries[service]
        if not count.on_arrival(identity, now):
            return
        repeats, allowed = count.beyond(now)
        if repeats > allowed:
            self.violate("BUDGET", f"{repeats} repeats at {service} in {RETRY_WINDOW_S} s, "
                                   f"{allowed:.1f} allowed")

    def on_limit(self, runner, rate):
        """The back end names another limit from now on, or none."""
        self.limits.pop(runner.identity, None)
        if rate is not None:
            self.limits[runner.identity] = LimitCount(rate)

    def on_limit_told(self, runner):
        count = self.limits.get(runner.identity)
        if count and count.told_at is None:
            count.told_at = time.monotonic()

    def on_limited_arrival(self, runner):
        count = self.limits.get(runner.identity)
        if not count:
            return
        arrived, allowed = count.on_arrival(time.monotonic()), count.allowed(self.quiet())
        if arrived > allowed:
            self.violate("LIMIT", f"{runner.identity} got {arrived} requests in {LIMIT_WINDOW_S} s, "
                                  f"{allowed:.1f} allowed by its limit of {count.rate} a second")

    def on_run(self, runner, identity):
        self.runs[identity] = self.runs.get(identity, 0) + 1
        now = time.monotonic()
        if identity.startswith("write") and self.runs[identity] > 1:
            self.violate("TWICE", f"{identity} began {self.runs[identity]} times")
        if identity in self.refused:
            self.violate("REFUSED", f"{identity} began after it was answered as not run")
        since = runner.draining_since
        if since and now - since > DRAIN_BOUND_S + 0.2 and self.quiet():
            self.violate("DRAIN", f"{identity} began at {runner.identity} {now - since:.2f} s after")
        if runner.model:
            self.check_weights(runner, identity, now)

    def check_weights(self, runner, identity, now):
        newer = [at for version, at in self.named_at.items() if version > runner.version]
        if newer and now - min(newer) > START_BOUND_S and self.quiet():
            self.violate("VERSION", f"{identity} began on version {runner.version} at "
                                    f"{runner.identity}, {now - min(newer):.2f} s after a newer one")
        if runner.wrong_chunks:
            self.violate("WHOLE", f"{identity} began at {runner.identity} on version "
                                  f"{runner.version} with wrong chunks {runner.wrong_chunks}"
                                  + self.timeline(runner))
            runner.wrong_chunks = {}  # Told once for each start.

    def timeline(self, runner):
        return "".join(f"\n      {at - self.began:8.3f} s {runner.name} {text}"
                       for at, text in runner.timeline[-TIMELINE_SHOWN:])

    @staticmethod
    def wrong_chunks(version, staged, turned_bad):
        """What an order to start `version` takes that is not its own, by chunk."""
        now = time.monotonic()
        wrong = {}
        for number in range(CHUNKS):
            if staged.get(number) == chunk_content(version, number):
                continue
            if now - turned_bad.get(number, 0.0) < TURNED_BAD_S:
                continue
            if number not in staged:
                wrong[number] = "missing"
            elif number in turned_bad:
                wrong[number] = f"bad for {now - turned_bad[number]:.1f} s"
            else:
                wrong[number] = "of another version"
        return wrong

    def on_engine_ended_by(self, target):
        """An engine ends because it begins this request."""
        now = time.monotonic()
        self.count("engine", "ended under a request")
        ends = self.ends.setdefault(target, [])
        ends.append(now)
        self.disturb_engines(0)
        known = len(ends) > ENDS_TO_CONVICT and now - ends[ENDS_TO_CONVICT - 1] > CONTACT_S
        if not known or not self.quiet():
            return
        self.late_ends[target] = self.late_ends.get(target, 0) + 1
        if self.late_ends[target] > ENDS_AFTERWARDS:
            self.violate("CRASH", f"{target} ended engine {len(ends)}, "
                                  f"{now - ends[ENDS_TO_CONVICT - 1]:.1f} s after the third")

    # ---- what callers see ----

    def on_sent(self, kind):
        service = "engines" if kind == "chat" else "plain"
        self.retries[service].requests.append(time.monotonic())

    def on_no_answer(self, identity):
        if self.all_quiet():
            self.violate("CONFIG", f"{identity} had no answer in {DEADLINE_S + 2 * LATE_S} s")

    def on_answer_after(self, identity, seconds):
        if seconds > DEADLINE_S + LATE_S and self.all_quiet():
            self.violate("CONFIG", f"{identity} was answered after its deadline")

    def check(self, kind, identity, answered, life, version):
        if answered.status == 200 and answered.complete:
            own = "".join(f"id: {n}\ndata: {identity} {n}\n\n" for n in range(1, 11)).encode()
            if answered.body != (own if kind == "chat" else identity.encode()):
                self.violate("MIXED", f"{identity} got {answered.body[:80]!r}")
        if not answered.complete and self.all_quiet():
            self.violate("LOST", f"{identity} was cut off with nothing disturbed")
        if answered.body == b"quarantined" and not identity.startswith("killer"):
            self.violate("BYSTANDER", f"{identity} was taken for a request that ends engines")
        if kind == "write" and answered.status in (429, 503):
            self.refused.add(identity)
            if self.runs.get(identity):
                self.violate("REFUSED", f"{identity} was answered {answered.status} and had begun")
        if kind == "route":
            self.check_route(answered, life, version)
        elif answered.status in (401, 404):
            self.violate("DENIED", f"{identity} was answered {answered.status}")

    def check_route(self, answered, life, version):
        highest = self.highest_route.get(life, 1)
        if answered.status == 404 and 1 < version <= highest and life[1] == self.lives[life[0]]:
            self.violate("CONFIG", f"{life} refused route {version}, in force before")
        if answered.status not in (404, 503):
            self.highest_route[life] = max(highest, version)

    def count(self, kind, outcome):
        key = f"{kind} {outcome}"
        self.outcomes[key] = self.outcomes.get(key, 0) + 1
