"""Checks whether a process listens at an address."""

import errno
import socket
from collections.abc import Callable

from notchhoist.base.datagrams import check_numeric
from notchhoist.daemon.loop import Loop
from notchhoist.flows.model.effects import ConnectResult

BACKEND_CONNECT_TIMEOUT_S = 0.3
"""A backend server on this host accepts connections in this time, seconds."""

HOST_CONNECT_TIMEOUT_S = 0.25
"""Another host that is up answers within this time, seconds. A round trip
between zones takes 3 ms, or 20 ms if the host has little CPU."""

REFUSAL_TIMEOUT_S = 0.02
"""The kernel refuses a packet to a closed port of this host within this time,
seconds."""

_REFUSED_ERRORS = (errno.ECONNREFUSED, errno.ECONNRESET)


def check_tcp_port(
    loop: Loop,
    address: tuple[str, int],
    wait_s: float,
    on_checked: Callable[[ConnectResult], None],
) -> None:
    """Attempts one TCP connection, which is closed immediately.

    Args:
        loop: The event loop.
        address: Address to connect to.
        wait_s: Timeout of the attempt, seconds.
        on_checked: Called with the result; ``SILENT`` too if the attempt
            cannot be made.
    """
    try:
        sock = _open_socket(socket.SOCK_STREAM, address)
    except OSError as error:
        loop.note("check_tcp_port", error)
        loop.call_later(wait_s, lambda: on_checked(ConnectResult.SILENT))
        return
    immediate_error = sock.connect_ex(address)

    def finish(result: ConnectResult) -> None:
        timer.cancel()
        loop.stop_watching(sock)
        sock.close()
        on_checked(result)

    def on_connected() -> None:
        finish(_to_result(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)))

    timer = loop.call_later(wait_s, lambda: finish(ConnectResult.SILENT))
    if immediate_error in _REFUSED_ERRORS:
        timer.cancel()
        timer = loop.call_later(0.0, lambda: finish(ConnectResult.REFUSED))
    else:
        loop.on_writable(sock, on_connected)


def check_udp_port(
    loop: Loop,
    address: tuple[str, int],
    packet: bytes,
    on_checked: Callable[[ConnectResult], None],
) -> None:
    """Sends one UDP packet and checks whether the kernel refuses it.

    Args:
        loop: The event loop.
        address: Destination, an address of this host.
        packet: Payload of the packet.
        on_checked: Called with the result; ``SILENT`` is inconclusive.
    """
    try:
        sock = _open_socket(socket.SOCK_DGRAM, address)
    except OSError as error:
        loop.note("check_udp_port", error)
        loop.call_later(
            REFUSAL_TIMEOUT_S, lambda: on_checked(ConnectResult.SILENT)
        )
        return

    def finish(result: ConnectResult) -> None:
        timer.cancel()
        loop.stop_watching(sock)
        sock.close()
        on_checked(result)

    def on_readable() -> None:
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        finish(
            ConnectResult.REFUSED
            if error in _REFUSED_ERRORS
            else ConnectResult.SILENT
        )

    timer = loop.call_later(
        REFUSAL_TIMEOUT_S, lambda: finish(ConnectResult.SILENT)
    )
    try:
        sock.connect(address)
        sock.send(packet)
    except OSError:
        return  # The timer reports that the check was inconclusive.
    loop.on_readable(sock, on_readable)


def check_backend(
    loop: Loop,
    backend: tuple[str, int],
    sample: bytes,
    report: Callable[[bool, bool | None], None],
) -> None:
    """Checks whether the backend server accepts connections, or packets.

    Args:
        loop: The event loop.
        backend: Address of the server.
        sample: Packet that is sent if it refuses connections; empty for none.
        report: Called with whether the server accepts connections, or may do
            so, and whether it refused the packet, None if none was sent.
    """

    def on_packet_checked(result: ConnectResult) -> None:
        report(False, result is ConnectResult.REFUSED)

    def on_checked(result: ConnectResult) -> None:
        # A server that does not answer at all may only be slow, and its flows
        # alive.
        if result is not ConnectResult.REFUSED:
            report(True, None)
        elif sample:
            check_udp_port(loop, backend, sample, on_packet_checked)
        else:
            report(False, None)

    check_tcp_port(loop, backend, BACKEND_CONNECT_TIMEOUT_S, on_checked)


def check_host(
    loop: Loop,
    address: tuple[str, int],
    report: Callable[[ConnectResult], None],
) -> None:
    """Checks whether another host answers at a port.

    Args:
        loop: The event loop.
        address: A port at which its agent listens.
        report: Called with the result.
    """
    check_tcp_port(loop, address, HOST_CONNECT_TIMEOUT_S, report)


def _open_socket(
    kind: socket.SocketKind, address: tuple[str, int]
) -> socket.socket:
    """Opens a non-blocking socket to connect to an address.

    Raises:
        OSError: The address is not usable, or there is no free descriptor.
    """
    check_numeric(socket.AF_INET, address)
    sock = socket.socket(socket.AF_INET, kind)
    sock.setblocking(False)
    return sock


def _to_result(error: int) -> ConnectResult:
    """Converts the error number of a connection attempt."""
    if not error:
        return ConnectResult.ACCEPTED
    return (
        ConnectResult.REFUSED
        if error in _REFUSED_ERRORS
        else ConnectResult.SILENT
    )
