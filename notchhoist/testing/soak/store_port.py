"""Serves the store model over HTTP to real daemons."""

import contextlib
import http.server
import threading
import time
from collections.abc import Iterator
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from notchhoist.testing.opaque.store import StoreModel

POLL_S = 0.01
"""Interval at which a waiting watch polls for changes, seconds."""


def _wait_for_changes(
    model: StoreModel, query: dict[str, str], stopping: threading.Event
) -> tuple[int, bytes]:
    """Answers a watch at the first change or at its timeout."""
    ends_at = time.monotonic() + int(query["wait_ms"]) / 1000
    while True:
        status, body = model.read_changes(query)
        if body is not None:
            return status, body
        if time.monotonic() >= ends_at or stopping.wait(POLL_S):
            return 200, model.watch_body()


@contextlib.contextmanager
def store_server(model: StoreModel, host: str) -> Iterator[int]:
    """Serves a store model and yields the port that it listens on.

    Each request runs in its own thread. Only one thread changes the model;
    readers get its state at the time of the request.
    """
    stopping = threading.Event()

    class Handler(http.server.BaseHTTPRequestHandler):
        """Handles the requests of one connection."""

        protocol_version = "HTTP/1.1"

        def do_GET(self) -> None:
            """Answers a range or a watch request."""
            parts = urlsplit(self.path)
            query = dict(parse_qsl(parts.query, keep_blank_values=True))
            model.calls += 1
            if parts.path == "/kv-range":
                status, body = 200, model.read_range(query)
            else:
                status, body = _wait_for_changes(model, query, stopping)
            with contextlib.suppress(OSError):
                self.send_response(status)
                for name, value in model.headers().items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        def log_message(self, *_: Any) -> None:
            """Suppresses the access log."""

    class Server(http.server.ThreadingHTTPServer):
        """Does not report connections that clients abort."""

        daemon_threads = True

        def handle_error(self, *_: Any) -> None:
            """Ignores aborted connections: proxies abort them on purpose."""

    server = Server((host, 0), Handler)
    thread = threading.Thread(target=server.serve_forever, daemon=True)
    thread.start()
    try:
        yield server.server_address[1]
    finally:
        stopping.set()
        server.shutdown()
        server.server_close()
