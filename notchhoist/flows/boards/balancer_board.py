"""The blackboard of a balancer."""

import collections

from msgspec import Struct, field

from notchhoist.flows.decisions.attempts import BusyShares
from notchhoist.flows.decisions.reaching import ACCEPT_WAIT_S
from notchhoist.flows.model.effects import Effect
from notchhoist.flows.model.fleet import Route, RouteTable, Server
from notchhoist.flows.model.mechanisms import ALL, Mechanisms
from notchhoist.flows.model.records import Records
from notchhoist.flows.model.segments import Segment
from notchhoist.flows.model.view import FleetView

ANSWER_S = 0.1
"""An agent's answer is here within this time, seconds; 30 round trips."""


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
        used_since: When the first packet after the opening went there, seconds;
            long ago for a flow that was found there.
        inferred: The acceptance was concluded from the caller's packet; no
            agent has told of it.
    """

    server: Server
    accepted: bool
    last_at: float
    last: Segment
    closing: bool = False
    asked_since: float | None = None
    used_since: float = float("-inf")
    inferred: bool = False

    @property
    def is_shown(self) -> bool:
        """Whether the agent has been heard since it got a packet of the flow.

        It gives back at once what is not there: the caller may have chosen
        another server, which another balancer had offered the flow to.
        """
        heard = self.server.heard_at - self.used_since > ANSWER_S
        return heard and not self.last.opens


class Opening(Struct, eq=False):
    """A new flow that no backend server has accepted yet.

    Attributes:
        asked_since: When its caller began to wait, seconds.
        segment: Its opening packet.
        service: Its service.
        route: Its route.
        sent_at: When it was last offered, seconds.
        wait_s: How long that offer may go unanswered, seconds.
        tried: Ids of the servers that it was offered to.
        busy: Ids of those of them that had no free slot for it.
        if_free: It was last offered on the condition that a slot is free.
        may_be_retry: See ``Wish``.
    """

    asked_since: float
    segment: Segment
    service: str
    route: Route
    sent_at: float
    tried: list[str]
    busy: list[str] = field(default_factory=list)
    wait_s: float = ACCEPT_WAIT_S
    if_free: bool = False
    may_be_retry: bool = False


class Search(Struct, eq=False):
    """A flow that is being looked for.

    Attributes:
        services: Services that may hold it, the likely one first; logs and
            metrics name that one.
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
        asked: Hosts of all agents that were asked, each with the tag of the
            service that it was asked under.
        wide: How many of them are beside servers of services that its route
            does not name.
        partial: Some of these were not asked, since too many were already.
        silent: Hosts of agents that were tried and have shown nothing.
        denied_at: When every known agent had denied, or None.
    """

    services: tuple[str, ...]
    waiting: list[Segment]
    unanswered: set[str]
    unsure: list[str]
    trying: set[str] = field(default_factory=set)
    answered_s: float = 0.0
    try_s: float = 0.0
    sent_at: float = 0.0
    rounds: int = 0
    since: float = 0.0
    asked: dict[str, int] = field(default_factory=dict)
    wide: int = 0
    partial: bool = False
    silent: set[str] = field(default_factory=set)
    denied_at: float | None = None


class ZoneState(Struct, eq=False):
    """What a balancer knows of an availability zone.

    Attributes:
        evacuated_at: When it learnt that the zone is evacuated, seconds; None
            while it is not.
        returned_at: When it learnt that the last evacuation was withdrawn.
    """

    evacuated_at: float | None = None
    returned_at: float = float("-inf")


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
        zones: Availability zones that are or were evacuated, by name.
        fleet_known: The list of servers has been read.
        known_since: When it was first read, seconds.
        whole_since: Since when every change to it is known, seconds.
        placing_since: When any balancer that is known of may first have placed
            a flow, seconds.
        splits: A route names several services.
        placed: New flows by service, for each route that splits, since its
            weights changed here.
        rerouted_at: When a route last named a service that it no longer names,
            seconds.
        confirmed_at: Everything that the platform had published up to this
            time is known, seconds.
        confirmed_by: Host of the balancer that told so; empty for the platform.
        store_failed_at: When the store last failed this process, seconds.
        store_answered_at: When it last answered it, seconds.
        store_revision: Revision that the store named in its last answer.
        store_era: Era of the store that its last answer was of.
        flows: Where flows are, least recently used first.
        displaced: Flows whose server has given its host to another one, with
            the service of the former, until somebody looks after them.
        openings: New flows that wait for a server.
        busy_shares: How often new flows find no free slot.
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
    zones: dict[str, ZoneState] = field(default_factory=dict)
    fleet_known: bool = False
    known_since: float = float("inf")
    whole_since: float = float("inf")
    placing_since: float = float("inf")
    splits: bool = False
    placed: dict[bytes, collections.Counter[str]] = field(default_factory=dict)
    rerouted_at: float = float("-inf")
    confirmed_at: float = float("-inf")
    confirmed_by: str = ""
    store_failed_at: float = float("-inf")
    store_answered_at: float = float("-inf")
    store_revision: int = 0
    store_era: int = 0
    flows: collections.OrderedDict[bytes, Placement] = field(
        default_factory=collections.OrderedDict
    )
    displaced: dict[bytes, str] = field(default_factory=dict)
    openings: dict[bytes, Opening] = field(default_factory=dict)
    busy_shares: BusyShares = field(default_factory=BusyShares)
    searches: dict[bytes, Search] = field(default_factory=dict)
    records: Records = field(default_factory=Records)
    outbox: list[Effect] = field(default_factory=list)
    stopping: bool = False
    refused: str = ""
    problems: list[str] = field(default_factory=list)
    isolated: bool = False
    uses: Mechanisms = ALL

    @property
    def confirmed_clock(self) -> float | None:
        """``confirmed_at`` for the log, seconds; None if there was none."""
        never = self.confirmed_at == float("-inf")
        return None if never else round(self.confirmed_at, 4)

    def move_flows(self, old: Server, new: Server) -> None:
        """Moves the flows of a server to the one that has replaced it.

        Its agent will say that they are gone.
        """
        for flow, placement in self.flows.items():
            if placement.server is old:
                placement.server = new
                if not self.uses.resting:
                    continue
                # Several changes may be told at once: the first counts.
                self.displaced.setdefault(flow, old.entry.service)
