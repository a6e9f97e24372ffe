"""Messages between agents as witnesses of once-only requests.

Their structs stand in ``wire/peer.thrift`` under the same names.
"""

import enum

import attrs

from notchhoist.base.identifiers import Endpoint


class Verdict(enum.IntEnum):
    """What a witness says to a request for a grant or a fence."""

    GRANTED = 1
    DENIED = 2
    ABSTAINED = 3
    STALE_EPOCH = 4


class Purpose(enum.IntEnum):
    """What a claimant asks of a witness.

    ``GRANT`` to run, ``FENCE`` so that an attempt never runs, ``RELEASE`` to
    give back a grant that was not used.
    """

    GRANT = 1
    FENCE = 2
    RELEASE = 3


@attrs.frozen(slots=True)
class GrantRequest:
    """Asks a witness for a decision on an identity.

    Attributes:
        service: Service of the request.
        identity: Digest that names the request.
        attempt: Digest that names one sending of it.
        purpose: What is asked.
        epoch: Revision at which the sender's set of servers last changed.
        claim: Number of the sender's claim.
    """

    service: str
    identity: bytes
    attempt: bytes
    purpose: Purpose = attrs.field(converter=Purpose)
    epoch: int
    claim: int


@attrs.frozen(slots=True)
class GrantReply:
    """Answers ``GrantRequest``.

    Attributes:
        service: Service of the request.
        identity: As asked.
        attempt: As asked.
        purpose: As asked.
        verdict: The answer.
        holder: Who holds the grant, where it is denied for that.
        epoch: Revision at which the witness's set of servers last changed.
        claim: As asked.
    """

    service: str
    identity: bytes
    attempt: bytes
    purpose: Purpose = attrs.field(converter=Purpose)
    verdict: Verdict = attrs.field(converter=Verdict)
    holder: Endpoint | None
    epoch: int
    claim: int


@attrs.frozen(slots=True)
class AskRecords:
    """A young witness asks a peer for what it remembers."""

    service: str


@attrs.frozen(slots=True)
class RecordEntry:
    """What a witness remembers of one identity.

    Attributes:
        identity: Digest that names the request.
        age_ms: Time since the first word of it, milliseconds.
        sealed: It may have been granted to somebody, nobody knows whom.
        holder: Agent that holds the grant, or None.
        claim: Number of the holder's claim; 0 without a holder.
        granted_attempt: Attempt that the grant was given for.
        fenced: Attempts that will never be granted.
    """

    identity: bytes
    age_ms: int
    sealed: bool
    holder: Endpoint | None
    claim: int
    granted_attempt: bytes
    fenced: list[bytes]


@attrs.frozen(slots=True)
class AgentSet:
    """A set of agents that was in force."""

    agents: list[Endpoint]


@attrs.frozen(slots=True)
class Records:
    """Answers ``AskRecords``.

    Attributes:
        service: Service of both agents.
        complete: The sender is older than a lifetime, or has taken in the
            complete memory of every other agent.
        vouchers: Where it has not, the agents whose complete memory it has
            taken in.
        records: What the receiver is a witness of.
        sets: Sets of agents that still count.
    """

    service: str
    complete: bool
    vouchers: list[Endpoint]
    records: list[RecordEntry]
    sets: list[AgentSet]
