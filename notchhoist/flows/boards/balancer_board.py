"""The blackboard of a balancer: the state that its controllers share."""

import collections

from msgspec import Struct, field

from notchhoist.flows.decisions.attempts import BusyShares
from notchhoist.flows.decisions.completeness import CONTACT_S
from notchhoist.flows.decisions.zone_distance import ACCEPT_WAIT_S
from notchhoist.flows.model.effects import Effect
from notchhoist.flows.model.fleet import Route, RouteTable, Server
from notchhoist.flows.model.mechanisms import ALL, Mechanisms
from notchhoist.flows.model.records import NotReady, Records
from notchhoist.flows.model.segments import Segment
from notchhoist.flows.model.view import FleetView

AGENT_ANSWER_MAX_S = 0.1
"""Longest time until an agent's answer arrives, seconds; 30 round trips."""


class Placement(Struct, eq=False):
    """The backend server that a balancer forwards a flow to.

    Attributes:
        server: The backend server.
        accepted: The server has accepted the flow, or the flow was found there.
        last_at: When the flow was last used, seconds.
        last: The caller's newest packet; a reset of the flow is derived from
            it.
        closing: The caller has closed the flow.
        waiting_since: When the caller began to wait for its first request,
            seconds, or None once that request was forwarded.
        first_forwarded_at: When the first packet after the opening one was
            forwarded, seconds; ``-inf`` for a flow that was found there.
        acceptance_inferred: The acceptance was inferred from the caller's
            packet; no agent has reported it.
    """

    server: Server
    accepted: bool
    last_at: float
    last: Segment
    closing: bool = False
    waiting_since: float | None = None
    first_forwarded_at: float = float("-inf")
    acceptance_inferred: bool = False

    def is_confirmed(self, resumed_at: float) -> bool:
        """Tells whether an answer of the agent confirms that the flow is there.

        An agent returns packets of unknown flows at once. So an agent that was
        heard after it got a packet of the flow has not returned it, unless it
        was silent when it got the packet, so that what it sent may be lost.
        Otherwise the flow may be elsewhere, though this server accepted it: the
        caller may have chosen another server, to which another balancer had
        offered it.

        Args:
            resumed_at: See ``BalancerBoard``.
        """
        if self.last.opens:
            return False
        if self.first_forwarded_at == float("-inf"):
            return True
        forwarded_at = self.first_forwarded_at
        if self.server.was_silent_at(forwarded_at):
            forwarded_at = self.last_at
        if self.server.was_silent_at(forwarded_at):
            return False
        since = max(forwarded_at, resumed_at)
        return self.server.heard_at - since > AGENT_ANSWER_MAX_S


class Opening(Struct, eq=False):
    """A new flow that no backend server has accepted yet.

    Attributes:
        waiting_since: When its caller began to wait, seconds.
        segment: Its opening packet (SYN).
        service: Its service.
        route: Its route.
        sent_at: When it was last offered, seconds.
        wait_s: Timeout of that offer, seconds.
        tried: Ids of the servers that it was offered to.
        busy: Ids of those of them that had no free slot.
        if_free: The last offer was conditional on a free slot.
        may_be_retry: See ``RequestHints``.
    """

    waiting_since: float
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
    """A search for the backend server that holds a flow.

    Attributes:
        services: Services that may hold the flow, the most likely one first;
            logs and metrics name that one.
        former_services: Services that earlier routes may have named, if it is
            unknown whether any did.
        waiting: Packets that wait for the outcome.
        unanswered: Hosts of agents that have not answered.
        unsure: Hosts of agents that started too recently to know.
        presumed: Hosts of such agents that are presumed not to have the flow,
            each with the time when its agent started, seconds.
        sampled: Hosts of unsure agents that were sent a sample packet.
        answered_s: Time from the start of the search until all agents had
            answered, seconds; 0 if none was unsure.
        sample_wait_s: Timeout of the sample packets, seconds.
        sent_at: When agents were last asked, seconds.
        rounds: How many times agents were asked.
        since: When the search started, seconds.
        asked: Hosts of all agents that were asked, each with the tag of the
            service that it was asked for.
        widened_by: How many of them serve services that the flow's route does
            not name.
        is_truncated: Some agents of such services were not asked, because too
            many queries were outstanding.
        silent: Hosts of agents that were sent a sample packet and did not
            report an outcome.
        all_absent_at: When every known agent had reported the flow absent,
            seconds, or None.
    """

    services: tuple[str, ...]
    waiting: list[Segment]
    unanswered: set[str]
    unsure: list[str]
    former_services: tuple[str, ...] = ()
    presumed: dict[str, float] = field(default_factory=dict)
    sampled: set[str] = field(default_factory=set)
    answered_s: float = 0.0
    sample_wait_s: float = 0.0
    sent_at: float = 0.0
    rounds: int = 0
    since: float = 0.0
    asked: dict[str, int] = field(default_factory=dict)
    widened_by: int = 0
    is_truncated: bool = False
    silent: set[str] = field(default_factory=set)
    all_absent_at: float | None = None


class ZoneState(Struct, eq=False):
    """The state of an availability zone, as a balancer knows it.

    Attributes:
        evacuated_at: When the balancer learnt that the zone is evacuated,
            seconds; None while it is not.
        returned_at: When it learnt that the last evacuation was withdrawn,
            seconds.
    """

    evacuated_at: float | None = None
    returned_at: float = float("-inf")


class PublishedProblem(Struct, eq=False):
    """A published item that is not understood, or only in part.

    Attributes:
        texts: What is wrong with it.
        seen_at: Revision of the last answer of the store that held it.
        server_id: Id of the server whose entry it is, or empty.
        is_configuration: It is the configuration.
    """

    texts: tuple[str, ...]
    seen_at: int
    server_id: str = ""
    is_configuration: bool = False


class BalancerBoard(Struct, eq=False):
    """The state of a balancer.

    Attributes:
        zone: Its availability zone.
        host: IP address of its host.
        started_at: When this process started, seconds.
        contact_s: How long after the start of a process nothing is promised for
            flows that pass it, seconds.
        view: What the platform publishes, by revision.
        table: The configuration in force, or None before the first.
        servers: Backend servers by id; exited ones are kept for a while.
        by_service: Backend servers by service.
        by_host: The newest backend server on each host.
        zones: Availability zones that are or were evacuated, by name.
        fleet_known: The list of servers has been read.
        list_known_since: When the list of servers was first read, seconds.
        list_complete_since: Since when every change to the list is known,
            seconds.
        first_placement_at: Earliest time at which any known balancer may have
            placed a flow, seconds.
        splits: A route names several services.
        placed: Number of new flows by service, for each route that names
            several, since its weights last changed here.
        rerouted_at: When a route last named a service that it no longer names,
            seconds.
        has_new_reroute: A configuration that did so was put in force and has
            not been dated yet.
        reroutes_known_since: Since when every such change is known, seconds.
        first_table_revision: Revision of the first configuration that was known
            here.
        last_checked_table: The configuration up to which such changes are
            dated.
        confirmed_at: Everything that the platform had published up to this
            time is known, seconds.
        confirmed_by: Host of the balancer that reported this; empty for the
            platform.
        store_failed_at: When the store last failed for this process, seconds.
        store_answered_at: When the store last answered this process, seconds.
        store_failures: Consecutive calls that the store has not answered.
        store_error: Why the last of them failed; empty if none did.
        store_call: Kind of the pending call of the store; empty if there is
            none.
        store_revision: Revision in the last answer of the store.
        store_era: Era of the store in its last answer.
        flows: Placements of flows, least recently used first.
        displaced: Flows whose server was replaced by another one on its host,
            with the service of the replaced server, until they are searched
            for.
        unlocated: Flows whose server is in doubt, until they are searched for:
            the service that most likely holds each, and the caller's newest
            packet.
        openings: New flows that no server has accepted yet.
        busy_shares: How often new flows find no free slot.
        searches: Searches for flows, by flow.
        records: Counters and decisions.
        outbox: Effects to perform.
        stopping: A planned stop has begun.
        refused: Why the last published document was refused, or empty.
        problems: Published items that are not understood, by key; see
            ``present_problems``.
        unkeyed_problems: Keys in ``problems`` of items without a readable key,
            oldest first.
        resumed_at: When this process last resumed after a stall, seconds.
            Messages that arrived during the stall were read up to then.
        isolated: Neither agents nor other balancers are heard.
        uses: Which mechanisms are in use.
    """

    zone: str
    host: str
    started_at: float = float("-inf")
    contact_s: float = CONTACT_S
    view: FleetView = field(default_factory=FleetView)
    table: RouteTable | None = None
    servers: dict[str, Server] = field(default_factory=dict)
    by_service: dict[str, list[Server]] = field(default_factory=dict)
    by_host: dict[str, Server] = field(default_factory=dict)
    zones: dict[str, ZoneState] = field(default_factory=dict)
    fleet_known: bool = False
    list_known_since: float = float("inf")
    list_complete_since: float = float("inf")
    first_placement_at: float = float("inf")
    splits: bool = False
    placed: dict[bytes, collections.Counter[str]] = field(default_factory=dict)
    rerouted_at: float = float("-inf")
    has_new_reroute: bool = False
    reroutes_known_since: float = float("inf")
    first_table_revision: float = float("inf")
    last_checked_table: RouteTable | None = None
    confirmed_at: float = float("-inf")
    confirmed_by: str = ""
    store_failed_at: float = float("-inf")
    store_answered_at: float = float("-inf")
    store_failures: int = 0
    store_error: str = ""
    store_call: str = ""
    store_revision: int = 0
    store_era: int = 0
    flows: collections.OrderedDict[bytes, Placement] = field(
        default_factory=collections.OrderedDict
    )
    displaced: dict[bytes, str] = field(default_factory=dict)
    unlocated: dict[bytes, tuple[str, Segment]] = field(default_factory=dict)
    openings: dict[bytes, Opening] = field(default_factory=dict)
    busy_shares: BusyShares = field(default_factory=BusyShares)
    searches: dict[bytes, Search] = field(default_factory=dict)
    records: Records = field(default_factory=Records)
    outbox: list[Effect] = field(default_factory=list)
    stopping: bool = False
    refused: str = ""
    problems: dict[str, PublishedProblem] = field(default_factory=dict)
    unkeyed_problems: collections.deque[str] = field(
        default_factory=collections.deque
    )
    resumed_at: float = float("-inf")
    isolated: bool = False
    uses: Mechanisms = ALL

    @property
    def not_ready(self) -> NotReady | None:
        """Why routers should not send flows here; None if they should."""
        if self.stopping:
            return NotReady.STOPPING
        if self.table is None:
            if self.refused:
                return NotReady.CONFIGURATION_REFUSED
            if self.fleet_known:
                return NotReady.NO_CONFIGURATION
            return NotReady.NO_STATE
        if not self.fleet_known:
            return NotReady.NO_SERVERS
        return NotReady.ISOLATED if self.isolated else None

    @property
    def confirmed_clock(self) -> float | None:
        """``confirmed_at`` for the log, seconds; None if never confirmed."""
        never = self.confirmed_at == float("-inf")
        return None if never else round(self.confirmed_at, 4)

    def move_flows(self, old: Server, new: Server) -> None:
        """Moves the flows of a server to the one that has replaced it.

        The agent of the new server reports that it does not have them.

        Args:
            old: The server that was replaced.
            new: The server that replaced it.
        """
        for flow, placement in self.flows.items():
            if placement.server is old:
                placement.server = new
                if not self.uses.resting:
                    continue
                # If one update holds several changes, the first one counts.
                self.displaced.setdefault(flow, old.entry.service)
