"""Routes and backend servers as the platform publishes them."""

import enum
from collections.abc import Mapping

from msgspec import Struct
from msgspec.structs import replace

from notchhoist.base.errors import ConfigurationProblem
from notchhoist.flows.model.wishes import LEAST_LEFT_S, Wish

FOREVER = float("inf")


class RequestKind(enum.Enum):
    """What the requests of a route are like.

    Attributes:
        IDEMPOTENT: They may run more than once; flows carry many of them.
        ONCE_ONLY: They may run once; a flow carries one.
        UPLOAD: Large requests that may run once; a flow carries one.
    """

    IDEMPOTENT = "idempotent"
    ONCE_ONLY = "once-only"
    UPLOAD = "upload"


class Route(Struct, frozen=True):
    """Where the new flows to one service address go.

    Attributes:
        name: Name for people.
        service_key: Opaque key of the service address.
        kind: What its requests are like.
        targets: Services with their weights, at least one.
        priority: 0 is the highest.
        objective_ms: Latency objective, ms.
        timeout_ms: Longest time of a request, ms.
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
        """The services that it names, also those of weight 0."""
        return tuple(service for service, _ in self.targets)

    @property
    def splits(self) -> bool:
        """Whether it names several services."""
        return len(self.targets) > 1

    @property
    def long_lived(self) -> bool:
        """Whether a flow carries many requests."""
        return self.kind is RequestKind.IDEMPOTENT

    def wish(self, age_s: float = 0.0, may_be_retry: bool = False) -> Wish:
        """Returns what agents are told of its requests.

        Args:
            age_s: How long the caller has been waiting, seconds.
            may_be_retry: See ``Wish``.
        """
        return Wish(
            objective_s=self.objective_ms / 1000,
            age_s=age_s,
            left_s=self.left_s(age_s),
            may_be_retry=may_be_retry,
            priority=self.priority,
            upload=self.kind is RequestKind.UPLOAD,
        )

    def left_s(self, age_s: float) -> float:
        """Returns how long a caller still waits, seconds; 0 if unknown."""
        if not self.timeout_ms:
            return 0.0
        return max(LEAST_LEFT_S, self.timeout_ms / 1000 - age_s)


class ColdBound(Struct, frozen=True):
    """What the backend servers of a service bear while they are cold.

    Attributes:
        service: Name of the service.
        per_s: New flows that a cold server bears in a second.
        lasts_s: How long a server is cold after its start, seconds.
    """

    service: str
    per_s: float
    lasts_s: float


class RouteTable(Struct, frozen=True):
    """One version of the published configuration.

    Attributes:
        version: Rises with each change.
        routes: Routes by the key of their service address.
        idle_s: A flow may be forgotten after this much silence, seconds.
        cold_bounds: Bounds of the services that have one.
        unread: Keys of routes that stand there and could not be read; empty
            where another balancer told it, likewise.
        problems: What could not be read of it; empty where another balancer
            told it, as only those are told that read the platform.
    """

    version: int
    routes: Mapping[bytes, Route]
    idle_s: float
    problems: tuple[ConfigurationProblem, ...] = ()
    cold_bounds: tuple[ColdBound, ...] = ()
    unread: frozenset[bytes] = frozenset()

    def with_former(self, former: "RouteTable | None") -> "RouteTable":
        """Returns the same with unread routes as they were in force before.

        A balancer that has started since then does not have them; it is told
        them, and does not take them from others by telling the same version.
        """
        if former is None:
            return self
        same = self.version == former.version
        unread = self.unread | former.unread if same else self.unread
        if not unread:
            return self
        kept = {
            key: former.routes[key] for key in unread if key in former.routes
        }
        return replace(self, routes={**kept, **self.routes}, unread=unread)

    def cold_bound(self, service: str) -> ColdBound | None:
        """Returns the bound of a service's cold servers, or None."""
        for bound in self.cold_bounds:
            if bound.service == service:
                return bound
        return None


class ServerEntry(Struct, frozen=True):
    """A backend server as it announces itself.

    Attributes:
        server_id: Its id; a server that starts again may have the same one.
        service: Service that it runs.
        host: IP number of its host, where its agent is too.
        zone: Availability zone.
        slots: Requests that it works on at once.
        draining: It takes no new work.
        warm_in_s: How long it stays slow after its start, seconds.
        created: Grows with the order in which entries were created.
        born_ms: When it started by its own clock, Unix ms; 0 if not told. Only
            good for telling one incarnation from another.
        withdrawn: It drains because its entry could not be read, not because
            it has said so.
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

    def is_same_as(self, other: "ServerEntry") -> bool:
        """Tells whether two entries of one id are of the same incarnation."""
        told = self.born_ms and other.born_ms
        reborn = told and self.born_ms != other.born_ms
        return not reborn and self.is_beside(other)

    def is_beside(self, other: "ServerEntry") -> bool:
        """Tells whether both are served by one agent."""
        return (self.host, self.service) == (other.host, other.service)


class Server(Struct, eq=False):
    """What a balancer knows of a backend server.

    Attributes:
        entry: Its entry, as last published.
        tag: Tag of its service.
        warm_at: When it is past its slow start; runtime clock, seconds.
        began_cold: It was still slow from its start when it was first seen.
        unlisted_at: When its entry vanished; ``FOREVER`` while it is listed.
        flows: Open flows, as last told plus those placed since.
        running: Unanswered requests, likewise.
        offered: Flows that this balancer has offered and that its agent has
            not answered; a load that it tells meanwhile leaves them out.
        pace_ms: Its service time, ms; 0 if unknown.
        heard_at: When its agent was last heard.
        probed_at: When the first unanswered probe went out, or None.
        probe_sent_at: When the last probe went out.
        suspected: Its agent owes an answer; no new flows.
        lost: Its agent has been silent so long that its flows are given up.
        restarting_until: Its agent is away until then and comes back: it said
            so, or its host refused a connection.
        checked_at: When a check of its host last ended, seconds.
        refused_since: Since when its host has refused every connection, and its
            agent was not heard, seconds, or None.
        full_until: Its agent has said that until then it bears no new flow.
        state_told: Revision of what this balancer last told its agent.
        told_at: When that was, seconds.
        reborn: It has the id of a server that it has replaced.
    """

    entry: ServerEntry
    tag: int
    warm_at: float
    began_cold: bool = False
    unlisted_at: float = FOREVER
    flows: int = 0
    running: int = 0
    offered: int = 0
    pace_ms: int = 0
    heard_at: float = float("-inf")
    probed_at: float | None = None
    probe_sent_at: float = float("-inf")
    suspected: bool = False
    lost: bool = False
    restarting_until: float = float("-inf")
    checked_at: float = float("-inf")
    refused_since: float | None = None
    full_until: float = float("-inf")
    state_told: int = 0
    told_at: float = float("-inf")
    reborn: bool = False

    def note_offer(self) -> None:
        """Takes account of a new flow that is offered to it."""
        self.offered += 1
        self.flows += 1
        self.running += 1

    def note_offer_ended(self) -> None:
        """Takes account of an answer to an offer, or of none in time."""
        if self.offered:
            self.offered -= 1
            self.flows -= 1
            self.running -= 1

    def note_load(self, flows: int, running: int, pace_ms: int) -> None:
        """Takes what its agent tells; offers under way count besides.

        Without them a balancer that placed 200 flows in a moment took each
        answer's load, counted before the rest had come, for the whole: after
        a loss of power one server got twice as many as the next.
        """
        self.flows = flows + self.offered
        self.running = running + self.offered
        self.pace_ms = pace_ms

    @property
    def listed(self) -> bool:
        """Whether its entry is published."""
        return self.unlisted_at == FOREVER
