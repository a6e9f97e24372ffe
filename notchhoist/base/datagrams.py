"""Non-blocking UDP sockets, read in batches; network errors do not raise."""

import errno
import socket

MAX_PORT = 65_535

BATCH_DATAGRAMS = 64
"""Datagrams read from a socket before the next socket gets its turn."""

RECEIVE_BYTES = 65_535
RECEIVE_BUFFER_BYTES = 1 << 20
"""Size of the kernel's receive buffer that is requested, bytes.

It holds a quarter of a second of small packets at 25 Mbit/s, the rate on a
busy host.
"""


def open_socket(
    local: tuple[str, int], peer: tuple[str, int] | None = None
) -> socket.socket:
    """Opens a non-blocking UDP socket.

    Args:
        local: Address to bind to; with port 0 the kernel chooses a port.
        peer: Address to connect to, or None for an unconnected socket.

    Raises:
        OSError: The socket cannot be bound or connected.
    """
    family = socket.AF_INET6 if ":" in local[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.bind(local)
        if peer is not None:
            sock.connect(peer)
    except OSError:
        sock.close()
        raise
    return sock


def check_numeric(family: int, address: tuple[str, int]) -> None:
    """Checks that an address can be used without looking up a name.

    A lookup would block the process.

    Args:
        family: Address family, such as ``socket.AF_INET``.
        address: Host and port.

    Raises:
        OSError: The host is not an IP address of the family, or there is no
            such port.
    """
    host, port = address
    try:
        socket.inet_pton(family, host)
    except ValueError as error:
        raise OSError(errno.EINVAL, f"no IP address: {error}") from error
    if not 0 <= port <= MAX_PORT:
        raise OSError(errno.EINVAL, "no such port")


def receive_batch(sock: socket.socket) -> list[tuple[bytes, tuple[str, int]]]:
    """Returns datagrams that have arrived with their senders, up to a batch."""
    received: list[tuple[bytes, tuple[str, int]]] = []
    while len(received) < BATCH_DATAGRAMS:
        try:
            data, sender = sock.recvfrom(RECEIVE_BYTES)
        except ConnectionError:
            # ICMP error of an earlier datagram: no socket listened at its
            # destination. Later datagrams can still be read.
            continue
        except OSError:
            break
        received.append((data, sender[:2]))
    return received


def send(
    sock: socket.socket, datagram: bytes, to: tuple[str, int] | None = None
) -> bool:
    """Sends a datagram; one that the kernel refuses is lost.

    Args:
        sock: The socket.
        datagram: The datagram.
        to: IP address and port; None if the socket is connected. A datagram to
            a name is lost, as names are not looked up.

    Returns:
        Whether the kernel accepted it, so that the sender can count losses.
    """
    try:
        if to is None:
            sock.send(datagram)
        else:
            check_numeric(sock.family, to)
            sock.sendto(datagram, to)
    except OSError:
        return False
    return True
