"""What a node keeps for its operators: counters, latencies and decisions."""

import collections
import enum

from msgspec import Struct, field

REASONED = frozenset(
    ["reset", "refuse", "turn away", "give up finding", "leave to others"]
)
FOLLOWED = frozenset(["place", "find", "release", "give back"])
"""Decisions on a caller's flow that cost it nothing."""

REASONED_KEPT = 200
"""Decisions that cost a caller something are kept for questions: the last few
seconds of a bad moment."""

SERIES_MAX = 2000
"""Histograms of one process; 430 services with four outcomes fit in."""

DECISIONS_KEPT = 1000
"""Decisions that wait for the log at the most."""


BUCKETS_S = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0),
    float("inf"),
)
"""Bounds of the latency histogram, seconds: from a round trip within a zone to
the longest deadline."""


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
    PROBED_AT_REST = "probed_at_rest"
    LEFT_FOR_GOOD = "left_for_good"
    DECISIONS_DROPPED = "decisions_dropped"
    TIMINGS_DROPPED = "timings_dropped"


class Timing(enum.StrEnum):
    """What is timed; each has a histogram by service and outcome.

    Attributes:
        OPENING: From offering a new flow to its acceptance.
        FINDING: From the first question for an unknown flow to the outcome.
        SERVICE: From a request to its answer, at the agent.
        WAITING: How long a request waited for a slot.
        STORE: A call to the platform's store.
        FORWARDING: What one packet takes here; a sample.
    """

    OPENING = "opening"
    FINDING = "finding"
    SERVICE = "service"
    WAITING = "waiting"
    STORE = "store"
    FORWARDING = "forwarding"
    LINK = "link"


class Series(Struct, frozen=True):
    """What one histogram holds.

    Attributes:
        timing: What is timed.
        service: Name of the service, or empty.
        outcome: How it ended.
    """

    timing: Timing
    service: str
    outcome: str


class Histogram(Struct, eq=False):
    """Latencies by the bounds in ``BUCKETS_S``.

    Attributes:
        counts: How many there were, by bucket.
        total_s: Their sum, seconds.
    """

    counts: dict[float, int] = field(default_factory=dict)
    total_s: float = 0.0

    def add(self, latency_s: float) -> None:
        """Counts a latency."""
        bound = next(bound for bound in BUCKETS_S if latency_s <= bound)
        self.counts[bound] = self.counts.get(bound, 0) + 1
        self.total_s += latency_s


class Decision(Struct, frozen=True):
    """One decision, for the log.

    Attributes:
        event: What was decided.
        flow: The flow that it touches, or empty.
        inputs: What decided it, with ages or versions.
        outcome: What came of it.
    """

    event: str
    flow: bytes
    inputs: dict[str, object]
    outcome: str


class Records(Struct, eq=False):
    """What both roles keep for their operators.

    Attributes:
        counters: Counts since the start.
        decisions: Decisions that the log has not taken yet.
        histograms: Latencies by what was timed.
        reasoned: The last decisions that cost a caller something.
    """

    counters: collections.Counter[Count] = field(
        default_factory=collections.Counter
    )
    decisions: collections.deque[Decision] = field(
        default_factory=collections.deque
    )
    histograms: dict[Series, Histogram] = field(default_factory=dict)
    reasoned: collections.deque[Decision] = field(
        default_factory=lambda: collections.deque(maxlen=REASONED_KEPT)
    )

    def observe(
        self, timing: Timing, service: str, outcome: str, latency_s: float
    ) -> None:
        """Counts a latency; past ``SERIES_MAX`` histograms it is dropped."""
        series = Series(timing, service, outcome)
        histogram = self.histograms.get(series)
        if histogram is None:
            if len(self.histograms) >= SERIES_MAX:
                self.counters[Count.TIMINGS_DROPPED] += 1
                return
            histogram = self.histograms[series] = Histogram()
        histogram.add(latency_s)

    def decide(
        self, event: str, flow: bytes, outcome: str, **inputs: object
    ) -> None:
        """Notes a decision; past ``DECISIONS_KEPT`` it is only counted."""
        decision = Decision(event, flow, inputs, outcome)
        if event in REASONED:
            self.reasoned.append(decision)
        if len(self.decisions) >= DECISIONS_KEPT:
            self.counters[Count.DECISIONS_DROPPED] += 1
            return
        self.decisions.append(decision)
