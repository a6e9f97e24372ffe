"""Requests on a blackboard: exchanges, runs, claims, outcomes."""

import enum

import attrs

from notchhoist import model, parts, wire


@attrs.define
class Exchange:
    """A request of a caller as its flow sees it (RFC 7252, 4.2).

    Attributes:
        request: The request.
        at: Runtime clock of its arrival, seconds.
        reply: The final answer, or None before it.
    """

    request: wire.CoapMessage
    at: float
    reply: bytes | None = None


@attrs.frozen
class LocalOrigin:
    """The request came from a flow that this agent owns."""

    caller: model.Endpoint
    mid: int


@attrs.frozen
class RemoteOrigin:
    """A peer asked for the run, or for its outcome."""

    agent: model.Endpoint
    run: int


Origin = LocalOrigin | RemoteOrigin


class RunState(enum.Enum):
    """Where a run stands."""

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
    """A request on its way to an outcome.

    Attributes:
        number: Number of the run at this agent.
        caller: Endpoint of the caller.
        request: The request.
        datagram: The caller's bytes.
        kind: Name of the kind of request.
        weight: Weight of the kind.
        repeatable: The request may run more than once.
        arrived_at: Runtime clock of its arrival, seconds.
        deadline: Runtime clock by which it has to be answered, seconds.
        origins: Who waits for the outcome.
        identity: Digest that names the request; empty where repeatable.
        attempt: Digest that names this sending of it; likewise.
        state: Where the run stands.
        holds_slot: It has a slot of the local backend server.
        started_at: Runtime clock when it was given to the backend server.
        excluded: Agents that could not take it.
        tries: How often it was started or delegated.
        may_give_up: It may be tried elsewhere because it is slow here.
        claim: Number of its claim, once it has one.
        refusal: Why it is being given up on, once it is.
        retry_after_s: When the caller may come back, seconds.
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
        """Whether another agent has given it to this one."""
        return isinstance(self.origins[0], RemoteOrigin)


@attrs.define
class Delegation:
    """A run that a peer was asked to take.

    Attributes:
        run: The run.
        peer: The peer.
        incarnation: Incarnation of the peer when it was asked.
        sent_at: Runtime clock of the last sending, seconds.
        message: The message, for sending it again.
    """

    run: Run
    peer: model.Endpoint
    incarnation: int
    sent_at: float
    message: model.RunRequest | model.AskOutcome


@attrs.define
class ClaimState:
    """A claim under way.

    Attributes:
        run: Run that it is for.
        number: Number of the claim.
        purpose: What it asks for.
        claim: The count of votes.
        asked_at: Runtime clock of the first asking, seconds.
        sent_at: Runtime clock of the last asking, seconds.
        holder: Agent that stands in the way, if any.
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
    """How a request that must not be repeated ended here.

    Attributes:
        attempt: Digest of the attempt that ended so.
        status: The outcome.
        response: The backend server's response, or None.
        at: Runtime clock, seconds.
        retry_after_s: When the caller may come back, seconds.
    """

    attempt: bytes
    status: model.RunStatus
    response: wire.CoapMessage | None
    at: float
    retry_after_s: int = 1
