"""HTTP GET calls, one at a time, each over a connection of its own.

Open connections may go silent for good while new ones work. A connection that
is kept would be found silent only when the next call on it has timed out, up to
3 s for a watch; a new one costs a round trip of 1 to 3 ms a call.
"""

import errno
import socket
from collections.abc import Callable

import httptools
from msgspec import Struct, field

from notchhoist.daemon.loop import Loop, Timer

CONNECT_S = 1.0
"""A connection takes a few ms; 200 ms more where a packet is lost."""

PROBE_S = 1
PROBES = 2
"""TCP keep-alive: a peer that is cut off shows within 3 s."""

USER_TIMEOUT_MS = 2000
RECEIVE_BYTES = 262_144

NO_ANSWER = "no answer in time"
"""Reason of a call that was given up after its time."""

NOT_NEEDED = "not needed any more"
"""Reason of a call whose answer was given up while it came in."""

OnDone = Callable[[int, bytes], None]
OnFailed = Callable[[str], None]
IsNeeded = Callable[[], bool]


def _always() -> bool:
    return True


class _Answer(Struct, eq=False):
    """Collects an answer; the parser calls the ``on_`` methods."""

    body: bytearray = field(default_factory=bytearray)
    headers: dict[str, str] = field(default_factory=dict)
    complete: bool = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.complete = True


class HttpCaller(Struct, eq=False):
    """Calls one server.

    Attributes:
        loop: The event loop.
        address: The server.
        sock: The connection, or None.
        connected: It has been made.
        request: What is still to be sent.
        answer: The answer under way, or the last one.
        parser: Its parser.
        timer: When the call is given up.
        timeout_s: How long nothing may come, seconds.
        ends_at: When it is given up in any case, seconds.
        is_needed: Asked while the answer comes in.
        on_done: Takes the answer.
        on_failed: Takes the reason of a failure.
    """

    loop: Loop
    address: tuple[str, int]
    sock: socket.socket | None = None
    connected: bool = False
    request: bytes = b""
    answer: _Answer = field(default_factory=_Answer)
    parser: httptools.HttpResponseParser | None = None
    timer: Timer | None = None
    timeout_s: float = 0.0
    ends_at: float = 0.0
    is_needed: IsNeeded = _always
    on_done: OnDone | None = None
    on_failed: OnFailed | None = None

    @property
    def headers(self) -> dict[str, str]:
        """Headers of the last answer, by their names in small letters."""
        return self.answer.headers

    def get(
        self,
        target: str,
        timeout_s: float,
        on_done: OnDone,
        on_failed: OnFailed,
        most_s: float = 0.0,
        is_needed: IsNeeded = _always,
    ) -> None:
        """Makes a call; none may be under way.

        Args:
            target: Path and query.
            timeout_s: How long nothing may come, seconds.
            on_done: Called with status and body.
            on_failed: Called with the reason where none came.
            most_s: How long the call may take while its answer comes in,
                seconds; ``timeout_s`` where that is longer.
            is_needed: Asked while the answer comes in; where it says no, the
                call ends with ``NOT_NEEDED``.
        """
        host, port = self.address
        head = f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        self.request = head.encode()
        self.on_done = on_done
        self.on_failed = on_failed
        self.answer = _Answer()
        self.parser = httptools.HttpResponseParser(self.answer)
        self.timeout_s = timeout_s
        self.ends_at = self.loop.clock() + max(timeout_s, most_s)
        self.is_needed = is_needed
        self._set_timer()
        self._connect()

    def _set_timer(self) -> None:
        """Gives the call its time from now on, up to its end."""
        if self.timer is not None:
            self.timer.cancel()
        when = min(self.loop.clock() + self.timeout_s, self.ends_at)
        self.timer = self.loop.call_at(when, lambda: self._fail(NO_ANSWER))

    def _connect(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        _make_watchful(self.sock)
        self.sock.setblocking(False)
        self.connected = False
        failure = self.sock.connect_ex(self.address)
        if failure not in (0, errno.EINPROGRESS):
            self._fail(f"connect: errno {failure}")
            return
        sock = self.sock
        self.loop.on_writable(sock, self._on_connected)
        self.loop.call_later(CONNECT_S, lambda: self._check_connected(sock))

    def _check_connected(self, sock: socket.socket) -> None:
        if self.sock is sock and not self.connected:
            self._fail("no connection in time")

    def _on_connected(self) -> None:
        if self.sock is None:
            return
        failure = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failure:
            self._fail(f"connect: errno {failure}")
            return
        self.connected = True
        self.loop.on_readable(self.sock, self._read)
        self._write()

    def _write(self) -> None:
        """Sends the request; it is far smaller than any send buffer."""
        if self.sock is None or not self.connected:
            return
        try:
            self.sock.sendall(self.request)
        except OSError as error:
            self._fail(f"send: {error}")

    def _read(self) -> None:
        if self.sock is None:
            return
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(f"receive: {error}")
            return
        if not data or self.parser is None:
            self._fail("closed by the server")
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"no HTTP: {error}")
            return
        if self.answer.complete:
            self._finish()
        elif not self.is_needed():
            self._fail(NOT_NEEDED)
        else:
            self._set_timer()

    def _finish(self) -> None:
        parser, done = self.parser, self.on_done
        self._end_call()
        if parser is None or done is None:
            return
        self._disconnect()
        done(parser.get_status_code(), bytes(self.answer.body))

    def _fail(self, reason: str) -> None:
        failed = self.on_failed
        self._end_call()
        self._disconnect()
        if failed is not None:
            failed(reason)

    def _end_call(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.on_done = self.on_failed = self.parser = None

    def _disconnect(self) -> None:
        if self.sock is not None:
            self.loop.forget(self.sock)
            self.sock.close()
        self.sock = None
        self.connected = False


def _make_watchful(sock: socket.socket) -> None:
    """Lets the kernel notice a peer that has gone without a word."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
