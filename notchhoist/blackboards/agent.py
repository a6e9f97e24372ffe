"""The blackboard of an agent."""

from collections import OrderedDict, deque

import attrs
from hdrh.histogram import HdrHistogram

from notchhoist import model, parts
from notchhoist.blackboards.common import (
    DECISIONS_KEPT,
    ConfigBoard,
    Counters,
    Decision,
)
from notchhoist.blackboards.requests import (
    ClaimState,
    Delegation,
    Exchange,
    Outcome,
    RemoteOrigin,
    Run,
)

DEFAULT_IDLE_S = 60.0
"""A flow without a stream is forgotten after this silence, seconds."""

LEASE_PER_IDLE = 3.0
"""A pointer outlives so many renewals that are lost."""

DIRECTORY_CAPACITY = 200_000
QUEUE_PER_SLOT = 4
INITIAL_SLOTS = 1

RUN_BITS = 20
"""A run's number is the incarnation and a count of so many bits."""


@attrs.frozen
class AgentIdentity:
    """Who an agent is, from its settings.

    Attributes:
        service: Service that its backend server is attached to.
        server: Name of the backend server, which is the host's name.
        zone: Availability zone.
        peer: Its own peer endpoint.
        incarnation: Number below 2**40 that is drawn anew at each start.
        idle_s: A flow without a stream is forgotten after this silence.
    """

    service: str
    server: str
    zone: str
    peer: model.Endpoint
    incarnation: int
    idle_s: float = DEFAULT_IDLE_S


@attrs.define
class Flow:
    """A flow that this agent owns.

    Attributes:
        caller: Endpoint of the caller.
        last_seen: Runtime clock of the last datagram either way, seconds.
        balancer: Balancer that last brought a datagram, or None.
        exchanges: Recent requests by message ID.
        streams: Open streams: token, and runtime clock of the last
            notification, seconds.
        restored: Taken over after a restart; its streams are not known.
        uploads: Runtime clock of the last block of each upload.
        delegates: Agent that takes the blocks of an upload, by upload.
    """

    caller: model.Endpoint
    last_seen: float
    balancer: model.Endpoint | None = None
    exchanges: OrderedDict[int, Exchange] = attrs.Factory(OrderedDict)
    streams: dict[bytes, float] = attrs.Factory(dict)
    restored: bool = False
    uploads: dict[bytes, float] = attrs.Factory(dict)
    delegates: dict[bytes, model.Endpoint] = attrs.Factory(dict)

    def is_pinned(self) -> bool:
        """Tells whether the flow has state at the backend server."""
        return bool(self.streams or self.uploads or self.restored)

    def is_shared(self) -> bool:
        """Tells whether it holds more than one stream or upload."""
        held = len(self.streams) + len(self.uploads)
        return self.restored or held > 1


@attrs.define
class PeerState:
    """What is known of another agent of the service.

    Attributes:
        report: Its last load report.
        heard_at: Runtime clock of that, seconds.
        sent_since: Requests given to it since.
    """

    report: model.LoadReport
    heard_at: float
    sent_since: int = 0


@attrs.define
class PendingAsk:
    """A flow whose owner is being asked for.

    Attributes:
        forwards: Datagrams that wait for the answer.
        awaited: Peers that have not answered.
        until: Runtime clock when the wait ends, seconds.
        asked: The peers have been asked; before that it is not known whom.
        heard: The newest answer so far that names an owner.
        heard_at: Runtime clock when that owner said so, seconds.
    """

    forwards: list[model.Forward]
    awaited: set[model.Endpoint]
    until: float
    asked: bool = True
    heard: model.Endpoint | None = None
    heard_at: float = 0.0


@attrs.define
class AgentBoard:
    """Everything that an agent knows.

    Attributes:
        identity: Who it is.
        config: Configuration and platform.
        service: Record of its service, the last one known, or None.
        sets: Earlier sets of agents and until when they count.
        flows: Flows that it owns.
        directory: Pointers to the owners of flows that it is home of.
        tenure: How long it has been home without a break.
        referred: Flows that a newer home asked for: home and time.
        moved: Flows that were handed on a moment ago: to whom and when.
        asks: Flows whose owner is being asked for.
        peers: The other agents of the service.
        balancers_seen: Runtime clock of the last word from each balancer.
        runs: Runs under way by number.
        by_identity: Run under way for each identity.
        started: Run at the backend server for each caller and token.
        remote_runs: Run under way for each request of a peer.
        remote_replies: Recent replies to peers, for repeated requests.
        guests: Callers that only runs of peers use a socket for.
        delegations: Runs given to peers by run number.
        claims: Claims under way by number.
        outcomes: Outcomes of identities.
        witness: Memory of what this agent granted.
        admission: Slots and queue of the backend server.
        backend_draining_until: The backend server refuses new work.
        stopping: A planned stop has begun.
        pauses: Detector of gaps in the own clock.
        counters: Counts since the start.
        decisions: The last decisions about requests, newest last.
        decided: How many decisions there were.
        latencies: Time from arrival to answer by kind, microseconds.
        next_report_at: When to report the load next.
        next_ping_at: When to ping a few balancers next.
        next_announce_at: When to announce the flows next.
        next_sweep_at: When to look for what has expired next.
        next_number: Last number drawn for a run.
        recovered: The peers have been asked for flows owned before.
        sets_known: Enough peers have told which sets of agents still count.
        told_sets: Peers that have told.
        next_records_at: When to ask for the peers' memories next.
        outbox: Effects that the current event has brought about.
    """

    identity: AgentIdentity
    config: ConfigBoard
    tenure: parts.Tenure
    directory: parts.Directory
    witness: parts.Witness
    admission: parts.Admission
    service: model.Service | None = None
    sets: dict[tuple[model.Endpoint, ...], float] = attrs.Factory(dict)
    flows: dict[model.Endpoint, Flow] = attrs.Factory(dict)
    referred: dict[model.Endpoint, tuple[model.Endpoint, float]] = (
        attrs.Factory(dict)
    )
    moved: dict[model.Endpoint, tuple[model.Endpoint, float]] = attrs.Factory(
        dict
    )
    asks: dict[model.Endpoint, PendingAsk] = attrs.Factory(dict)
    peers: dict[model.Endpoint, PeerState] = attrs.Factory(dict)
    balancers_seen: dict[model.Endpoint, float] = attrs.Factory(dict)
    runs: dict[int, Run] = attrs.Factory(dict)
    by_identity: dict[bytes, Run] = attrs.Factory(dict)
    started: dict[tuple[model.Endpoint, bytes], Run] = attrs.Factory(dict)
    remote_runs: dict[RemoteOrigin, Run] = attrs.Factory(dict)
    remote_replies: OrderedDict[RemoteOrigin, model.RunReply] = attrs.Factory(
        OrderedDict
    )
    guests: dict[model.Endpoint, float] = attrs.Factory(dict)
    delegations: dict[int, Delegation] = attrs.Factory(dict)
    claims: dict[int, ClaimState] = attrs.Factory(dict)
    outcomes: OrderedDict[bytes, Outcome] = attrs.Factory(OrderedDict)
    backend_draining_until: float = -1.0
    stopping: bool = False
    pauses: parts.PauseDetector = attrs.Factory(
        lambda: parts.PauseDetector(threshold_s=1.0)
    )
    counters: Counters = attrs.Factory(Counters)
    decisions: deque[Decision] = attrs.Factory(
        lambda: deque(maxlen=DECISIONS_KEPT)
    )
    decided: int = 0
    latencies: dict[str, HdrHistogram] = attrs.Factory(dict)
    next_report_at: float = 0.0
    next_ping_at: float = 0.0
    next_announce_at: float = 0.0
    next_sweep_at: float = 0.0
    next_number: int = 0
    recovered: bool = False
    sets_known: bool = False
    told_sets: set[model.Endpoint] = attrs.Factory(set)
    next_records_at: float = 0.0
    outbox: list[model.Effect] = attrs.Factory(list)

    def send(self, to: model.Endpoint, message: model.Message) -> None:
        """Puts a message to a peer into the outbox."""
        self.outbox.append(model.SendPeer(to, message))

    def note_decision(
        self, run: Run, outcome: str, reason: str, now: float
    ) -> None:
        """Keeps what was decided about a request, for operators."""
        self.decided += 1
        request = run.request
        path = "/".join(request.path)
        self.decisions.append(
            Decision(
                number=self.decided,
                at=now,
                caller=str(run.caller),
                request=f"{request.method} /{path} mid {request.mid}",
                kind=run.kind,
                outcome=outcome,
                reason=reason,
                tries=run.tries,
            )
        )

    def draw_number(self) -> int:
        """Returns a number that no other run of this incarnation has."""
        self.next_number += 1
        return self.next_number

    def known_agents(self) -> list[model.Endpoint]:
        """Returns all other agents of the service, now and formerly."""
        former = [agent for agents in self.sets for agent in agents]
        everybody = dict.fromkeys([*self.other_agents(), *former])
        return [agent for agent in everybody if agent != self.identity.peer]

    def other_agents(self) -> list[model.Endpoint]:
        """Returns the published agents of the service but this one."""
        if self.service is None:
            return []
        own = self.identity.peer
        return [agent for agent in self.service.agents() if agent != own]


def make_agent_board(
    identity: AgentIdentity,
    now: float,
    seeds: tuple[model.Endpoint, ...] = (),
) -> AgentBoard:
    """Makes the blackboard of an agent that starts now."""
    config = ConfigBoard(
        store=parts.RevisionStore(),
        service=identity.service,
        zone=identity.zone,
        started_at=now,
        seeds=seeds,
    )
    return AgentBoard(
        identity=identity,
        next_number=identity.incarnation << RUN_BITS,
        config=config,
        tenure=parts.Tenure(needed_s=identity.idle_s, since=now),
        directory=parts.Directory(
            lease_s=LEASE_PER_IDLE * identity.idle_s,
            capacity=DIRECTORY_CAPACITY,
        ),
        witness=parts.Witness(
            own=identity.peer,
            lifetime_s=model.Service("x", identity.peer).memory_s,
            started_at=now,
        ),
        admission=parts.Admission(
            ramp=parts.Ramp(slots=INITIAL_SLOTS),
            queue_limit=QUEUE_PER_SLOT * INITIAL_SLOTS,
        ),
    )
