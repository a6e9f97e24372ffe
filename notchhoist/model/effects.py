"""Events that a node takes in and effects that it gives out.

These few types are the whole boundary of the decisions: a harness that can
hand over events and carry out effects can drive any node without sockets.
"""

import attrs

from notchhoist.base.identifiers import Endpoint
from notchhoist.model.messages import Message


@attrs.frozen(slots=True)
class CallerDatagram:
    """A balancer received a datagram on a service's address."""

    service: str
    caller: Endpoint
    datagram: bytes


@attrs.frozen(slots=True)
class PeerMessage:
    """A process of the system sent a message."""

    sender: Endpoint
    message: Message


@attrs.frozen(slots=True)
class BackendDatagram:
    """The backend server sent a datagram on the flow of a caller."""

    caller: Endpoint
    datagram: bytes


@attrs.frozen(slots=True)
class ConfigurationRead:
    """The platform answered a read of the configuration.

    Attributes:
        document: The published text; empty where it has not changed or the
            read failed.
        failed: The platform gave no usable answer.
    """

    document: bytes
    failed: bool


@attrs.frozen(slots=True)
class HostsRead:
    """The platform answered a read of the host list.

    Attributes:
        live: Names of live hosts.
        leaving: Names of hosts that are about to stop.
        failed: The platform gave no usable answer.
    """

    live: frozenset[str]
    leaving: frozenset[str]
    failed: bool


Event = (
    CallerDatagram
    | PeerMessage
    | BackendDatagram
    | ConfigurationRead
    | HostsRead
)


@attrs.frozen(slots=True)
class SendPeer:
    """Send a message to a process of the system."""

    to: Endpoint
    message: Message


@attrs.frozen(slots=True)
class SendCaller:
    """Send a datagram to a caller from the service's address."""

    service: str
    caller: Endpoint
    datagram: bytes


@attrs.frozen(slots=True)
class SendBackend:
    """Send a datagram to the backend server on the flow of a caller.

    Attributes:
        caller: Which flow's socket sends it.
        datagram: The bytes.
        not_after: Runtime clock, seconds: later than this, drop it.
    """

    caller: Endpoint
    datagram: bytes
    not_after: float


@attrs.frozen(slots=True)
class FlowClosed:
    """Close the socket of a flow."""

    caller: Endpoint


@attrs.frozen(slots=True)
class ReadConfiguration:
    """Read the platform's configuration.

    Attributes:
        after: Answer only with a revision above this one.
        wait_s: How long the platform may hold the read; 0 for at once.
    """

    after: int
    wait_s: float


@attrs.frozen(slots=True)
class ReadHosts:
    """Read the platform's host list."""


Effect = (
    SendPeer
    | SendCaller
    | SendBackend
    | FlowClosed
    | ReadConfiguration
    | ReadHosts
)
