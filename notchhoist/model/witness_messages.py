"""Messages between agents and the witnesses of non-repeatable requests.

Every message class has a struct of the same name in ``wire/peer.thrift``.
"""

import enum

import attrs

from notchhoist.base.identifiers import Endpoint


class Verdict(enum.IntEnum):
    """Vote of a witness on a claim of a grant or a fence."""

    GRANTED = 1
    DENIED = 2
    ABSTAINED = 3
    STALE_EPOCH = 4


class Purpose(enum.IntEnum):
    """Purpose of a request to a witness.

    ``GRANT`` claims the right to run a request, ``FENCE`` prevents an attempt
    from ever running, and ``RELEASE`` releases a grant that was not used.
    """

    GRANT = 1
    FENCE = 2
    RELEASE = 3


@attrs.frozen(slots=True)
class GrantRequest:
    """Asks a witness for its vote on an identity.

    Attributes:
        service: Service of the request.
        identity: Digest that names the request.
        attempt: Digest that names one sending of it.
        purpose: Whether to grant, fence or release.
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
        identity: As in the request.
        attempt: As in the request.
        purpose: As in the request.
        verdict: Vote of the witness.
        holder: Agent that holds the grant, if there is one.
        epoch: Revision at which the witness's set of servers last changed.
        claim: As in the request.
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
    """Asks a peer for its records; sent by a recently started witness."""

    service: str


@attrs.frozen(slots=True)
class RecordEntry:
    """Record of a witness about one identity.

    Attributes:
        identity: Digest that names the request.
        age_ms: Time since the record was created, milliseconds.
        sealed: The identity may have been granted to an unknown claimant.
        holder: Agent that holds the grant, or None.
        claim: Number of the holder's claim; 0 without a holder.
        granted_attempt: Attempt that the grant was given for.
        fenced: Attempts that are never granted.
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
    """An earlier set of the agents of a service that still counts."""

    agents: list[Endpoint]


@attrs.frozen(slots=True)
class Records:
    """Answers ``AskRecords``.

    Attributes:
        service: Service of both agents.
        complete: The sender started more than a lifetime ago, or has merged
            the complete records of every other agent.
        vouchers: Agents whose complete records the sender has merged.
        records: Records of the identities that the receiver is a witness of.
        sets: Earlier sets of agents that still count.
    """

    service: str
    complete: bool
    vouchers: list[Endpoint]
    records: list[RecordEntry]
    sets: list[AgentSet]
