"""A small event loop for the packets of opaque flows.

``anyio`` with its asyncio backend takes 0.1 s of processor time and 10 MB to
load, which the platform's hosts feel after every restart (see
docs/DECISIONS/08-start-up.md); the standard library's ``selectors`` takes
neither.
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
    """Something that is to happen.

    Attributes:
        when: Runtime clock, seconds.
        callback: What to call, or None once cancelled.
    """

    when: float
    callback: Callback | None

    def cancel(self) -> None:
        """Keeps it from happening."""
        self.callback = None


class Loop(Struct, eq=False):
    """Calls back when sockets are ready and when time has come.

    Attributes:
        clock: The runtime's clock.
        selector: Watches the sockets.
        timers: What is to happen, by time.
        numbers: Order of what happens at the same time.
        running: ``stop`` has not been called.
    """

    clock: Clock
    selector: selectors.BaseSelector = field(
        default_factory=selectors.DefaultSelector
    )
    timers: list[tuple[float, int, Timer]] = field(default_factory=list)
    numbers: "itertools.count[int]" = field(default_factory=itertools.count)
    running: bool = True

    def on_readable(self, sock: socket.socket, callback: Callback) -> None:
        """Calls back whenever a socket can be read."""
        self._watch(sock, _READ, callback)

    def on_writable(self, sock: socket.socket, callback: Callback) -> None:
        """Calls back whenever a socket can be written or has failed."""
        self._watch(sock, _WRITE, callback)

    def _watch(
        self, sock: socket.socket, events: int, callback: Callback
    ) -> None:
        self.forget(sock)
        self.selector.register(sock, events, callback)

    def forget(self, sock: socket.socket) -> None:
        """Watches a socket no longer."""
        try:
            self.selector.unregister(sock)
        except (KeyError, ValueError):
            return  # It is not watched, which is what was asked for.

    def call_at(self, when: float, callback: Callback) -> Timer:
        """Calls back at a time."""
        timer = Timer(when, callback)
        heapq.heappush(self.timers, (when, next(self.numbers), timer))
        return timer

    def call_later(self, delay: float, callback: Callback) -> Timer:
        """Calls back after a delay, seconds."""
        return self.call_at(self.clock() + delay, callback)

    def stop(self) -> None:
        """Lets ``run`` return."""
        self.running = False

    def run(self) -> None:
        """Runs until it is stopped."""
        while self.running:
            self.turn()

    def turn(self) -> None:
        """Waits for the next thing to happen and lets it.

        Sockets come before timers: after a pause of the process, answers that
        wait must be read before anybody's silence is judged.
        """
        for key, _ in self.selector.select(self._wait()):
            key.data()
        now = self.clock()
        while self.timers and self.timers[0][0] <= now:
            callback = heapq.heappop(self.timers)[2].callback
            if callback is not None:
                callback()

    def _wait(self) -> float | None:
        while self.timers and self.timers[0][2].callback is None:
            heapq.heappop(self.timers)
        if not self.timers:
            return None
        return max(0.0, self.timers[0][0] - self.clock())
