"""What a node of the opaque-flow path asks its runtime to do."""

import attrs

from notchhoist.flows.messages import PeerMessage


@attrs.frozen
class SendAgent:
    """A packet to the agent on a host."""

    host: str
    datagram: bytes


@attrs.frozen
class SendBalancer:
    """A packet to the balancer on a host."""

    host: str
    datagram: bytes


@attrs.frozen
class SendCaller:
    """A packet to a caller."""

    host: str
    datagram: bytes


@attrs.frozen
class SendBackend:
    """A packet to the backend server on this host."""

    datagram: bytes


@attrs.frozen
class SendPeer:
    """A control message to the process on a host."""

    host: str
    message: PeerMessage


@attrs.frozen
class CheckBackend:
    """Finds out whether the backend server on this host still listens."""


Effect = (
    SendAgent
    | SendBalancer
    | SendCaller
    | SendBackend
    | SendPeer
    | CheckBackend
)
