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
from collections.abc import Callable, Sequence
from typing import cast

from msgspec import Struct, field

Clock = Callable[[], float]
Callback = Callable[[], None]
StallCallback = Callable[[float, Sequence[object]], None]
"""Gets the length of a stall, seconds, and the sockets that are readable."""

ExceptionHandler = Callable[[str, Exception], None]
"""Gets the name of a callback and the exception that left it."""

MAX_WAIT_S = 3600.0
"""Longest wait in one iteration, seconds; the kernel limits it too."""

FAILED_SOCKET_PAUSE_S = 0.05
"""How long a socket is not watched after an exception left its callback,
seconds. If the callback raises before it has read, the socket stays ready, and
the loop would do nothing else."""

STALL_S = 0.4
"""Shortest time for which the loop must not have run to count as stalled,
seconds."""

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
        on_stall: Called before the sockets are read if the process was paused
            or got no CPU time, or if its callbacks took long.
        woken_at: When the last iteration stopped waiting, seconds; None before
            the first.
        on_exception: Handles exceptions that leave callbacks, which then cost
            only that call. Without it they end ``run``.
        failure: Exception that ends ``run``; see ``fail``.
    """

    clock: Clock
    selector: selectors.BaseSelector = field(
        default_factory=selectors.DefaultSelector
    )
    timers: list[tuple[float, int, Timer]] = field(default_factory=list)
    sequence: "itertools.count[int]" = field(default_factory=itertools.count)
    running: bool = True
    on_stall: StallCallback | None = None
    woken_at: float | None = None
    on_exception: ExceptionHandler | None = None
    failure: Exception | None = None

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

    def fail(self, error: Exception) -> None:
        """Makes ``run`` raise an exception after the current iteration."""
        self.failure = error
        self.stop()

    def report(self, name: str, error: Exception) -> None:
        """Hands an exception to ``on_exception``, or raises it without one.

        Args:
            name: Name of the callback or of the part of it that failed.
            error: The exception.
        """
        if self.on_exception is None:
            raise error
        self.on_exception(name, error)

    def note(self, name: str, error: Exception) -> None:
        """Hands an exception that was handled to ``on_exception``, if any."""
        if self.on_exception is not None:
            self.on_exception(name, error)

    def call(self, callback: Callback) -> bool:
        """Calls a function and reports an exception that leaves it.

        Returns:
            Whether none did.
        """
        try:
            callback()
        except Exception as error:  # What callbacks raise has no common type.
            self.report(name_of(callback), error)
            return False
        return True

    def run(self) -> None:
        """Runs the loop until ``stop`` or ``fail`` is called.

        Raises:
            Exception: The exception that ``fail`` got.
        """
        while self.running:
            self.run_once()
        if self.failure is not None:
            raise self.failure

    def run_once(self) -> None:
        """Runs one iteration: waits for sockets or timers and calls them.

        Sockets precede timers: after a stall of the process, answers that
        wait in the sockets must be read before timeouts are evaluated.
        """
        waits_since = self.clock()
        timeout_s = self._select_timeout(waits_since)
        ready = [key for key, _ in self.selector.select(timeout_s)]
        self._detect_stall(waits_since, timeout_s, ready)
        for key in ready:
            if not self.call(key.data):
                self._pause_watching(key)
        now = self.clock()
        while self.timers and self.timers[0][0] <= now:
            callback = heapq.heappop(self.timers)[2].callback
            if callback is not None:
                self.call(callback)

    def _pause_watching(self, key: selectors.SelectorKey) -> None:
        """Watches a socket again after a pause, unless that was changed."""
        if self.selector.get_map().get(key.fd) != key:
            return
        self.selector.unregister(key.fileobj)

        def resume() -> None:
            sock = cast("socket.socket", key.fileobj)
            if sock.fileno() == key.fd not in self.selector.get_map():
                self.selector.register(sock, key.events, key.data)

        self.call_later(FAILED_SOCKET_PAUSE_S, resume)

    def _detect_stall(
        self,
        waits_since: float,
        timeout_s: float | None,
        ready: Sequence[selectors.SelectorKey],
    ) -> None:
        """Reports a stall since the last iteration stopped waiting.

        Args:
            waits_since: When this iteration began to wait, seconds.
            timeout_s: How long it was to wait at most, seconds, or None.
            ready: Sockets that are readable or writable.
        """
        woken_at = self.clock()
        overslept_s = 0.0
        if timeout_s is not None:
            overslept_s = woken_at - waits_since - timeout_s
        busy_s = 0.0 if self.woken_at is None else waits_since - self.woken_at
        self.woken_at = woken_at
        stalled_s = max(overslept_s, busy_s)
        on_stall = self.on_stall
        if stalled_s >= STALL_S and on_stall is not None:
            readable = [key.fileobj for key in ready]
            self.call(lambda: on_stall(stalled_s, readable))

    def _select_timeout(self, now: float) -> float | None:
        while self.timers and self.timers[0][2].callback is None:
            heapq.heappop(self.timers)
        if not self.timers:
            return None
        return min(max(0.0, self.timers[0][0] - now), MAX_WAIT_S)


def name_of(callback: Callable[..., object]) -> str:
    """Returns the name of a callback for the log.

    Examples:
        >>> name_of(Loop.stop)
        'Loop.stop'
    """
    return getattr(callback, "__qualname__", type(callback).__name__)
