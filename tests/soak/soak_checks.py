"""Records what callers and back ends observe and checks it against the system's guarantees."""

import signal
import time
from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field

from platform_standin import CHUNKS, chunk_content

DEADLINE_S = 5.0
DEADLINE_TOLERANCE_S = 1.0  # Tolerated delay past the deadline, on a loaded machine.
#: As in the settings: requests may start on older weights for so long after a version is named.
OUTDATED_WEIGHTS_LIMIT_S = 3.0
DRAIN_LIMIT_S = 2.0
UNDISTURBED_S = 4.0  # Bounds are checked only after so long without a fault.
CORRUPTION_GRACE_S = 3.0  # The system need not detect a chunk that was corrupted more recently.
RETRY_RATIO = 0.2  # As in the gateways' settings.
RETRY_EXTRA = 30
RETRY_WINDOW_S = 10.0
CRASH_THRESHOLD = 3  # Crashes of engines after which a request is quarantined.
TOLERATED_LATE_CRASHES = 3  # Records of earlier crashes may be lost while the system is disturbed.
CRASH_PROPAGATION_S = 3.0  # Seconds after the third crash until all connected gateways know of it.
LIMIT_WINDOW_S = 4.0
LIMIT_PROPAGATION_S = 1.0  # After a back end first sends a limit, until all gateways apply it.
LIMIT_BURST = 2  # Requests above the rate in a window, while undisturbed.
PAUSE_UNDER_WAY_S = 0.5  # Requests sent before a refusal may arrive for so long after it.
ALLOWED_IN_PAUSE = 2
DISTURBED_RATIO, DISTURBED_EXTRA = 1.5, 5  # Looser bound while gateways come and go.
#: A stall of this process that counts as a fault: it runs the store and all back ends.
HARNESS_STALL_S = 1.0
JOIN_LIMIT_S = 4.0  # Within it every gateway uses a back end that appears.
REPORTED_TIMELINE_EVENTS = 40  # The latest events; the kept logs have the complete timeline.


class RetryCount:
    """Counts requests for one service, and their retries: arrivals after the first of each."""

    def __init__(self):
        self.requests = []
        self.retries = []
        self.seen = set()

    def on_arrival(self, identity, now):
        """Records an arrival; returns whether it is a retry."""
        if identity not in self.seen:
            self.seen.add(identity)
            return False
        self.retries.append(now)
        return True

    @staticmethod
    def count_within(times, end):
        return bisect_right(times, end) - bisect_left(times, end - RETRY_WINDOW_S)

    def retries_and_limit(self, now):
        """Returns the number of retries in the window that ends now, and the allowed number."""
        requests = max(self.count_within(self.requests, now - shift * RETRY_WINDOW_S)
                       for shift in (0, 0.5, 1))
        return self.count_within(self.retries, now), RETRY_RATIO * requests + RETRY_EXTRA


class LimitCount:
    """Counts requests that reach a back end since it set a limit."""

    def __init__(self, rate):
        self.rate = rate
        self.first_sent_at = None
        self.arrivals = []

    def on_arrival(self, now):
        """Returns the arrivals in the window that ends now; 0 before all gateways must apply it."""
        if self.first_sent_at is None or now - self.first_sent_at < LIMIT_PROPAGATION_S:
            return 0
        self.arrivals.append(now)
        return bisect_right(self.arrivals, now) - bisect_left(self.arrivals, now - LIMIT_WINDOW_S)

    def allowed(self, undisturbed):
        by_rate = self.rate * LIMIT_WINDOW_S
        return by_rate + LIMIT_BURST if undisturbed else DISTURBED_RATIO * by_rate + DISTURBED_EXTRA


@dataclass
class Pause:
    """A pause that a back end has asked a gateway for."""

    begin: float
    end: float
    refusals: list = field(default_factory=list)  # Time, request and seconds asked for.
    arrivals: list = field(default_factory=list)  # Time, request and the back end it was meant for.


class Checks:
    """The observations of one run and the violations found in them."""

    def __init__(self):
        self.started_at = time.monotonic()
        self.incarnations = {}  # By gateway: the number of its starts.
        self.start_counts = {}  # By request id: how often it started at a back end.
        self.refused_requests = set()  # Requests that were refused as not run.
        self.checks_all_refusals = False  # Also of requests that may be repeated, and their headers.
        self.newest_route = {}  # By (gateway, incarnation): the newest route that was in force.
        self.named_at = {1: 0.0}
        self.retry_counts = {"engines": RetryCount(), "plain": RetryCount()}
        self.crashes = {}  # By target: times at which it crashed engines.
        self.late_crashes = {}  # By target: crashes after all gateways must know the third.
        self.limits = {}  # By identity of the back end: its current limit.
        self.gateway_of = {}  # By request id: the gateway and the number of its start.
        self.sent_at = {}  # By request id.
        self.joined = {}  # By identity of a new back end: when it appeared, and its gateways.
        self.bodies = {}  # By request id: the body that back ends send, if not the id.
        self.pauses = {}  # By (back end, gateway): the last pause.
        self.violations = []
        self.outcomes = {}
        self.disturbed_until = 0.0
        self.engines_disturbed_until = 0.0
        self.last_heartbeat = None  # When the event loop of the stand-ins last ran.

    def report_violation(self, rule, text):
        self.violations.append(f"{time.monotonic() - self.started_at:.3f} s {rule}: {text}")

    def disturb(self, seconds):
        """Records a fault of machines, links or the store.

        Planned work is no fault: bounds hold during it.
        """
        self.disturbed_until = max(self.disturbed_until, time.monotonic() + seconds)

    def disturb_engines(self, seconds):
        """Records a fault of back ends: it excuses interrupted responses, no error of gateways."""
        self.engines_disturbed_until = max(self.engines_disturbed_until,
                                           time.monotonic() + seconds)

    def record_heartbeat(self):
        """Records that the event loop runs; a gap means that the store and back ends stalled."""
        now = time.monotonic()
        if self.last_heartbeat is not None and now - self.last_heartbeat > HARNESS_STALL_S:
            self.count_outcome("stand-ins", f"stalled {now - self.last_heartbeat:.0f} s")
            self.disturb(DEADLINE_S)  # Requests of that time may wait until their deadline.
        self.last_heartbeat = now

    def undisturbed(self):
        """Whether machines, links and the store had no fault for UNDISTURBED_S."""
        self.record_heartbeat()
        return time.monotonic() > self.disturbed_until + UNDISTURBED_S

    def all_undisturbed(self):
        """Whether back ends had no fault for UNDISTURBED_S either."""
        return self.undisturbed() \
            and time.monotonic() > self.engines_disturbed_until + UNDISTURBED_S

    def all_undisturbed_since(self, moment):
        """Whether nothing had a fault for UNDISTURBED_S, nor since `moment`."""
        return self.all_undisturbed() \
            and max(self.disturbed_until, self.engines_disturbed_until) < moment

    # ---- observations of back ends ----

    def on_arrival(self, service, identity):
        now = time.monotonic()
        count = self.retry_counts[service]
        if not count.on_arrival(identity, now):
            return
        retries, allowed = count.retries_and_limit(now)
        if retries > allowed:
            self.report_violation("BUDGET", f"{retries} retries at {service} in "
                                            f"{RETRY_WINDOW_S} s, {allowed:.1f} allowed")

    def on_limit_changed(self, backend, rate):
        """The back end sets another limit from now on, or none."""
        self.limits.pop(backend.identity, None)
        if rate is not None:
            self.limits[backend.identity] = LimitCount(rate)

    def on_limit_sent(self, backend):
        count = self.limits.get(backend.identity)
        if count and count.first_sent_at is None:
            count.first_sent_at = time.monotonic()

    def on_limited_arrival(self, backend):
        count = self.limits.get(backend.identity)
        if not count:
            return
        arrived, allowed = count.on_arrival(time.monotonic()), count.allowed(self.undisturbed())
        if arrived > allowed:
            self.report_violation("LIMIT", f"{backend.identity} got {arrived} requests in "
                                           f"{LIMIT_WINDOW_S} s, {allowed:.1f} allowed by its "
                                           f"limit of {count.rate} a second")

    def on_pause_sent(self, backend, identity, seconds):
        """The back end has refused the request and asked its gateway for a pause."""
        now = time.monotonic()
        key = (backend.identity, self.gateway_of.get(identity))
        pause = self.pauses.get(key)
        if pause is None or now > pause.end:
            pause = self.pauses[key] = Pause(now, now)
        pause.end = max(pause.end, now + seconds)
        pause.refusals.append((now, identity, seconds))

    def on_arrival_in_pause(self, backend, identity, expected_backend=""):
        now = time.monotonic()
        gateway = self.gateway_of.get(identity)
        if gateway is None or self.has_restarted(gateway):
            return
        pause = self.pauses.get((backend.identity, gateway))
        if pause is None or not pause.begin + PAUSE_UNDER_WAY_S < now < pause.end:
            return
        pause.arrivals.append((now, identity, expected_backend))
        if len(pause.arrivals) > ALLOWED_IN_PAUSE and self.undisturbed():
            self.report_violation("PAUSE", f"{backend.identity} had asked {gateway[0]} for a pause of "
                                           f"{pause.end - pause.begin:.2f} s and got {identity} "
                                           f"{now - pause.begin:.2f} s after, as number "
                                           f"{len(pause.arrivals)}" + self.pause_timeline(pause))

    def has_restarted(self, gateway):
        """Whether the gateway's next process runs, which may have accepted a caller's connection.

        A stopping gateway drops attempts to connect; the system repeats them after a second.
        """
        host, number = gateway
        return self.incarnations.get(host) != number

    def pause_timeline(self, pause):
        events = [(at, f"{identity} refused, pause {seconds:.1f} s")
                  for at, identity, seconds in pause.refusals]
        events += [(at, f"{identity} arrived for {backend}, "
                        f"{at - self.sent_at.get(identity, at):.3f} s after its caller sent it")
                   for at, identity, backend in pause.arrivals]
        return "".join(f"\n      {at - self.started_at:8.3f} s {text}"
                       for at, text in sorted(events))

    def on_stopped(self, name, code):
        """A process that was told to stop has ended: by itself, or killed by another fault."""
        if code not in (0, -signal.SIGKILL, -signal.SIGTERM):
            self.report_violation("FAULT", f"{name} was told to stop and ended with {code}")

    def on_joined(self, backend, now):
        """The back end appears in the list from now on."""
        self.joined[backend.identity] = (now, set())

    def check_joined(self, backend, gateways):
        """`gateways` have run since the back end appeared, and must all use it."""
        joined_at, users = self.joined.pop(backend.identity)
        unaware = sorted({host for host, start in gateways if (host, start) not in users})
        if unaware and self.all_undisturbed_since(joined_at):
            self.report_violation("JOIN", f"{backend.identity} got no request from "
                                          f"{', '.join(unaware)} in {JOIN_LIMIT_S} s")

    def on_request_started(self, backend, identity):
        self.start_counts[identity] = self.start_counts.get(identity, 0) + 1
        if backend.identity in self.joined:
            self.joined[backend.identity][1].add(self.gateway_of.get(identity))
        now = time.monotonic()
        if identity.startswith("write") and self.start_counts[identity] > 1:
            self.report_violation("TWICE", f"{identity} ran {self.start_counts[identity]} times")
        if identity in self.refused_requests:
            self.report_violation("REFUSED", f"{identity} started after it was refused as not run")
        since = backend.draining_since
        if since and now - since > DRAIN_LIMIT_S + 0.2 and self.undisturbed():
            self.report_violation("DRAIN", f"{identity} started at {backend.identity} "
                                           f"{now - since:.2f} s after it began draining")
        announced = backend.announced_at
        if announced and now - announced > DRAIN_LIMIT_S + 0.2 and self.undisturbed():
            self.report_violation("DRAIN", f"{identity} started at {backend.identity} "
                                           f"{now - announced:.2f} s after it announced its leaving")
        if backend.model:
            self.check_weights(backend, identity, now)

    def check_weights(self, backend, identity, now):
        newer = [at for version, at in self.named_at.items() if version > backend.version]
        if newer and now - min(newer) > OUTDATED_WEIGHTS_LIMIT_S and self.undisturbed():
            self.report_violation("VERSION", f"{identity} started on version {backend.version} at "
                                             f"{backend.identity}, {now - min(newer):.2f} s after "
                                             "a newer one was named")
        if backend.wrong_chunks:
            self.report_violation("WHOLE", f"{identity} started at {backend.identity} on version "
                                  f"{backend.version} with wrong chunks {backend.wrong_chunks}"
                                  + self.timeline(backend))
            backend.wrong_chunks = {}  # Reported once for each activation.

    def timeline(self, backend):
        return "".join(f"\n      {at - self.started_at:8.3f} s {backend.name} {text}"
                       for at, text in backend.timeline[-REPORTED_TIMELINE_EVENTS:])

    @staticmethod
    def wrong_chunks(version, staged, corrupted_at):
        """Returns the staged chunks that don't belong to `version`, with the reason, by number."""
        now = time.monotonic()
        wrong = {}
        for number in range(CHUNKS):
            if staged.get(number) == chunk_content(version, number):
                continue
            if now - corrupted_at.get(number, 0.0) < CORRUPTION_GRACE_S:
                continue
            if number not in staged:
                wrong[number] = "missing"
            elif number in corrupted_at:
                wrong[number] = f"corrupt for {now - corrupted_at[number]:.1f} s"
            else:
                wrong[number] = "of another version"
        return wrong

    def on_engine_crash(self, target):
        """An engine crashed because it started a request for `target`."""
        now = time.monotonic()
        self.count_outcome("engine", "crashed under a request")
        crashes = self.crashes.setdefault(target, [])
        crashes.append(now)
        self.disturb_engines(0)
        known = len(crashes) > CRASH_THRESHOLD \
            and now - crashes[CRASH_THRESHOLD - 1] > CRASH_PROPAGATION_S
        if not known or not self.undisturbed():
            return
        self.late_crashes[target] = self.late_crashes.get(target, 0) + 1
        if self.late_crashes[target] > TOLERATED_LATE_CRASHES:
            self.report_violation("CRASH", f"{target} caused crash {len(crashes)}, "
                                           f"{now - crashes[CRASH_THRESHOLD - 1]:.1f} s after "
                                           "the third")

    # ---- observations of callers ----

    def on_sent(self, kind, identity, gateway):
        self.gateway_of[identity] = gateway
        self.sent_at[identity] = time.monotonic()
        service = "engines" if kind == "chat" else "plain"
        self.retry_counts[service].requests.append(time.monotonic())

    def on_response_timeout(self, identity):
        if self.all_undisturbed():
            self.report_violation("CONFIG", f"{identity} got no response in "
                                            f"{DEADLINE_S + 2 * DEADLINE_TOLERANCE_S} s")

    def on_response_time(self, identity, seconds):
        if seconds > DEADLINE_S + DEADLINE_TOLERANCE_S and self.all_undisturbed():
            self.report_violation("CONFIG", f"{identity} was answered after its deadline")

    def check_response(self, kind, identity, response, incarnation, version):
        if response.status == 200 and response.complete:
            own = "".join(f"id: {n}\ndata: {identity} {n}\n\n" for n in range(1, 11)).encode()
            if response.body != (own if kind == "chat" else identity.encode()):
                self.report_violation("MIXED", f"{identity} got {response.body[:80]!r}")
        if not response.complete and self.all_undisturbed():
            self.report_violation("LOST", f"{identity} was interrupted without a fault")
        if response.body == b"quarantined" and not identity.startswith("killer"):
            self.report_violation("BYSTANDER",
                                  f"{identity} was quarantined but crashes no engine")
        refused = response.status in (429, 503)
        if self.checks_all_refusals and response.status == 503:
            self.check_retry_time(identity, response)
        if refused and (kind == "write" or self.checks_all_refusals):
            self.refused_requests.add(identity)
            if self.start_counts.get(identity):
                self.report_violation("REFUSED",
                                      f"{identity} was refused with {response.status} but ran")
        if kind == "route":
            self.check_route(response, incarnation, version)
        elif response.status in (401, 404):
            self.report_violation("DENIED", f"{identity} was answered {response.status}")

    def has_started(self, identity):
        """Whether a back end has started the request, so that its gateway had read it whole."""
        return bool(self.start_counts.get(identity))

    def check_large_response(self, identity, response, limit_s, read_whole=False):
        """A request that was read whole has a whole response; `response` is None without a head.

        `read_whole` says that the gateway has read the request although no back end started it.
        """
        expected = self.bodies.pop(identity)
        if response is not None and response.complete:
            if response.status == 200 and response.body != expected:
                self.report_violation("MIXED", f"{identity} got {len(response.body)} bytes, its "
                                               f"back end sent {len(expected)}")
            return
        sent_at = self.sent_at[identity]
        was_read = response is not None or read_whole or self.has_started(identity)
        if not was_read or time.monotonic() - sent_at > limit_s:
            return
        if self.all_undisturbed_since(sent_at):
            received = "no response" if response is None \
                else f"{len(response.body)} of {len(expected)} bytes"
            self.report_violation("LOST", f"{identity} got {received} from "
                                          f"{self.gateway_of[identity][0]} without a fault, "
                                          f"{time.monotonic() - sent_at:.2f} s after it was sent")

    def check_retry_time(self, identity, response):
        """A refusal says when to return, unless the request is not to return at all."""
        if response.body != b"quarantined" and not float(response.headers.get("retry-after", 0)) > 0:
            self.report_violation("RETRY", f"{identity} was refused without a time to return: "
                                           f"{response.body[:80]!r}")

    def check_route(self, response, incarnation, version):
        newest = self.newest_route.get(incarnation, 1)
        if response.status == 404 and 1 < version <= newest \
                and incarnation[1] == self.incarnations[incarnation[0]]:
            self.report_violation("CONFIG",
                                  f"{incarnation} refused route {version}, which was in force")
        if response.status not in (404, 503):
            self.newest_route[incarnation] = max(newest, version)

    def count_outcome(self, kind, outcome):
        key = f"{kind} {outcome}"
        self.outcomes[key] = self.outcomes.get(key, 0) + 1
