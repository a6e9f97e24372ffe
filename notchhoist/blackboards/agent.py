"""State of an agent (its blackboard)."""

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

DEFAULT_IDLE_TIMEOUT_S = 60.0
"""Time without a datagram after which an unpinned flow ends, seconds."""

POINTER_LEASE_PER_IDLE = 3.0
"""Lease of a pointer as a multiple of the interval of its renewals.

The interval is the idle timeout, so that two lost renewals in a row do not
end a lease.
"""

DIRECTORY_CAPACITY = 200_000
QUEUE_PER_SLOT = 4
INITIAL_SLOTS = 1

RUN_COUNTER_BITS = 20
"""Number of low bits of a run's number that count runs.

The bits above them are the agent's incarnation.
"""


@attrs.frozen
class AgentIdentity:
    """Identity of an agent, from its settings.

    Attributes:
        service: Service that its backend server is attached to.
        server: Name of the backend server, which is the host's name.
        zone: Availability zone.
        peer: Peer endpoint of the agent.
        incarnation: Number below 2**40, drawn at random at each start.
        idle_s: Idle timeout of an unpinned flow, seconds.
    """

    service: str
    server: str
    zone: str
    peer: model.Endpoint
    incarnation: int
    idle_s: float = DEFAULT_IDLE_TIMEOUT_S


@attrs.define
class Flow:
    """A flow that this agent owns.

    Attributes:
        caller: Endpoint of the caller.
        last_seen: Runtime clock of the last datagram in either direction,
            seconds.
        balancer: Balancer that last forwarded a datagram of it, or None.
        exchanges: Recent requests by message ID.
        streams: Runtime clock of the last notification of each open stream,
            seconds, by token.
        restored: It was open before this agent restarted; which streams it
            has is not known.
        uploads: Runtime clock of the last block of each upload, seconds.
        delegates: Agent that gets the blocks of an upload, by upload.
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
        """Returns whether the flow may have state at the backend server."""
        return bool(self.streams or self.uploads or self.restored)

    def is_shared(self) -> bool:
        """Returns whether the flow may have several streams or uploads."""
        held = len(self.streams) + len(self.uploads)
        return self.restored or held > 1


@attrs.define
class PeerState:
    """Last load report of another agent of the service.

    Attributes:
        report: The load report.
        heard_at: Runtime clock of its arrival, seconds.
        sent_since: Requests and flows given to the agent since then.
    """

    report: model.LoadReport
    heard_at: float
    sent_since: int = 0


@attrs.define
class OwnerQuery:
    """A pending query to the peers for the owner of a flow.

    Attributes:
        forwards: Datagrams that wait for the result.
        awaited: Peers that have not replied.
        until: Runtime clock at which the query times out, seconds.
        asked: The query has been sent. It waits until enough is known of the
            earlier sets of agents.
        heard: Owner by the newest reply so far that names one, or None.
        heard_at: Runtime clock at which that owner was last confirmed,
            seconds.
    """

    forwards: list[model.Forward]
    awaited: set[model.Endpoint]
    until: float
    asked: bool = True
    heard: model.Endpoint | None = None
    heard_at: float = 0.0


@attrs.define
class AgentBoard:
    """State of an agent.

    Times are of the runtime clock, in seconds.

    Attributes:
        identity: Identity of the agent.
        config: Configuration and state of its synchronization.
        service: Last known record of the agent's service, or None.
        sets: Earlier sets of agents of the service that still count, each
            with the time until which it does.
        flows: Flows that this agent owns, by caller.
        directory: Pointers to the owners of flows that this agent is home
            agent of.
        tenure: Time for which it has been home agent without interruption.
        referred: Home agent that a flow is referred to, and since when, by
            caller. That agent queried for the flow's owner.
        moved: Agent that a flow was recently moved to, and when, by caller.
        asks: Pending queries for the owner of a flow, by caller.
        peers: Last load reports of other agents of the service.
        balancers_seen: Time of the last message from each balancer.
        runs: Runs in progress by number.
        by_identity: Run in progress for each identity of a request.
        started: Run at the backend server for each caller and token.
        remote_runs: Run in progress for each request of a peer.
        remote_replies: Recent replies to peers, for repeated requests.
        guests: Callers whose socket to the backend server serves only runs of
            peers, with the time of its last use.
        delegations: Runs given to peers, by run number.
        claims: Claims in progress by number.
        outcomes: Outcomes of non-repeatable requests, by identity.
        witness: Grants and fences that this agent gave as a witness.
        admission: Slots and queue of the backend server.
        backend_draining_until: Time until which a draining response of the
            backend server is taken as valid.
        stopping: A planned stop has begun.
        pauses: Detects pauses of this process.
        counters: Counts since the start.
        decisions: Last decisions about requests, newest last.
        decided: Number of decisions since the start.
        latencies: Time from arrival to answer by kind, microseconds.
        next_report_at: Time of the next load report.
        next_ping_at: Time of the next pings to balancers.
        next_announce_at: Time of the next announcement of flows.
        next_sweep_at: Time of the next removal of expired state.
        next_number: Last number given to a run.
        recovered: The peers were queried for flows that this agent owned
            before its start.
        sets_known: Enough peers have reported which earlier sets of agents
            still count.
        told_sets: Peers that have reported them.
        next_records_at: Time of the next query for the peers' witness
            records.
        outbox: Effects of the current event or tick.
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
    asks: dict[model.Endpoint, OwnerQuery] = attrs.Factory(dict)
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
        """Adds a message to a peer to the outbox."""
        self.outbox.append(model.SendPeer(to, message))

    def record_decision(
        self, run: Run, outcome: str, reason: str, now: float
    ) -> None:
        """Records a decision about a request for operators.

        Args:
            run: Run of the request.
            outcome: How it ended, or what was done instead.
            reason: Short name of the cause; empty for an ordinary answer.
            now: Runtime clock, seconds.
        """
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

    def allocate_run_number(self) -> int:
        """Returns a number that no other run of this incarnation has."""
        self.next_number += 1
        return self.next_number

    def known_agents(self) -> list[model.Endpoint]:
        """Returns the other agents of the current and earlier sets."""
        former = [agent for agents in self.sets for agent in agents]
        everybody = dict.fromkeys([*self.other_agents(), *former])
        return [agent for agent in everybody if agent != self.identity.peer]

    def other_agents(self) -> list[model.Endpoint]:
        """Returns the published agents of the service except this one."""
        if self.service is None:
            return []
        own = self.identity.peer
        return [agent for agent in self.service.agents() if agent != own]


def make_agent_board(
    identity: AgentIdentity,
    now: float,
    seeds: tuple[model.Endpoint, ...] = (),
) -> AgentBoard:
    """Makes the state of an agent that starts now."""
    config = ConfigBoard(
        store=parts.RevisionStore(),
        service=identity.service,
        zone=identity.zone,
        started_at=now,
        seeds=seeds,
    )
    return AgentBoard(
        identity=identity,
        next_number=identity.incarnation << RUN_COUNTER_BITS,
        config=config,
        tenure=parts.Tenure(needed_s=identity.idle_s, since=now),
        directory=parts.Directory(
            lease_s=POINTER_LEASE_PER_IDLE * identity.idle_s,
            capacity=DIRECTORY_CAPACITY,
        ),
        witness=parts.Witness(
            own=identity.peer,
            lifetime_s=model.Service("x", identity.peer).memory_s,
            started_at=now,
        ),
        admission=parts.Admission(
            ramp=parts.SlotLimit(slots=INITIAL_SLOTS),
            queue_limit=QUEUE_PER_SLOT * INITIAL_SLOTS,
        ),
    )
