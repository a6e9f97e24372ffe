"""Messages between the processes of the system.

Every message class has a struct of the same name in ``wire/peer.thrift``. The
codec pairs classes with structs by name, and their fields by position.
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
    """Outcome of a delegated run."""

    ANSWERED = 1
    NO_SLOT = 2
    NOT_RUN = 3
    UNKNOWN = 4
    TIMED_OUT = 5


@attrs.frozen(slots=True)
class Forward:
    """Forwards a caller's datagram towards the agent that owns the flow.

    Attributes:
        service: Service whose address received the datagram.
        caller: Endpoint of the caller.
        datagram: The caller's bytes, unchanged.
        revision: Configuration revision in force at the sender.
        hops: Number of agents that have forwarded the datagram.
        placed: The sender knows the receiver as the owner of the flow, or has
            just placed the flow there.
        balancer: Balancer that sends the answers to the caller.
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
    """Sends a datagram to a caller through a balancer, with the flow's owner.

    Attributes:
        service: Service from whose address the datagram is sent.
        caller: Endpoint of the caller.
        datagram: Bytes for the caller; empty if the message only tells the
            balancer the owner.
        owner: Agent that owns the flow.
    """

    service: str
    caller: Endpoint
    datagram: bytes
    owner: Endpoint


@attrs.frozen(slots=True)
class AskOwner:
    """Asks a peer for the owner of a flow."""

    service: str
    caller: Endpoint
    revision: int


@attrs.frozen(slots=True)
class TellOwner:
    """Answers ``AskOwner``.

    Attributes:
        service: Service of both agents.
        caller: Endpoint of the caller.
        owner: Agent that owns the flow; None if the sender knows no owner.
        age_ms: As for ``FlowRecord``.
    """

    service: str
    caller: Endpoint
    owner: Endpoint | None
    age_ms: int


@attrs.frozen(slots=True)
class FlowRecord:
    """A pointer from a caller to the agent that owns its flow.

    Attributes:
        caller: Endpoint of the caller.
        owner: Agent that owns the flow.
        pinned: The flow has a stream or an upload at that agent.
        age_ms: Time since the owner, or the agent that assigned the flow to
            it, reported the ownership, milliseconds.
    """

    caller: Endpoint
    owner: Endpoint
    pinned: bool
    age_ms: int = 0


@attrs.frozen(slots=True)
class Announce:
    """Sends pointers for the directory of the receiver."""

    service: str
    flows: list[FlowRecord]


@attrs.frozen(slots=True)
class AskFlows:
    """Asks, after a restart of the sender, which flows it owned."""

    service: str


@attrs.frozen(slots=True)
class RunRequest:
    """Asks a peer with a free slot to run a request.

    Attributes:
        service: Service of both agents.
        run: Number that associates the reply with the request.
        caller: Endpoint of the caller.
        datagram: The caller's request.
        remaining_ms: Time until the deadline of the request, milliseconds.
        may_queue: The receiver may queue the request if no slot is free.
        may_give_up: The receiver may abort the run if it is slow, so that the
            sender retries it elsewhere.
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
        run: Number of the run in the request.
        status: Outcome of the run.
        datagram: Response of the backend server, if it answered.
        retry_after_s: Time until the caller should retry, if the server did
            not answer, seconds.
    """

    service: str
    run: int
    status: RunStatus = attrs.field(converter=RunStatus)
    datagram: bytes
    retry_after_s: int


@attrs.frozen(slots=True)
class AskOutcome:
    """Asks the holder of a grant for the outcome of the request."""

    service: str
    run: int
    identity: bytes
    attempt: bytes


@attrs.frozen(slots=True)
class LoadReport:
    """Reports the load of an agent to the other agents of its service.

    Attributes:
        service: Service of both agents.
        server: Name of the sender's backend server.
        free: Number of slots that new requests may take now.
        in_flight: Number of slots that are taken.
        queued: Number of requests that wait for a slot.
        leaving: The sender takes no new requests or flows.
        incarnation: Number that changes with each start of the sender.
        limit: Current limit of the slots in use.
        flows: Number of flows that the sender owns.
        service_ms: Smoothed service time of a run, milliseconds; 0 before the
            first run.
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
    """Asks for the configuration changes after a revision.

    Attributes:
        revision: Revision in force at the sender.
        service: Only this service; empty for all.
        zone: Only balancers of this availability zone; empty for all.
    """

    revision: int
    service: str
    zone: str


@attrs.frozen(slots=True)
class ConfigDiff:
    """Sends the configuration changes between two revisions.

    Attributes:
        revision: Revision that the receiver reaches.
        base: Lowest revision that the difference can be applied to.
        changed: JSON text of each service that changed.
        removed: Names of services that were removed.
        balancers: JSON text of the balancer list; empty if unchanged.
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
    """Sends the names of hosts that are about to stop, by the platform."""

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
