"""Counters, latencies and decisions that a node keeps for its operators."""

import collections
import enum
from collections.abc import Callable

from msgspec import Struct, field

COSTLY_EVENTS = frozenset(
    ["reset", "refuse", "turn away", "give up finding", "leave to others"]
)
ROUTINE_EVENTS = frozenset(["place", "find", "release", "give back"])
"""Events of decisions on a caller's flow that cost the caller nothing."""

COSTLY_KEPT = 200
"""Most decisions that cost a caller something kept for queries by operators:
those of the last few seconds of an incident."""

SERIES_MAX = 2000
"""Most histograms of a process: enough for 430 services with 4 outcomes."""

DECISIONS_KEPT = 1000
"""Most decisions that wait to be logged."""

FIRST_LOG_INTERVAL_S = 1.0
MAX_LOG_INTERVAL_S = 60.0
"""Bounds of the intervals at which a process that is not ready says so again,
seconds; each interval is twice the former one."""


BUCKETS_S = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0),
    float("inf"),
)
"""Upper bounds of the latency buckets, seconds: from a round-trip time within a
zone to the longest deadline."""


class Count(enum.StrEnum):
    """Counters of both roles."""

    CALLER_PACKETS = "caller_packets"
    ANSWER_PACKETS = "answer_packets"
    PEER_PACKETS = "peer_packets"
    MALFORMED = "malformed"
    UNKNOWN_SENDER = "unknown_sender"
    KEPT_EARLY = "kept_early"
    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    PARTS_REFUSED = "parts_refused"
    PLACED = "placed"
    PLACED_AGAIN = "placed_again"
    OFFERED_IF_FREE = "offered_if_free"
    FOUND_BUSY = "found_busy"
    FOUND_NONE_FREE = "found_none_free"
    REFUSED = "refused"
    ACCEPTED_IN_VAIN = "accepted_in_vain"
    FINDS = "finds"
    FOUND = "found"
    FOUND_ELSEWHERE = "found_elsewhere"
    ASKED_WIDELY = "asked_widely"
    FOUND_NOWHERE = "found_nowhere"
    RULED_OUT_BY_AGE = "ruled_out_by_age"
    FINDS_GIVEN_UP = "finds_given_up"
    RESETS = "resets"
    VIEWS_CONFIRMED = "views_confirmed"
    HISTORY_LOST = "history_lost"
    SUSPECTED = "suspected"
    LOST = "lost"
    AGENTS_AWAY = "agents_away"
    QUESTIONS = "questions"
    QUESTIONS_REPEATED = "questions_repeated"
    ISOLATED = "isolated"
    LEFT_TO_OTHERS = "left_to_others"
    RETURNED = "returned"
    HELD = "held"
    HELD_TOO_LONG = "held_too_long"
    VIEWS_TOLD = "views_told"
    WRONG_SERVICE = "wrong_service"
    BACKEND_SILENT = "backend_silent"
    REQUESTS_BROKEN = "requests_broken"
    TURNED_AWAY = "turned_away"
    REFUSED_AT_ONCE = "refused_at_once"
    CALLERS_LEFT = "callers_left"
    BACKEND_REBORN = "backend_reborn"
    BACKEND_GONE = "backend_gone"
    SURVEYS = "surveys"
    RESET_AT_REST = "reset_at_rest"
    SEARCHED_AT_REST = "searched_at_rest"
    SEARCHED_IN_DOUBT = "searched_in_doubt"
    PROBED_AT_REST = "probed_at_rest"
    LEFT_FOR_GOOD = "left_for_good"
    OPENINGS_EXPIRED = "openings_expired"
    DECISIONS_DROPPED = "decisions_dropped"
    TIMINGS_DROPPED = "timings_dropped"
    EXCEPTIONS = "exceptions"


class Timing(enum.StrEnum):
    """Durations that are measured, each with histograms by service and outcome.

    Attributes:
        OPENING: From offering a new flow to its acceptance.
        FINDING: From the first query for an unknown flow to the outcome.
        SERVICE: From a request to its answer, at the agent.
        WAITING: How long a request waited for a slot.
        STORE: A call to the platform's store.
        FORWARDING: Processing time of a packet in this process; only some
            packets are measured.
    """

    OPENING = "opening"
    FINDING = "finding"
    SERVICE = "service"
    WAITING = "waiting"
    STORE = "store"
    FORWARDING = "forwarding"
    LINK = "link"


class Series(Struct, frozen=True):
    """Key of a histogram.

    Attributes:
        timing: Duration that is measured.
        service: Name of the service, or empty.
        outcome: How it ended.
    """

    timing: Timing
    service: str
    outcome: str


class Histogram(Struct, eq=False):
    """Histogram of latencies with the buckets of ``BUCKETS_S``.

    Attributes:
        counts: Number of latencies by the upper bound of their bucket.
        total_s: Sum of the latencies, seconds.
    """

    counts: dict[float, int] = field(default_factory=dict)
    total_s: float = 0.0

    def add(self, latency_s: float) -> None:
        """Adds a latency."""
        bound = next(bound for bound in BUCKETS_S if latency_s <= bound)
        self.counts[bound] = self.counts.get(bound, 0) + 1
        self.total_s += latency_s


class Decision(Struct, frozen=True):
    """A decision for the log.

    Attributes:
        event: What was decided.
        flow: Key of the flow that it affects, or empty.
        inputs: Values that it is based on, with their ages or versions.
        outcome: Its result or reason.
    """

    event: str
    flow: bytes
    inputs: dict[str, object]
    outcome: str


class Records(Struct, eq=False):
    """Counters, histograms and decisions of a node, for its operators.

    Attributes:
        counters: Counts since the start of the process.
        decisions: Decisions that are not logged yet.
        histograms: Histograms by duration, service and outcome.
        costly: The last decisions that cost a caller something.
    """

    counters: collections.Counter[Count] = field(
        default_factory=collections.Counter
    )
    decisions: collections.deque[Decision] = field(
        default_factory=collections.deque
    )
    histograms: dict[Series, Histogram] = field(default_factory=dict)
    costly: collections.deque[Decision] = field(
        default_factory=lambda: collections.deque(maxlen=COSTLY_KEPT)
    )

    def observe(
        self, timing: Timing, service: str, outcome: str, latency_s: float
    ) -> None:
        """Adds a latency; drops it if that takes over ``SERIES_MAX`` series."""
        series = Series(timing, service, outcome)
        histogram = self.histograms.get(series)
        if histogram is None:
            if len(self.histograms) >= SERIES_MAX:
                self.counters[Count.TIMINGS_DROPPED] += 1
                return
            histogram = self.histograms[series] = Histogram()
        histogram.add(latency_s)

    def record_decision(
        self, event: str, flow: bytes, outcome: str, **inputs: object
    ) -> None:
        """Queues a decision; only counts it past ``DECISIONS_KEPT``."""
        decision = Decision(event, flow, inputs, outcome)
        if event in COSTLY_EVENTS:
            self.costly.append(decision)
        if len(self.decisions) >= DECISIONS_KEPT:
            self.counters[Count.DECISIONS_DROPPED] += 1
            return
        self.decisions.append(decision)


class NotReady(enum.StrEnum):
    """Why routers should not send flows to a process.

    Attributes:
        STARTING: Nothing has been checked yet.
        STOPPING: A planned stop has begun.
        NO_STATE: Neither the platform nor another balancer has told what is
            published.
        CONFIGURATION_REFUSED: The published configuration is invalid, and there
            is no former one.
        NO_CONFIGURATION: The list of servers is known, but no configuration.
        NO_SERVERS: The configuration is known, but no list of servers.
        ISOLATED: Neither agents nor other balancers are heard.
    """

    STARTING = "starting"
    STOPPING = "stopping"
    NO_STATE = "published state unknown"
    CONFIGURATION_REFUSED = "configuration refused"
    NO_CONFIGURATION = "no configuration"
    NO_SERVERS = "no list of servers"
    ISOLATED = "isolated"


class Readiness(Struct, eq=False):
    """Records why a process is not ready, and since when.

    Attributes:
        records: Receives the decisions.
        since: Since when the process is not ready, seconds: first since its
            start, ``-inf`` if that is unknown; None if it is ready.
        reason: Why it is not ready; None if it is.
        reason_since: Since when that is the reason, seconds.
        log_due: When the reason is next logged, seconds.
        log_interval_s: Time from then to the next record, seconds.
    """

    records: Records
    since: float | None
    reason: NotReady | None = NotReady.STARTING
    reason_since: float = float("-inf")
    log_due: float = float("-inf")
    log_interval_s: float = FIRST_LOG_INTERVAL_S

    def update(
        self,
        reason: NotReady | None,
        now: float,
        inputs: Callable[[float], dict[str, object]],
    ) -> None:
        """Records a change of the reason, and a reason that lasts.

        Args:
            reason: Why the process is not ready; None if it is.
            now: Runtime clock, seconds.
            inputs: Returns what the reason is based on, for the log.
        """
        changed = reason is not self.reason
        if not changed and (reason is None or now < self.log_due):
            return
        if self.since is None:
            self.since = now
        if changed:
            former, self.reason, self.reason_since = self.reason, reason, now
            self.log_interval_s = FIRST_LOG_INTERVAL_S
        waited_s = round(now - self.since, 3)
        if reason is None:
            self.since = None
            self.records.record_decision(
                "ready", b"", f"was {former}", waited_s=waited_s, **inputs(now)
            )
            return
        self.log_due = now + self.log_interval_s
        self.log_interval_s = min(2 * self.log_interval_s, MAX_LOG_INTERVAL_S)
        self.records.record_decision(
            "not ready",
            b"",
            reason.value,
            waited_s=waited_s,
            reason_s=round(now - self.reason_since, 3),
            **inputs(now),
        )

    def not_ready_s(self, now: float) -> float:
        """Returns how long the process has not been ready, seconds."""
        return 0.0 if self.since is None else now - self.since
