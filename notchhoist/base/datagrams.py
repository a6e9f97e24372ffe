"""UDP sockets that are read in batches and never raise for the network."""

import socket

BATCH = 64
"""Datagrams read before others get their turn."""

RECEIVE_BYTES = 65_535
BUFFER_BYTES = 1 << 20
"""Asked of the kernel for what waits, bytes: a quarter of a second at the
25 Mbit/s of small packets that a busy host sees."""


def open_socket(
    local: tuple[str, int], peer: tuple[str, int] | None = None
) -> socket.socket:
    """Opens a UDP socket that does not block.

    Args:
        local: Where to bind; port 0 lets the kernel choose.
        peer: Where to connect to, or None.

    Raises:
        OSError: The address cannot be bound.
    """
    family = socket.AF_INET6 if ":" in local[0] else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.bind(local)
        if peer is not None:
            sock.connect(peer)
    except OSError:
        sock.close()
        raise
    return sock


def receive_batch(sock: socket.socket) -> list[tuple[bytes, tuple[str, int]]]:
    """Returns what waits at a socket with its senders, at most a batch."""
    received: list[tuple[bytes, tuple[str, int]]] = []
    while len(received) < BATCH:
        try:
            data, sender = sock.recvfrom(RECEIVE_BYTES)
        except ConnectionError:
            # An earlier datagram found nobody; the next one may.
            continue
        except OSError:
            break
        received.append((data, sender[:2]))
    return received


def send(
    sock: socket.socket, datagram: bytes, to: tuple[str, int] | None = None
) -> bool:
    """Sends a datagram; what the kernel refuses is lost, as on a wire.

    Returns:
        Whether the kernel took it, for the sender to count.
    """
    try:
        if to is None:
            sock.send(datagram)
        else:
            sock.sendto(datagram, to)
    except OSError:
        return False
    return True
