"""What a node of the opaque-flow path asks its runtime to do."""

import enum

from msgspec import Struct

from notchhoist.flows.model.messages import PeerMessage


class Reach(enum.Enum):
    """What came of an attempt to connect.

    Attributes:
        ACCEPTED: Somebody listens, if only the kernel of a paused process.
        REFUSED: The host lives and nobody listens.
        SILENT: No answer came, nor a usable one.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"


class SendAgent(Struct, frozen=True):
    """A packet to the agent on a host.

    Attributes:
        host: IP number of the host.
        datagram: The packet.
        flow: Key of its flow where it may be a copy, else empty.
        seq: Its number in the flow.
    """

    host: str
    datagram: bytes
    flow: bytes = b""
    seq: int = 0


class SendBalancer(Struct, frozen=True):
    """A packet to the balancer on a host."""

    host: str
    datagram: bytes


class SendCaller(Struct, frozen=True):
    """A packet to a caller; see ``SendAgent`` for its attributes."""

    host: str
    datagram: bytes
    flow: bytes = b""
    seq: int = 0


class SendBackend(Struct, frozen=True):
    """A packet to the backend server on this host."""

    datagram: bytes


class SendPeer(Struct, frozen=True):
    """A control message to the process on a host."""

    host: str
    message: PeerMessage


class CheckBackend(Struct, frozen=True):
    """Finds out whether the backend server on this host still listens.

    Attributes:
        sample: A packet that its process may get once more, to find out whether
            it takes packets where it accepts no connections; or empty.
    """

    sample: bytes = b""


class CheckHost(Struct, frozen=True):
    """Finds out whether the process on another host is there."""

    host: str


class ConfirmView(Struct, frozen=True):
    """Reads at once what the platform has published since the last time."""


Effect = (
    SendAgent
    | SendBalancer
    | SendCaller
    | SendBackend
    | SendPeer
    | CheckBackend
    | CheckHost
    | ConfirmView
)
