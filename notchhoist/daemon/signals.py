"""Delivers Unix signals through the daemon's event loop."""

import signal
import socket
from collections.abc import Callable

from notchhoist.daemon.loop import Loop


def watch_signals(loop: Loop, on_signal: Callable[[int], None]) -> None:
    """Calls a function on SIGTERM, SIGINT and SIGHUP; ignores SIGPIPE."""
    receiver, sender = socket.socketpair()
    receiver.setblocking(False)
    sender.setblocking(False)
    signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)

    def read_signals() -> None:
        # The reference to ``sender`` keeps it open for the signal handler.
        for number in receiver.recv(64) if sender else b"":
            on_signal(number)

    loop.on_readable(receiver, read_signals)
