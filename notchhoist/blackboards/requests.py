"""State of requests: exchanges, runs, delegations, claims and outcomes."""

import enum

import attrs

from notchhoist import model, parts, wire


@attrs.define
class Exchange:
    """A request of a flow and its answer (RFC 7252, section 4.2).

    A retransmission of the request gets the same answer.

    Attributes:
        request: The request.
        at: Runtime clock of its arrival, seconds.
        reply: The encoded final answer, or None while there is none.
    """

    request: wire.CoapMessage
    at: float
    reply: bytes | None = None


@attrs.frozen
class LocalOrigin:
    """Origin of a request: a flow that this agent owns.

    Attributes:
        caller: Endpoint of the caller.
        mid: Message ID of the request.
    """

    caller: model.Endpoint
    mid: int


@attrs.frozen
class RemoteOrigin:
    """Origin of a request: another agent that wants a run or its outcome.

    Attributes:
        agent: Peer endpoint of the agent.
        run: Number of the run at that agent.
    """

    agent: model.Endpoint
    run: int


Origin = LocalOrigin | RemoteOrigin


class RunState(enum.Enum):
    """State of a run.

    NEW: not dispatched yet, or to be dispatched again.
    QUEUED: waits for a slot of the local backend server.
    CLAIMING: has a slot, waits for the grant of its witnesses.
    STARTED: was handed to the local backend server.
    DELEGATED: was given to another agent.
    FENCING: is refused, waits for the fence of its witnesses.
    ASKING: waits for the outcome from the agent that holds the grant.
    DONE: has its outcome, moved to another agent with its flow, or was
        returned to the agent that delegated it.
    """

    NEW = "new"
    QUEUED = "queued"
    CLAIMING = "claiming"
    STARTED = "started"
    DELEGATED = "delegated"
    FENCING = "fencing"
    ASKING = "asking"
    DONE = "done"


@attrs.define(eq=False)
class Run:
    """The processing of one request, from its arrival to its outcome.

    Attributes:
        number: Identifies the run at this agent.
        caller: Endpoint of the caller.
        request: The request.
        datagram: The request as received from the caller.
        kind: Name of the kind of request.
        weight: Weight of the kind.
        repeatable: The request may be executed more than once.
        arrived_at: Runtime clock of its arrival, seconds.
        deadline: Runtime clock by which it must be answered, seconds.
        origins: Flows and agents that wait for the outcome.
        identity: Digest that identifies the request; empty if repeatable.
        attempt: Digest that identifies this sending of the request by its
            caller; empty if repeatable.
        state: State of the run.
        holds_slot: The run occupies a slot of the local backend server.
        started_at: Runtime clock when it got a slot, or was handed to the
            backend server, whichever is later, seconds.
        excluded: Agents that it is not given to any more.
        tries: Number of times that it was started or delegated.
        may_give_up: It may be retried at another backend server if it is
            slow here.
        claim: Number of its last claim, or None.
        refusal: Reason why it was refused or timed out; empty before.
        retry_after_s: Time after which the caller may send it again,
            seconds.
    """

    number: int
    caller: model.Endpoint
    request: wire.CoapMessage
    datagram: bytes
    kind: str
    weight: int
    repeatable: bool
    arrived_at: float
    deadline: float
    origins: list[Origin]
    identity: bytes = b""
    attempt: bytes = b""
    state: RunState = RunState.NEW
    holds_slot: bool = False
    started_at: float = 0.0
    excluded: set[model.Endpoint] = attrs.Factory(set)
    tries: int = 0
    may_give_up: bool = True
    claim: int | None = None
    refusal: str = ""
    retry_after_s: int = 1

    @property
    def is_for_peer(self) -> bool:
        """Whether another agent delegated the run to this one."""
        return isinstance(self.origins[0], RemoteOrigin)


@attrs.define
class Delegation:
    """A run, or a query for its outcome, that was sent to another agent.

    Attributes:
        run: The run.
        peer: Peer endpoint of that agent.
        incarnation: Last known incarnation of the peer at that time.
        sent_at: Runtime clock of the last transmission, seconds.
        message: The message, for retransmissions.
    """

    run: Run
    peer: model.Endpoint
    incarnation: int
    sent_at: float
    message: model.RunRequest | model.AskOutcome


@attrs.define
class ClaimState:
    """A claim in progress: a vote of witnesses on a grant or a fence.

    Attributes:
        run: Run that the claim is for.
        number: Number of the claim.
        purpose: What is claimed: a grant or a fence.
        claim: Counts the votes.
        asked_at: Runtime clock of the first request for votes, seconds.
        sent_at: Runtime clock of the last request for votes, seconds.
        holder: Agent whose grant prevents this claim, or None.
    """

    run: Run
    number: int
    purpose: model.Purpose
    claim: parts.Claim
    asked_at: float
    sent_at: float
    holder: model.Endpoint | None = None


@attrs.define
class Outcome:
    """How a request ended; stored if the request is not repeatable.

    Attributes:
        attempt: Digest of the attempt that had this outcome.
        status: The outcome.
        response: The backend server's response, or None.
        at: Runtime clock when the request ended, seconds.
        retry_after_s: Time after which the caller may send it again,
            seconds.
    """

    attempt: bytes
    status: model.RunStatus
    response: wire.CoapMessage | None
    at: float
    retry_after_s: int = 1
