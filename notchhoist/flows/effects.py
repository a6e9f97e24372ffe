"""What a node of the opaque-flow path asks its runtime to do."""

from msgspec import Struct

from notchhoist.flows.messages import PeerMessage


class SendAgent(Struct, frozen=True):
    """A packet to the agent on a host."""

    host: str
    datagram: bytes


class SendBalancer(Struct, frozen=True):
    """A packet to the balancer on a host."""

    host: str
    datagram: bytes


class SendCaller(Struct, frozen=True):
    """A packet to a caller."""

    host: str
    datagram: bytes


class SendBackend(Struct, frozen=True):
    """A packet to the backend server on this host."""

    datagram: bytes


class SendPeer(Struct, frozen=True):
    """A control message to the process on a host."""

    host: str
    message: PeerMessage


class CheckBackend(Struct, frozen=True):
    """Finds out whether the backend server on this host still listens."""


class ConfirmView(Struct, frozen=True):
    """Reads at once what the platform has published since the last time."""


Effect = (
    SendAgent
    | SendBalancer
    | SendCaller
    | SendBackend
    | SendPeer
    | CheckBackend
    | ConfirmView
)
