"""Finds out whether anybody listens at an address."""

import errno
import socket
from collections.abc import Callable

from notchhoist.daemon.loop import Loop
from notchhoist.flows.model.effects import ConnectResult

BACKEND_WAIT_S = 0.3
"""A backend server on the same host accepts a connection within this time."""

HOST_WAIT_S = 0.25
"""Another host that has power answers within this time, seconds; a round trip
between zones takes 3 ms, on a thin host 20 ms with its share of a core."""

PACKET_WAIT_S = 0.02
"""The kernel refuses a packet to a closed port of this host within this time,
seconds."""

_REFUSALS = (errno.ECONNREFUSED, errno.ECONNRESET)


def check_port(
    loop: Loop,
    address: tuple[str, int],
    wait_s: float,
    on_checked: Callable[[ConnectResult], None],
) -> None:
    """Tries to connect once and closes the connection at once.

    Args:
        loop: The event loop.
        address: Where to connect to.
        wait_s: How long to wait, seconds.
        on_checked: Takes the outcome.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    at_once = sock.connect_ex(address)

    def end(reach: ConnectResult) -> None:
        timer.cancel()
        loop.forget(sock)
        sock.close()
        on_checked(reach)

    def on_connected() -> None:
        end(_reach(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)))

    timer = loop.call_later(wait_s, lambda: end(ConnectResult.SILENT))
    if at_once in _REFUSALS:
        timer.cancel()
        timer = loop.call_later(0.0, lambda: end(ConnectResult.REFUSED))
    else:
        loop.on_writable(sock, on_connected)


def check_packet_port(
    loop: Loop,
    address: tuple[str, int],
    packet: bytes,
    on_checked: Callable[[ConnectResult], None],
) -> None:
    """Sends one packet and finds out whether the kernel refuses it.

    Args:
        loop: The event loop.
        address: Where to send it to, on this host.
        packet: The packet.
        on_checked: Takes the outcome; silence says nothing.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)

    def end(reach: ConnectResult) -> None:
        timer.cancel()
        loop.forget(sock)
        sock.close()
        on_checked(reach)

    def on_readable() -> None:
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        end(
            ConnectResult.REFUSED
            if error in _REFUSALS
            else ConnectResult.SILENT
        )

    timer = loop.call_later(PACKET_WAIT_S, lambda: end(ConnectResult.SILENT))
    try:
        sock.connect(address)
        sock.send(packet)
    except OSError:
        return  # The timer says that nothing was found out.
    loop.on_readable(sock, on_readable)


def _reach(error: int) -> ConnectResult:
    """Returns what a connection's error number tells."""
    if not error:
        return ConnectResult.ACCEPTED
    return ConnectResult.REFUSED if error in _REFUSALS else ConnectResult.SILENT
