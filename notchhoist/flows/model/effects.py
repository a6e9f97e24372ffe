"""Effects: what a node of the opaque-flow path asks its runtime to do."""

import enum

from msgspec import Struct

from notchhoist.flows.model.messages import PeerMessage


class ConnectResult(enum.Enum):
    """Result of an attempt to connect to a host.

    Attributes:
        ACCEPTED: The connection was accepted, if only by the kernel for a
            paused process.
        REFUSED: The host is up, but no process listens.
        SILENT: No usable answer arrived.
    """

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"


class SendAgent(Struct, frozen=True):
    """Sends a packet to the agent on a host.

    Attributes:
        host: IP address of the host.
        datagram: The packet.
        flow: Key of its flow where it may be a retransmission, else empty.
        seq: Its sequence number in the flow.
    """

    host: str
    datagram: bytes
    flow: bytes = b""
    seq: int = 0


class SendBalancer(Struct, frozen=True):
    """Sends a packet to the balancer on a host."""

    host: str
    datagram: bytes


class SendCaller(Struct, frozen=True):
    """Sends a packet to a caller; see ``SendAgent`` for the attributes."""

    host: str
    datagram: bytes
    flow: bytes = b""
    seq: int = 0


class SendBackend(Struct, frozen=True):
    """Sends a packet to the backend server on this host."""

    datagram: bytes


class SendPeer(Struct, frozen=True):
    """Sends a control message to the process on a host."""

    host: str
    message: PeerMessage


class CheckBackend(Struct, frozen=True):
    """Checks whether the backend server on this host still listens.

    Attributes:
        packet: A packet that may be sent to it once more, to check whether its
            process takes packets although it accepts no connections; or empty.
    """

    packet: bytes = b""


class CheckHost(Struct, frozen=True):
    """Checks whether the process on another host accepts connections."""

    host: str


class ConfirmView(Struct, frozen=True):
    """Reads at once what the platform has published since the last read."""


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
