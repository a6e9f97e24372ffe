"""HTTP client for GET requests, with a new connection for each request.

Open connections may stop delivering data for good while new connections work.
On a persistent connection this is noticed only when the next request times out,
after up to 3 s for a watch. A new connection costs a round trip of 1 to 3 ms.
"""

import errno
import socket
from collections.abc import Callable

import httptools
from msgspec import Struct, field

from notchhoist.base.datagrams import check_numeric
from notchhoist.daemon.loop import Loop, Timer

CONNECT_TIMEOUT_S = 1.0
"""Connecting takes a few ms, and 200 ms more if a packet is lost."""

KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""With these TCP keep-alive values an unreachable peer is found within 3 s."""

USER_TIMEOUT_MS = 2000
RECEIVE_BYTES = 262_144

MAX_RESPONSE_BYTES = 32_000_000
"""Longest response, bytes, a fraction of the memory of a process. A page of a
listing has about 1 MB."""

NO_ANSWER = "no answer in time"
"""Failure reason of a request that timed out."""

NOT_NEEDED = "not needed any more"
"""Failure reason of a request cancelled while its response was received."""

TOO_LONG = "response too long"
"""Failure reason of a request whose response exceeds its limit."""

OnDone = Callable[[int, bytes], None]
OnFailed = Callable[[str], None]
IsNeeded = Callable[[], bool]


def _always_needed() -> bool:
    return True


class _Response(Struct, eq=False):
    """Collects a response; the parser calls its ``on_`` methods."""

    body: bytearray = field(default_factory=bytearray)
    headers: dict[str, str] = field(default_factory=dict)
    complete: bool = False
    received: int = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.complete = True


class HttpClient(Struct, eq=False):
    """Sends GET requests to one server.

    Attributes:
        loop: The event loop.
        address: Address of the server.
        sock: Socket of the connection, or None.
        connected: Whether the connection has been established.
        request: Bytes of the last request.
        response: The response being received, or the last one.
        parser: Parser of the response; None if no request is pending.
        timer: Fails the request when it times out.
        timeout_s: Longest time without data, seconds.
        deadline: Latest end of the request by the loop's clock, seconds.
        is_needed: Checked while the response is being received.
        on_done: Called with status and body of the response.
        on_failed: Called with the reason of a failure.
    """

    loop: Loop
    address: tuple[str, int]
    sock: socket.socket | None = None
    connected: bool = False
    request: bytes = b""
    response: _Response = field(default_factory=_Response)
    parser: httptools.HttpResponseParser | None = None
    timer: Timer | None = None
    timeout_s: float = 0.0
    deadline: float = 0.0
    is_needed: IsNeeded = _always_needed
    on_done: OnDone | None = None
    on_failed: OnFailed | None = None

    @property
    def headers(self) -> dict[str, str]:
        """Headers of the last response, by their names in lower case."""
        return self.response.headers

    def get(
        self,
        target: str,
        timeout_s: float,
        on_done: OnDone,
        on_failed: OnFailed,
        total_timeout_s: float = 0.0,
        is_needed: IsNeeded = _always_needed,
    ) -> None:
        """Sends a request; no other may be pending.

        Args:
            target: Path and query of the URL.
            timeout_s: Longest time without data, seconds.
            on_done: Called with status and body of the response.
            on_failed: Called with the reason if there is no response.
            total_timeout_s: Longest time of the whole request while data
                keeps arriving, seconds; ``timeout_s`` if that is longer.
            is_needed: Checked while the response is being received; when it
                returns False, the request fails with ``NOT_NEEDED``.
        """
        host, port = self.address
        head = f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        self.request = head.encode(errors="replace")
        self.on_done = on_done
        self.on_failed = on_failed
        self.response = _Response()
        self.parser = httptools.HttpResponseParser(self.response)
        self.timeout_s = timeout_s
        self.deadline = self.loop.clock() + max(timeout_s, total_timeout_s)
        self.is_needed = is_needed
        self._set_timer()
        self._connect()

    def _set_timer(self) -> None:
        """Restarts the timeout, limited by the deadline of the request."""
        if self.timer is not None:
            self.timer.cancel()
        when = min(self.loop.clock() + self.timeout_s, self.deadline)
        self.timer = self.loop.call_at(when, lambda: self._fail(NO_ANSWER))

    def _connect(self) -> None:
        self.connected = False
        try:
            check_numeric(socket.AF_INET, self.address)
            self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            _enable_keepalive(self.sock)
        except OSError as error:
            self._fail(f"connect: {error}")
            return
        self.sock.setblocking(False)
        error_number = self.sock.connect_ex(self.address)
        if error_number not in (0, errno.EINPROGRESS):
            self._fail(f"connect: errno {error_number}")
            return
        sock = self.sock
        self.loop.on_writable(sock, self._on_connected)
        self.loop.call_later(
            CONNECT_TIMEOUT_S, lambda: self._check_connected(sock)
        )

    def _check_connected(self, sock: socket.socket) -> None:
        if self.sock is sock and not self.connected:
            self._fail("no connection established in time")

    def _on_connected(self) -> None:
        if self.sock is None:
            return
        error_number = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            self._fail(f"connect: errno {error_number}")
            return
        self.connected = True
        self.loop.on_readable(self.sock, self._read)
        self._write()

    def _write(self) -> None:
        """Sends the request, which is far smaller than any send buffer."""
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
            self._fail("connection closed by the server")
            return
        self.response.received += len(data)
        if self.response.received > MAX_RESPONSE_BYTES:
            self._fail(TOO_LONG)
            return
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._fail(f"invalid HTTP response: {error}")
            return
        if self.response.complete:
            self._finish()
        elif not self.is_needed():
            self._fail(NOT_NEEDED)
        else:
            self._set_timer()

    def _finish(self) -> None:
        parser, done = self.parser, self.on_done
        self._clear_request()
        if parser is None or done is None:
            return
        self._disconnect()
        done(parser.get_status_code(), bytes(self.response.body))

    def _fail(self, reason: str) -> None:
        failed = self.on_failed
        self._clear_request()
        self._disconnect()
        if failed is not None:
            failed(reason)

    def _clear_request(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.on_done = self.on_failed = self.parser = None

    def _disconnect(self) -> None:
        if self.sock is not None:
            self.loop.stop_watching(self.sock)
            self.sock.close()
        self.sock = None
        self.connected = False


def _enable_keepalive(sock: socket.socket) -> None:
    """Lets the kernel detect a peer that vanished without closing."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
