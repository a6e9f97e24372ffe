"""Messages between the processes of the system.

Every class has a struct of the same name in ``wire/peer.thrift``; the codec
pairs classes by name and their fields by position.
"""

import enum

import attrs

from notchhoist.base.identifiers import Endpoint
from notchhoist.model.witness_messages import (
    AskRecords,
    GrantReply,
    GrantRequest,
    Records,
)


class RunStatus(enum.IntEnum):
    """How a delegated run ended."""

    ANSWERED = 1
    NO_SLOT = 2
    NOT_RUN = 3
    UNKNOWN = 4
    TIMED_OUT = 5


@attrs.frozen(slots=True)
class Forward:
    """A caller's datagram on its way to the agent that owns the flow.

    Attributes:
        service: Service whose address the datagram came to.
        caller: Endpoint of the caller.
        datagram: The caller's bytes, unchanged.
        revision: Configuration revision in force at the sender.
        hops: How many agents it has passed.
        placed: The home has placed the flow at the receiver.
        balancer: Balancer that answers are to leave by.
    """

    service: str
    caller: Endpoint
    datagram: bytes
    revision: int
    hops: int
    placed: bool
    balancer: Endpoint


@attrs.frozen(slots=True)
class Deliver:
    """A datagram for a caller, and where the flow lives.

    Attributes:
        service: Service whose address the datagram is to leave from.
        caller: Endpoint of the caller.
        datagram: Bytes for the caller; empty where only the hint is meant.
        owner: Agent that owns the flow.
    """

    service: str
    caller: Endpoint
    datagram: bytes
    owner: Endpoint


@attrs.frozen(slots=True)
class AskOwner:
    """Asks a peer whether it knows who owns a flow."""

    service: str
    caller: Endpoint
    revision: int


@attrs.frozen(slots=True)
class TellOwner:
    """Answers ``AskOwner``; no owner where the peer knows none.

    Attributes:
        service: Service of both agents.
        caller: Endpoint of the caller.
        owner: Agent that owns the flow, or None.
        age_ms: As for ``FlowRecord``.
    """

    service: str
    caller: Endpoint
    owner: Endpoint | None
    age_ms: int


@attrs.frozen(slots=True)
class FlowRecord:
    """A pointer: which agent owns the flow of a caller.

    Attributes:
        caller: Endpoint of the caller.
        owner: Agent that owns the flow.
        pinned: The flow has a stream or an upload at that agent.
        age_ms: Time since the owner itself, or who made it the owner, said
            so, milliseconds.
    """

    caller: Endpoint
    owner: Endpoint
    pinned: bool
    age_ms: int = 0


@attrs.frozen(slots=True)
class Announce:
    """Pointers for the receiver's directory."""

    service: str
    flows: list[FlowRecord]


@attrs.frozen(slots=True)
class AskFlows:
    """A restarted agent asks which flows it owned."""

    service: str


@attrs.frozen(slots=True)
class RunRequest:
    """Asks a peer with a free slot to run a request.

    Attributes:
        service: Service of both agents.
        run: Number that pairs the reply.
        caller: Endpoint of the caller.
        datagram: The caller's request.
        remaining_ms: Time until the request's deadline, in milliseconds.
        may_queue: The request may wait where no slot is free.
        may_give_up: The receiver may give it back as too slow.
    """

    service: str
    run: int
    caller: Endpoint
    datagram: bytes
    remaining_ms: int
    may_queue: bool
    may_give_up: bool


@attrs.frozen(slots=True)
class RunReply:
    """Answers ``RunRequest`` or ``AskOutcome``.

    Attributes:
        service: Service of both agents.
        run: As asked.
        status: How the run ended.
        datagram: The backend server's response, where answered.
        retry_after_s: When to come back, in seconds, where not answered.
    """

    service: str
    run: int
    status: RunStatus = attrs.field(converter=RunStatus)
    datagram: bytes
    retry_after_s: int


@attrs.frozen(slots=True)
class AskOutcome:
    """Asks the holder of a grant how the request ended."""

    service: str
    run: int
    identity: bytes
    attempt: bytes


@attrs.frozen(slots=True)
class LoadReport:
    """What an agent tells the other agents of its service.

    Attributes:
        service: Service of both agents.
        server: Name of the sender's backend server.
        free: Slots that new work may take now.
        in_flight: Slots taken now.
        queued: Requests that wait for a slot.
        leaving: The backend server takes no new work.
        incarnation: Number that changes with each start of the sender.
        limit: Slots that the sender uses at the most at present.
        flows: Flows that the sender owns.
        service_ms: Smoothed time that a run takes there, milliseconds; 0
            before the first.
    """

    service: str
    server: str
    free: int
    in_flight: int
    queued: int
    leaving: bool
    incarnation: int
    limit: int
    flows: int
    service_ms: int


@attrs.frozen(slots=True)
class ConfigAsk:
    """Asks for what changed after a revision.

    Attributes:
        revision: Highest revision in force at the sender.
        service: Only this service; empty for all.
        zone: Only balancers of this availability zone; empty for all.
    """

    revision: int
    service: str
    zone: str


@attrs.frozen(slots=True)
class ConfigDiff:
    """What changed between two revisions.

    Attributes:
        revision: Revision that the receiver reaches.
        base: Lowest revision that the difference can be applied to.
        changed: JSON text of each service that changed.
        removed: Names of services that were dropped.
        balancers: JSON text of the balancer list; empty where unchanged.
        service: Scope of the difference; empty for all services.
    """

    revision: int
    base: int
    changed: list[bytes]
    removed: list[str]
    balancers: bytes
    service: str


@attrs.frozen(slots=True)
class LeavingHosts:
    """Names of hosts that the platform says are about to stop."""

    names: list[str]


@attrs.frozen(slots=True)
class Ping:
    """Asks whether the receiver is alive."""

    nonce: int


@attrs.frozen(slots=True)
class Pong:
    """Answers ``Ping``."""

    nonce: int


Message = (
    Forward
    | Deliver
    | AskOwner
    | TellOwner
    | Announce
    | AskFlows
    | GrantRequest
    | GrantReply
    | AskRecords
    | Records
    | RunRequest
    | RunReply
    | AskOutcome
    | LoadReport
    | ConfigAsk
    | ConfigDiff
    | LeavingHosts
    | Ping
    | Pong
)
