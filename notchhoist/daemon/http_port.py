"""HTTP/1.1 server for small GET requests, on the daemon's event loop.

Whatever a client sends gets an HTTP response, as far as it is a whole request
or cannot become one.
"""

import socket
from collections.abc import Callable

import httptools
from msgspec import Struct, field

from notchhoist.daemon.loop import Loop, name_of

MAX_CONNECTIONS = 32
MAX_REQUEST_BYTES = 8192
IDLE_TIMEOUT_S = 10.0
"""A connection without data for this time may be closed, seconds."""

ACCEPT_PAUSE_S = 0.1
"""Time until connections are accepted again after a failure, seconds. A process
without a free descriptor would try again and again, as they keep waiting."""

RECEIVE_BYTES = 65_536
ALLOWED_METHODS = (b"GET", b"HEAD")
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Reply(Struct, frozen=True):
    """An HTTP response.

    Attributes:
        status: HTTP status.
        body: Text of the body.
    """

    status: int
    body: str = ""


Handler = Callable[[str], Reply]

BAD_REQUEST = 400
METHOD_NOT_ALLOWED = 405
REQUEST_TOO_LONG = 431
INTERNAL_ERROR = 500


def encode_reply(
    reply: Reply, with_body: bool = True, closes: bool = False
) -> bytes:
    r"""Encodes a response.

    Args:
        reply: The response.
        with_body: Whether the body is sent; it is not in response to ``HEAD``.
        closes: Whether the server closes the connection after it.

    Examples:
        >>> encode_reply(Reply(503))
        b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'
    """
    body = reply.body.encode(errors="replace")
    reason = REASON_PHRASES.get(reply.status, "")
    head = f"HTTP/1.1 {reply.status} {reason}\r\nContent-Length: {len(body)}"
    if reply.status == METHOD_NOT_ALLOWED:
        head += f"\r\nAllow: {b', '.join(ALLOWED_METHODS).decode()}"
    if closes:
        head += "\r\nConnection: close"
    return head.encode() + b"\r\n\r\n" + (body if with_body else b"")


class _Request(Struct, frozen=True):
    """A complete request.

    Attributes:
        method: Its method.
        target: Path and query of the URL.
        keeps_alive: Whether the client may send another one.
    """

    method: bytes
    target: str
    keeps_alive: bool


class _Connection(Struct, eq=False):
    """State of one connection; the parser calls its ``on_`` methods."""

    sock: socket.socket
    last_read_at: float
    parser: httptools.HttpRequestParser | None = None
    received: int = 0
    url: bytes = b""
    requests: list[_Request] = field(default_factory=list)

    def on_message_begin(self) -> None:
        self.url = b""

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        self.received = 0
        parser = self.parser
        if parser is None:
            return
        target = self.url.decode("ascii", "replace")
        keeps_alive = parser.should_keep_alive()
        self.requests.append(_Request(parser.get_method(), target, keeps_alive))


class HttpPort(Struct, eq=False):
    """Listens at one address and responds to requests.

    Attributes:
        loop: The event loop.
        listener: The listening socket.
        handler: Returns the response for a path.
        open: The open connections.
    """

    loop: Loop
    listener: socket.socket
    handler: Handler
    open: set[_Connection] = field(default_factory=set)

    def start(self) -> None:
        """Accepts connections from now on."""
        self.loop.on_readable(self.listener, self.accept)

    def accept(self) -> None:
        """Accepts a new connection."""
        now = self.loop.clock()
        try:
            sock, _ = self.listener.accept()
        except (BlockingIOError, ConnectionError):
            return  # The client reset the connection before it was accepted.
        except OSError as error:
            self.loop.note("HttpPort.accept", error)
            self.loop.stop_watching(self.listener)
            self.loop.call_later(ACCEPT_PAUSE_S, self.start)
            self._close_idle(now)
            return
        sock.setblocking(False)
        if len(self.open) >= MAX_CONNECTIONS:
            self._close_idle(now)
        connection = _Connection(sock, now)
        connection.parser = httptools.HttpRequestParser(connection)
        self.open.add(connection)
        self.loop.on_readable(sock, lambda: self._read(connection))

    def _close_idle(self, now: float) -> None:
        """Closes all idle connections, or the least recently read one."""
        if not self.open:
            return
        idle = [
            item
            for item in self.open
            if now - item.last_read_at > IDLE_TIMEOUT_S
        ]
        least_recent = min(self.open, key=lambda item: item.last_read_at)
        for connection in idle or [least_recent]:
            self._close(connection)

    def _read(self, connection: _Connection) -> None:
        connection.last_read_at = self.loop.clock()
        try:
            data = connection.sock.recv(RECEIVE_BYTES)
            connection.received += len(data)
            if not data and connection.received:
                self._reject(connection, BAD_REQUEST)
            elif not data:
                self._close(connection)
            elif connection.received > MAX_REQUEST_BYTES:
                self._reject(connection, REQUEST_TOO_LONG)
            else:
                self._feed(connection, data)
        except OSError:
            # The client has left, or reads too slowly: it has to repeat the
            # request.
            self._close(connection)

    def _feed(self, connection: _Connection, data: bytes) -> None:
        """Parses data and responds to the requests that it completes.

        Raises:
            OSError: The client does not take the response.
        """
        parser = connection.parser
        upgrades = invalid = False
        try:
            if parser is not None:
                parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            upgrades = True
        except httptools.HttpParserError:
            invalid = True
        requests, connection.requests = connection.requests, []
        for request in requests:
            closes = upgrades or not request.keeps_alive
            connection.sock.sendall(self._respond(request, closes))
            if closes:
                self._close(connection)
                return
        if invalid:
            self._reject(connection, BAD_REQUEST)

    def _respond(self, request: _Request, closes: bool) -> bytes:
        if request.method not in ALLOWED_METHODS:
            return encode_reply(Reply(METHOD_NOT_ALLOWED), closes=closes)
        try:
            reply = self.handler(request.target)
        except Exception as error:  # Any type: it must cost one request.
            self.loop.report(name_of(self.handler), error)
            reply = Reply(INTERNAL_ERROR)
        return encode_reply(reply, request.method != b"HEAD", closes)

    def _reject(self, connection: _Connection, status: int) -> None:
        """Responds to what is no request, and closes the connection.

        Raises:
            OSError: The client does not take the response.
        """
        connection.sock.sendall(encode_reply(Reply(status), closes=True))
        self._close(connection)

    def _close(self, connection: _Connection) -> None:
        self.open.discard(connection)
        self.loop.stop_watching(connection.sock)
        connection.sock.close()


def open_listener(address: tuple[str, int]) -> socket.socket:
    """Opens a socket that accepts connections at an address.

    Raises:
        OSError: The address cannot be bound.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(MAX_CONNECTIONS)
    except OSError:
        listener.close()
        raise
    return listener


def serve_http(
    loop: Loop, listener: socket.socket, handler: Handler
) -> HttpPort:
    """Answers the requests that come to a listening socket."""
    port = HttpPort(loop, listener, handler)
    port.start()
    return port
