"""HTTP/1.1 server for small GET requests, on the daemon's event loop."""

import socket
from collections.abc import Callable

import httptools
from msgspec import Struct, field

from notchhoist.daemon.loop import Loop

MAX_CONNECTIONS = 32
MAX_REQUEST_BYTES = 8192
IDLE_TIMEOUT_S = 10.0
"""A connection without data for this time may be closed, seconds."""

RECEIVE_BYTES = 65_536
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
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


def encode_reply(reply: Reply) -> bytes:
    r"""Encodes a response.

    Examples:
        >>> encode_reply(Reply(503))
        b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'
    """
    body = reply.body.encode()
    reason = REASON_PHRASES.get(reply.status, "")
    head = f"HTTP/1.1 {reply.status} {reason}\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


class _Connection(Struct, eq=False):
    """State of one connection; the parser calls its ``on_`` methods."""

    sock: socket.socket
    last_read_at: float
    received: int = 0
    path: bytes = b""
    paths: list[str] = field(default_factory=list)

    def on_message_begin(self) -> None:
        self.path = b""

    def on_url(self, url: bytes) -> None:
        self.path += url

    def on_message_complete(self) -> None:
        self.received = 0
        self.paths.append(self.path.decode("ascii", "replace"))


class HttpPort(Struct, eq=False):
    """Listens at one address and responds to requests.

    Attributes:
        loop: The event loop.
        listener: The listening socket.
        handler: Returns the response for a path.
        open: The parser of each open connection.
    """

    loop: Loop
    listener: socket.socket
    handler: Handler
    open: dict[_Connection, httptools.HttpRequestParser] = field(
        default_factory=dict
    )

    def accept(self) -> None:
        """Accepts a new connection."""
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return  # The client reset the connection before it was accepted.
        sock.setblocking(False)
        now = self.loop.clock()
        if len(self.open) >= MAX_CONNECTIONS:
            self._close_idle(now)
        connection = _Connection(sock, now)
        self.open[connection] = httptools.HttpRequestParser(connection)
        self.loop.on_readable(sock, lambda: self._read(connection))

    def _close_idle(self, now: float) -> None:
        """Closes all idle connections, or the least recently read one."""
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
            if not data or connection.received > MAX_REQUEST_BYTES:
                self._close(connection)
                return
            self.open[connection].feed_data(data)
            for path in connection.paths:
                reply = encode_reply(self.handler(path))
                connection.sock.sendall(reply)
            connection.paths.clear()
        except BlockingIOError:
            # The client reads too slowly: it has to repeat the request.
            self._close(connection)
        except (OSError, httptools.HttpParserError):
            self._close(connection)

    def _close(self, connection: _Connection) -> None:
        self.open.pop(connection, None)
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


def serve_http(loop: Loop, listener: socket.socket, handler: Handler) -> None:
    """Answers the requests that come to a listening socket."""
    port = HttpPort(loop, listener, handler)
    loop.on_readable(listener, port.accept)
