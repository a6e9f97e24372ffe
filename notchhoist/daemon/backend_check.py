"""Finds out whether the backend server on this host listens."""

import socket
from collections.abc import Callable

from notchhoist.daemon.loop import Loop

CHECK_S = 0.3
"""A backend server on the same host accepts a connection within this time."""


def check_backend(
    loop: Loop,
    address: tuple[str, int] | None,
    on_checked: Callable[[bool], None],
) -> None:
    """Finds out by a TCP connection whether anybody listens.

    A backend server that does not answer at all counts as listening: it may be
    slow, and its flows live.

    Args:
        loop: The event loop.
        address: The backend server.
        on_checked: Takes the outcome.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.connect_ex(address or ("", 0))

    def end(listens: bool) -> None:
        timer.cancel()
        loop.forget(sock)
        sock.close()
        on_checked(listens)

    def on_connected() -> None:
        end(not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    timer = loop.call_later(CHECK_S, lambda: end(True))
    loop.on_writable(sock, on_connected)
