"""Blackboards of the opaque-flow path: what each role knows."""

import collections
import enum

from msgspec import Struct, field

from notchhoist.flows.effects import Effect
from notchhoist.flows.fleet import Route, RouteTable, Server
from notchhoist.flows.held import HeldFlow
from notchhoist.flows.holding import HeldRequest
from notchhoist.flows.mechanisms import ALL, Mechanisms
from notchhoist.flows.segments import Segment
from notchhoist.flows.view import FleetView

REASONED = frozenset(["reset", "refuse", "give up finding", "leave to others"])
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
    REFUSED = "refused"
    FINDS = "finds"
    FOUND = "found"
    FOUND_NOWHERE = "found_nowhere"
    FINDS_GIVEN_UP = "finds_given_up"
    RESETS = "resets"
    VIEWS_CONFIRMED = "views_confirmed"
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
    REFUSED_AT_ONCE = "refused_at_once"
    CALLERS_LEFT = "callers_left"
    BACKEND_GONE = "backend_gone"
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


class Placement(Struct, eq=False):
    """Where a balancer believes a flow to be.

    Attributes:
        server: The backend server.
        accepted: Its server has accepted, or the flow was found there.
        last_at: When the flow was last used, seconds.
        last: The caller's newest packet, to reset the flow by.
        closing: The caller has ended it.
        asked_since: When the caller began to wait for its first request, or
            None once that has gone to the server.
    """

    server: Server
    accepted: bool
    last_at: float
    last: Segment
    closing: bool = False
    asked_since: float | None = None


class Opening(Struct, eq=False):
    """A new flow that no backend server has accepted yet.

    Attributes:
        asked_since: When its caller began to wait, seconds.
        segment: Its opening packet.
        service: Its service.
        route: Its route.
        sent_at: When it was last offered, seconds.
        tried: Ids of the servers that it was offered to.
        may_be_retry: See ``Wish``.
    """

    asked_since: float
    segment: Segment
    service: str
    route: Route
    sent_at: float
    tried: list[str]
    may_be_retry: bool = False


class Search(Struct, eq=False):
    """A flow that is being looked for.

    Attributes:
        service: Its service.
        waiting: Packets that wait for the outcome.
        unanswered: Hosts of agents that have not answered.
        unsure: Hosts of agents that cannot tell.
        trying: Hosts of agents that a packet was handed to on suspicion.
        answered_s: When all agents had answered, seconds after its begin; 0
            where none was unsure.
        try_s: How long they have to tell what came of it, seconds.
        sent_at: When it was last asked for, seconds.
        rounds: How many times it was asked for.
        since: When it began, seconds.
        asked: Hosts of all agents that were asked.
        silent: Hosts of agents that were tried and have shown nothing.
        denied_at: When every known agent had denied, or None.
    """

    service: str
    waiting: list[Segment]
    unanswered: set[str]
    unsure: list[str]
    trying: set[str] = field(default_factory=set)
    answered_s: float = 0.0
    try_s: float = 0.0
    sent_at: float = 0.0
    rounds: int = 0
    since: float = 0.0
    asked: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)
    denied_at: float | None = None


class BalancerBoard(Struct, eq=False):
    """What a balancer knows.

    Attributes:
        zone: Its availability zone.
        host: IP number of its host.
        view: What the platform publishes, by revision.
        table: The configuration in force, or None before the first.
        servers: Backend servers by id, gone ones too for a while.
        by_service: The same by service.
        by_host: The newest one on each host.
        fleet_known: The list of servers has been read.
        known_since: When it was first read, seconds.
        store_failed_at: When the store last failed this process, seconds.
        flows: Where flows are, least recently used first.
        openings: New flows that wait for a server.
        searches: Flows that are being looked for.
        records: Counters and decisions.
        outbox: What is to be done.
        stopping: A planned stop has begun.
        refused: Why the last published document was refused, or empty.
        problems: Parts of published documents that were not understood.
        isolated: Nobody else is heard, neither agents nor balancers.
        uses: Which mechanisms are in use.
    """

    zone: str
    host: str
    view: FleetView = field(default_factory=FleetView)
    table: RouteTable | None = None
    servers: dict[str, Server] = field(default_factory=dict)
    by_service: dict[str, list[Server]] = field(default_factory=dict)
    by_host: dict[str, Server] = field(default_factory=dict)
    fleet_known: bool = False
    known_since: float = float("inf")
    store_failed_at: float = float("-inf")
    flows: collections.OrderedDict[bytes, Placement] = field(
        default_factory=collections.OrderedDict
    )
    openings: dict[bytes, Opening] = field(default_factory=dict)
    searches: dict[bytes, Search] = field(default_factory=dict)
    records: Records = field(default_factory=Records)
    outbox: list[Effect] = field(default_factory=list)
    stopping: bool = False
    refused: str = ""
    problems: list[str] = field(default_factory=list)
    isolated: bool = False
    uses: Mechanisms = ALL


class AgentBoard(Struct, eq=False):
    """What an agent knows.

    Attributes:
        service: Service of the backend server.
        tag: Tag of that service.
        started_at: When the agent started, seconds.
        sees_all: It started with the whole system: every flow of its server
            has begun before its eyes.
        flows: Flows of the backend server.
        slots: Requests that the backend server works on at once; 0 while
            nobody has told.
        active: Flows whose request holds a slot.
        waiting: Requests that wait for a slot, by flow.
        pace_s: Smoothed service time, seconds; 0 if unknown.
        backend_gone: The backend server does not listen any more.
        check_due: When to look at a silent backend server, or ``inf``.
        checking: A look is under way.
        checked_at: When the last look ended, seconds.
        balancers: When each balancer was last heard, by host.
        records: Counters and decisions.
        outbox: What is to be done.
        stopping: A planned stop has begun.
        uses: Which mechanisms are in use.
    """

    service: str
    tag: int
    started_at: float
    sees_all: bool = False
    flows: dict[bytes, HeldFlow] = field(default_factory=dict)
    slots: int = 0
    active: set[bytes] = field(default_factory=set)
    waiting: dict[bytes, HeldRequest] = field(default_factory=dict)
    pace_s: float = 0.0
    backend_gone: bool = False
    check_due: float = float("inf")
    checking: bool = False
    checked_at: float = float("-inf")
    balancers: dict[str, float] = field(default_factory=dict)
    records: Records = field(default_factory=Records)
    outbox: list[Effect] = field(default_factory=list)
    stopping: bool = False
    uses: Mechanisms = ALL

    def age_s(self, now: float) -> float:
        """Returns how long ago the agent started, seconds."""
        return now - self.started_at
