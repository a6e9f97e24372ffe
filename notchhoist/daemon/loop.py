"""Minimal event loop for daemons that balance opaque flows.

Loading ``anyio`` with its asyncio backend takes 0.1 s of processor time and
10 MB, which delays each restart on the platform's hosts (see
docs/DECISIONS/08-start-up.md). The standard library's ``selectors`` module
takes neither.
"""

import heapq
import itertools
import selectors
import socket
from collections.abc import Callable

from msgspec import Struct, field

Clock = Callable[[], float]
Callback = Callable[[], None]

_READ = selectors.EVENT_READ
_WRITE = selectors.EVENT_WRITE


class Timer(Struct, eq=False):
    """A scheduled call.

    Attributes:
        when: Time of the call by the loop's clock, seconds.
        callback: Function to call, or None after ``cancel``.
    """

    when: float
    callback: Callback | None

    def cancel(self) -> None:
        """Cancels the call."""
        self.callback = None


class Loop(Struct, eq=False):
    """Calls functions when sockets are ready and when timers are due.

    Attributes:
        clock: Returns the time, seconds.
        selector: Selector with the callback of each socket.
        timers: Heap of the timers, by time and sequence number.
        sequence: Numbers that order timers of the same time.
        running: Whether ``run`` continues; False after ``stop``.
    """

    clock: Clock
    selector: selectors.BaseSelector = field(
        default_factory=selectors.DefaultSelector
    )
    timers: list[tuple[float, int, Timer]] = field(default_factory=list)
    sequence: "itertools.count[int]" = field(default_factory=itertools.count)
    running: bool = True

    def on_readable(self, sock: socket.socket, callback: Callback) -> None:
        """Calls a function whenever a socket is readable."""
        self._watch(sock, _READ, callback)

    def on_writable(self, sock: socket.socket, callback: Callback) -> None:
        """Calls a function whenever a socket is writable or has failed."""
        self._watch(sock, _WRITE, callback)

    def _watch(
        self, sock: socket.socket, events: int, callback: Callback
    ) -> None:
        self.stop_watching(sock)
        self.selector.register(sock, events, callback)

    def stop_watching(self, sock: socket.socket) -> None:
        """Removes the callback of a socket, if there is one."""
        try:
            self.selector.unregister(sock)
        except (KeyError, ValueError):
            return  # The socket has no callback.

    def call_at(self, when: float, callback: Callback) -> Timer:
        """Schedules a call at a time by the loop's clock, seconds."""
        timer = Timer(when, callback)
        heapq.heappush(self.timers, (when, next(self.sequence), timer))
        return timer

    def call_later(self, delay: float, callback: Callback) -> Timer:
        """Schedules a call after a delay, seconds."""
        return self.call_at(self.clock() + delay, callback)

    def stop(self) -> None:
        """Makes ``run`` return after the current iteration."""
        self.running = False

    def run(self) -> None:
        """Runs the loop until ``stop`` is called."""
        while self.running:
            self.run_once()

    def run_once(self) -> None:
        """Runs one iteration: waits for sockets or timers and calls them.

        Sockets precede timers: after a stall of the process, answers that
        wait in the sockets must be read before timeouts are evaluated.
        """
        for key, _ in self.selector.select(self._select_timeout()):
            key.data()
        now = self.clock()
        while self.timers and self.timers[0][0] <= now:
            callback = heapq.heappop(self.timers)[2].callback
            if callback is not None:
                callback()

    def _select_timeout(self) -> float | None:
        while self.timers and self.timers[0][2].callback is None:
            heapq.heappop(self.timers)
        if not self.timers:
            return None
        return max(0.0, self.timers[0][0] - self.clock())
