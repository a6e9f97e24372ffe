"""Routes and backend servers as the platform publishes them."""

import enum
from collections.abc import Mapping

from msgspec import Struct
from msgspec.structs import replace

from notchhoist.base.errors import ConfigurationProblem
from notchhoist.flows.model.request_hints import REMAINING_MIN_S, RequestHints

NEVER = float("inf")


class RequestKind(enum.Enum):
    """Kind of the requests of a route.

    Attributes:
        IDEMPOTENT: They may run more than once; a flow carries many of them.
        ONCE_ONLY: Each may run only once; a flow carries one.
        UPLOAD: Large requests that may run only once; a flow carries one.
    """

    IDEMPOTENT = "idempotent"
    ONCE_ONLY = "once-only"
    UPLOAD = "upload"


class Route(Struct, frozen=True):
    """Services that get the new flows of one service address.

    Attributes:
        name: Name for operators.
        service_key: Opaque key of the service address.
        kind: Kind of its requests.
        targets: At least one service, each with its weight.
        priority: 0 is the highest.
        objective_ms: Latency objective, ms.
        timeout_ms: Timeout of a request, ms.
    """

    name: str
    service_key: bytes
    kind: RequestKind
    targets: tuple[tuple[str, int], ...]
    priority: int = 0
    objective_ms: float = 0.0
    timeout_ms: float = 0.0

    @property
    def services(self) -> tuple[str, ...]:
        """The services that it names, including those of weight 0."""
        return tuple(service for service, _ in self.targets)

    @property
    def is_split(self) -> bool:
        """Whether it names several services."""
        return len(self.targets) > 1

    @property
    def is_multi_request(self) -> bool:
        """Whether a flow carries many requests."""
        return self.kind is RequestKind.IDEMPOTENT

    def request_hints(
        self, age_s: float = 0.0, may_be_retry: bool = False
    ) -> RequestHints:
        """Returns the hints on its requests that are sent to agents.

        Args:
            age_s: How long the caller has been waiting, seconds.
            may_be_retry: See ``RequestHints``.
        """
        return RequestHints(
            objective_s=self.objective_ms / 1000,
            waited_s=age_s,
            remaining_s=self.remaining_s(age_s),
            may_be_retry=may_be_retry,
            priority=self.priority,
            upload=self.kind is RequestKind.UPLOAD,
        )

    def remaining_s(self, age_s: float) -> float:
        """Returns how long a caller still waits, seconds; 0 if unknown."""
        if not self.timeout_ms:
            return 0.0
        return max(REMAINING_MIN_S, self.timeout_ms / 1000 - age_s)


class ColdBound(Struct, frozen=True):
    """Limit of new flows for backend servers of a service in slow start.

    Attributes:
        service: Name of the service.
        per_s: New flows per second that a cold server accepts.
        lasts_s: How long slow start lasts after a server's start, seconds.
    """

    service: str
    per_s: float
    lasts_s: float


class RouteTable(Struct, frozen=True):
    """One version of the published configuration.

    Attributes:
        version: Increases with each change.
        routes: Routes by the key of their service address.
        idle_s: Idle time after which a flow may be dropped, seconds.
        cold_bounds: Cold bounds of the services that have one.
        unreadable: Keys of routes in the document that could not be parsed;
            empty if the table came from another balancer.
        problems: What could not be parsed; empty if the table came from another
            balancer, as only balancers that read the platform get it.
    """

    version: int
    routes: Mapping[bytes, Route]
    idle_s: float
    problems: tuple[ConfigurationProblem, ...] = ()
    cold_bounds: tuple[ColdBound, ...] = ()
    unreadable: frozenset[bytes] = frozenset()

    def with_unreadable_routes_of(
        self, former: "RouteTable | None"
    ) -> "RouteTable":
        """Returns a copy that takes unreadable routes from the former table.

        A balancer that started later does not have these routes. It gets them
        from the others and does not remove them there by sending its own table
        of the same version.
        """
        if former is None:
            return self
        same = self.version == former.version
        unread = (
            self.unreadable | former.unreadable if same else self.unreadable
        )
        if not unread:
            return self
        kept = {
            key: former.routes[key] for key in unread if key in former.routes
        }
        return replace(self, routes={**kept, **self.routes}, unreadable=unread)

    def cold_bound(self, service: str) -> ColdBound | None:
        """Returns the cold bound of a service, or None."""
        for bound in self.cold_bounds:
            if bound.service == service:
                return bound
        return None


class ServerEntry(Struct, frozen=True):
    """Published entry of a backend server.

    Attributes:
        server_id: Its id; a restarted server may keep it.
        service: Service that it runs.
        host: IP address of its host, where its agent runs too.
        zone: Availability zone.
        slots: Requests that it processes concurrently.
        draining: It takes no new work.
        warm_in_s: Remaining time of its slow start, seconds.
        created: Increases in the order in which entries were created.
        born_ms: Its start time by its own clock, Unix ms; 0 if not published.
            It serves only to tell incarnations apart.
        withdrawn: It counts as draining because its entry could not be parsed,
            not because the server announced it.
    """

    server_id: str
    service: str
    host: str
    zone: str
    slots: int
    draining: bool
    warm_in_s: float = 0.0
    created: int = 0
    born_ms: int = 0
    withdrawn: bool = False

    def is_same_incarnation_as(self, other: "ServerEntry") -> bool:
        """Tells whether two entries with one id are of the same incarnation."""
        both_known = self.born_ms and other.born_ms
        restarted = both_known and self.born_ms != other.born_ms
        return not restarted and self.shares_agent_with(other)

    def shares_agent_with(self, other: "ServerEntry") -> bool:
        """Tells whether one agent serves both servers."""
        return (self.host, self.service) == (other.host, other.service)


class Server(Struct, eq=False):
    """State of a backend server as known to a balancer.

    Attributes:
        entry: Its entry, as last published.
        tag: Tag of its service.
        warm_at: When its slow start ends; runtime clock, seconds.
        first_seen_cold: It was in slow start when it was first seen.
        unlisted_at: When its entry was unlisted; ``NEVER`` while it is
            listed.
        flows: Open flows: the last reported number plus flows placed since.
        running: Unanswered requests, counted likewise.
        offered: Flows that this balancer has offered and that the agent has not
            answered; loads that the agent reports meanwhile omit them.
        service_time_ms: Its service time, ms; 0 if unknown.
        heard_at: When its agent was last heard.
        unanswered_probe_at: When the first unanswered health probe was sent, or
            None.
        silent_from: When its agent was last heard before it last failed to
            answer in time, seconds.
        silent_until: When it was heard again, seconds.
        probe_sent_at: When the last health probe was sent.
        suspected: Its agent has not answered in time; it gets no new flows.
        lost: Its agent has been silent for so long that it is declared lost,
            with its flows.
        restarting_until: Its agent is expected to be restarting until then: the
            agent announced it, or its host refused a connection.
        checked_at: When the last check of its host ended, seconds.
        refused_since: Since when its host has refused every connection while
            its agent was silent, seconds, or None.
        at_cold_bound_until: Its agent has reported that it is at its cold bound
            and accepts no new flow until then.
        state_sent_revision: Revision of the ``ServerState`` that this balancer
            last sent to its agent.
        state_sent_at: When that was sent, seconds.
        is_restart: It has the id of a server that it has replaced.
        reads_names: Its agent reads the name of the service behind an opening
            packet, as far as is known.
        other_service: The service that the agent at its address runs, if that
            is not its own; else empty.
    """

    entry: ServerEntry
    tag: int
    warm_at: float
    first_seen_cold: bool = False
    unlisted_at: float = NEVER
    flows: int = 0
    running: int = 0
    offered: int = 0
    service_time_ms: int = 0
    heard_at: float = float("-inf")
    unanswered_probe_at: float | None = None
    silent_from: float = float("-inf")
    silent_until: float = float("-inf")
    probe_sent_at: float = float("-inf")
    suspected: bool = False
    lost: bool = False
    restarting_until: float = float("-inf")
    checked_at: float = float("-inf")
    refused_since: float | None = None
    at_cold_bound_until: float = float("-inf")
    state_sent_revision: int = 0
    state_sent_at: float = float("-inf")
    is_restart: bool = False
    reads_names: bool = True
    other_service: str = ""

    def record_offer(self) -> None:
        """Counts a new flow that is offered to the server."""
        self.offered += 1
        self.flows += 1
        self.running += 1

    def record_offer_end(self) -> None:
        """Stops counting an offer that was answered or has timed out."""
        if self.offered:
            self.offered -= 1
            self.flows -= 1
            self.running -= 1

    def record_load(
        self, flows: int, running: int, service_time_ms: int
    ) -> None:
        """Records the load that the agent reports, plus pending offers.

        A reported load does not include offers that had not arrived when it was
        counted. Without adding them, a balancer that placed 200 flows at once
        took each reply's load for the whole load: after a power loss, one
        server got twice as many flows as the next one.
        """
        self.flows = flows + self.offered
        self.running = running + self.offered
        self.service_time_ms = service_time_ms

    def was_silent_at(self, when: float) -> bool:
        """Tells whether what its agent sent at a time may have been lost."""
        return self.silent_from <= when < self.silent_until

    @property
    def listed(self) -> bool:
        """Whether its entry is published."""
        return self.unlisted_at == NEVER
