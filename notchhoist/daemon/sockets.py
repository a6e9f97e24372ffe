"""UDP sockets that are read in batches and whose errors end no task."""

import socket
from collections.abc import Callable

import anyio
import attrs
import xxhash

from notchhoist import model
from notchhoist.base import datagrams

MIN_PORT = 1024
PORT_COUNT = 60_000
LOOPBACK_PREFIX = "127."
MAX_DERIVED_ATTEMPTS = 4

OnDatagram = Callable[[bytes, model.Endpoint], None]


@attrs.define(eq=False)
class UdpPort:
    """A bound UDP socket.

    Attributes:
        sock: The non-blocking socket.
        closed: Whether the socket has been closed.
    """

    sock: socket.socket
    closed: bool = False

    @property
    def endpoint(self) -> model.Endpoint:
        """The local endpoint."""
        host, port = self.sock.getsockname()[:2]
        return model.Endpoint(host, port)

    def send(self, datagram: bytes, to: model.Endpoint | None = None) -> None:
        """Sends a datagram, which is lost if the kernel refuses it."""
        address = (to.host, to.port) if to is not None else None
        datagrams.send(self.sock, datagram, address)

    def receive(self) -> list[tuple[bytes, model.Endpoint]]:
        """Returns the datagrams received so far, one batch at most."""
        return [
            (data, model.Endpoint(host, port))
            for data, (host, port) in datagrams.receive_batch(self.sock)
        ]

    def discard(self) -> int:
        """Discards all waiting datagrams and returns their number."""
        count = 0
        while batch := self.receive():
            count += len(batch)
        return count

    async def run(self, on_datagram: OnDatagram) -> None:
        """Passes on received datagrams until the port is closed."""
        while not self.closed:
            try:
                await anyio.wait_readable(self.sock)
            except (anyio.ClosedResourceError, OSError, ValueError):
                return
            for data, sender in self.receive():
                on_datagram(data, sender)
            await anyio.lowlevel.checkpoint()

    def close(self) -> None:
        """Closes the socket, which makes ``run`` return."""
        if self.closed:
            return
        self.closed = True
        anyio.notify_closing(self.sock)
        self.sock.close()


def open_udp(
    local: model.Endpoint, peer: model.Endpoint | None = None
) -> UdpPort:
    """Opens a UDP socket.

    Args:
        local: Endpoint to bind; the kernel chooses a port for port 0.
        peer: Endpoint to connect to, or None.

    Returns:
        The bound socket.

    Raises:
        OSError: The address cannot be bound.
    """
    connected = (peer.host, peer.port) if peer is not None else None
    return UdpPort(datagrams.open_socket((local.host, local.port), connected))


def derived_endpoint(
    agent: str, caller: model.Endpoint, attempt: int
) -> model.Endpoint:
    """Returns the loopback endpoint that a flow is bound to.

    The endpoint depends on the agent and the caller only. A restarted agent
    binds the same one, so the backend server sees the same flow.

    Examples:
        >>> caller = model.Endpoint("10.1.1.1", 4000)
        >>> derived_endpoint("a", caller, 0) == derived_endpoint("a", caller, 0)
        True

    Args:
        agent: Name of the agent's host.
        caller: Endpoint of the caller.
        attempt: Number of endpoints tried before, as those are in use.

    Returns:
        An endpoint in 127.0.0.0/8.
    """
    text = f"{agent}|{caller}|{attempt}".encode()
    digest = xxhash.xxh3_64_intdigest(text)
    octets = [(digest >> shift) & 0xFF for shift in (0, 8, 16)]
    last = 1 + octets[2] % 254
    host = f"{LOOPBACK_PREFIX}{octets[0]}.{octets[1]}.{last}"
    return model.Endpoint(host, MIN_PORT + (digest >> 24) % PORT_COUNT)


def open_flow(
    agent: str, caller: model.Endpoint, backend: model.Endpoint
) -> UdpPort:
    """Opens the socket of a flow towards the backend server.

    For a backend server on a loopback address the local endpoint is derived
    from agent and caller; otherwise the kernel chooses it.
    """
    if not backend.host.startswith(LOOPBACK_PREFIX):
        any_address = "::" if ":" in backend.host else "0.0.0.0"
        return open_udp(model.Endpoint(any_address, 0), backend)
    for attempt in range(MAX_DERIVED_ATTEMPTS):
        try:
            return open_udp(derived_endpoint(agent, caller, attempt), backend)
        except OSError:
            continue
    return open_udp(model.Endpoint("127.0.0.1", 0), backend)
