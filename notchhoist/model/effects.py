"""Events that a node handles, and effects that it requests.

These types are the whole interface of the decision code: a test harness that
passes events to a node and performs its effects can run it without sockets.
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
    """Another process of the system sent a message."""

    sender: Endpoint
    message: Message


@attrs.frozen(slots=True)
class BackendDatagram:
    """The backend server sent a datagram on the flow of a caller."""

    caller: Endpoint
    datagram: bytes


@attrs.frozen(slots=True)
class ConfigurationRead:
    """A read of the configuration at the platform ended.

    Attributes:
        document: The published text; empty if it has not changed or the read
            failed.
        failed: The platform did not send a usable answer.
    """

    document: bytes
    failed: bool


@attrs.frozen(slots=True)
class HostsRead:
    """A read of the host list at the platform ended.

    Attributes:
        live: Names of live hosts.
        leaving: Names of hosts that are about to stop.
        failed: The platform did not send a usable answer.
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
    """Send a message to another process of the system."""

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
        caller: Caller of the flow whose socket sends the datagram.
        datagram: The bytes.
        not_after: Runtime clock after which the datagram is dropped, seconds.
    """

    caller: Endpoint
    datagram: bytes
    not_after: float


@attrs.frozen(slots=True)
class CloseFlowSocket:
    """Close the socket of a flow."""

    caller: Endpoint


@attrs.frozen(slots=True)
class ReadConfiguration:
    """Read the configuration at the platform.

    Attributes:
        after: The platform answers only with a revision above this one.
        wait_s: Time for which the platform may delay its answer until there
            is such a revision, seconds; 0 for an immediate answer.
    """

    after: int
    wait_s: float


@attrs.frozen(slots=True)
class ReadHosts:
    """Read the host list at the platform."""


Effect = (
    SendPeer
    | SendCaller
    | SendBackend
    | CloseFlowSocket
    | ReadConfiguration
    | ReadHosts
)
