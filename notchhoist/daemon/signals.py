"""Signals delivered through the small loop."""

import signal
import socket
from collections.abc import Callable

from notchhoist.daemon.loop import Loop


def watch_signals(loop: Loop, on_signal: Callable[[int], None]) -> None:
    """Delivers signals through the loop."""
    receiver, sender = socket.socketpair()
    receiver.setblocking(False)
    sender.setblocking(False)
    signal.set_wakeup_fd(sender.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)

    def read() -> None:
        # Holding ``sender`` here keeps it open for the handler.
        for number in receiver.recv(64) if sender else b"":
            on_signal(number)

    loop.on_readable(receiver, read)
