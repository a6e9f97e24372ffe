"""Odd requests to the HTTP ports, on real sockets and a fake clock."""

import contextlib
import errno
import json
import re
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from notchhoist.daemon.flow_metrics import METRICS_PATH, metrics_text
from notchhoist.daemon.flow_state import answer_state
from notchhoist.daemon.http_port import (
    ACCEPT_PAUSE_S,
    MAX_CONNECTIONS,
    MAX_REQUEST_BYTES,
    Reply,
    open_listener,
    serve_http,
)
from notchhoist.daemon.loop import Loop
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, entry
from notchhoist.links.scheduler import make_scheduler

HEAD_END = b"\r\n\r\n"


def node_handler():
    """Answers as the metrics port of a balancer does."""
    node = make_balancer("a", CODEC, "seed", "10.0.1.1")
    node.fleet.tables.on_table(crafting.table(), 1)
    node.fleet.on_listing([(entry(1), 1)], 1, 0.0)

    def answer(target):
        if target == METRICS_PATH:
            return Reply(200, metrics_text(node, True, 1.0, make_scheduler(0)))
        return answer_state(node, "h", "a", target, 1.0) or Reply(404)

    return answer


class Server:
    """An HTTP port whose clock the test advances."""

    def __init__(self, handler=lambda target: Reply(200, target)):
        self.now = 0.0
        self.loop = Loop(lambda: self.now)
        listener = open_listener(("127.0.0.1", 0))
        self.port = serve_http(self.loop, listener, handler)

    def run(self, iterations=3):
        for _ in range(iterations):
            self.loop.call_later(0.0, lambda: None)
            self.loop.run_once()

    def connect(self):
        sock = socket.create_connection(self.port.listener.getsockname())
        sock.setblocking(False)
        return sock

    def exchange(self, *parts):
        """Returns what one connection gets for some parts of requests."""
        with self.connect() as sock:
            self.run()
            for part in parts:
                with contextlib.suppress(OSError):
                    sock.sendall(part)
                self.run()
            return received(sock)

    def close(self):
        for connection in list(self.port.open):
            connection.sock.close()
        self.port.listener.close()


def received(sock):
    """Returns what has arrived, and whether the server closed."""
    data = b""
    with contextlib.suppress(BlockingIOError, ConnectionError):
        while piece := sock.recv(1 << 20):
            data += piece
        return data, True
    return data, False


def statuses(data):
    return [int(item) for item in re.findall(rb"HTTP/1\.1 (\d+) ", data)]


@pytest.fixture
def server():
    made = Server()
    yield made
    made.close()


def test_request_to_upgrade_is_answered(server):
    """The parser's exception for it ended the process (curl --http2)."""
    head = b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, HTTP2-Settings"
    tail = b"\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__" + HEAD_END
    data, closed = server.exchange(head + tail)
    assert (statuses(data), data[-2:], closed) == ([200], b"/x", True)
    data, closed = server.exchange(b"CONNECT h:1 HTTP/1.1" + HEAD_END)
    assert (statuses(data), closed) == ([405], True)


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"\0\0\0\0",
        b"GET / HTTP/9.9" + HEAD_END,
        b"FETCH / HTTP/1.1" + HEAD_END,
        b"GET /a b c HTTP/1.1" + HEAD_END,
        b"GET  HTTP/1.1" + HEAD_END,
        b"GET / HTTP/1.1\r\nContent-Length: x" + HEAD_END,
        b"GET / HTTP/1.1\r\n: x" + HEAD_END,
        b"\x16\x03\x01\x02\0\x01\0\x01\xfc\x03\x03",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    ],
)
def test_what_is_no_request_gets_400(server, request_bytes):
    data, closed = server.exchange(request_bytes)
    assert (statuses(data), closed) == ([400], True)


@pytest.mark.parametrize("method", [b"POST", b"PUT", b"DELETE", b"OPTIONS"])
def test_other_methods_get_405(server, method):
    data, _ = server.exchange(method + b" /x HTTP/1.1" + HEAD_END)
    assert statuses(data) == [405]
    assert b"\r\nAllow: GET, HEAD\r\n" in data


def test_head_gets_no_body(server):
    data, closed = server.exchange(b"HEAD /x HTTP/1.1" + HEAD_END)
    assert data == b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
    assert not closed


def test_connection_ends_where_the_client_asks_for_it(server):
    for request in (
        b"GET / HTTP/1.0" + HEAD_END,
        b"GET / HTTP/1.1\r\nConnection: close" + HEAD_END,
    ):
        data, closed = server.exchange(request)
        assert (statuses(data), closed) == ([200], True)


def test_too_long_a_request_gets_431(server):
    filler = b"a" * MAX_REQUEST_BYTES
    for request in (b"GET /" + filler, b"GET / HTTP/1.1\r\nA: " + filler):
        data, closed = server.exchange(request)
        assert (statuses(data), closed) == ([431], True)


def test_request_that_ends_too_early_gets_400(server):
    """The client has shut its side down, and still reads."""
    for sent, expected in ((b"GET / HTTP/1.1\r\nHo", [400]), (b"", [])):
        with server.connect() as sock:
            sock.sendall(sent)
            server.run()
            sock.shutdown(socket.SHUT_WR)
            server.run()
            data, closed = received(sock)
        assert (statuses(data), closed) == (expected, True)


def test_requests_in_single_bytes_and_in_one_packet_are_answered(server):
    request = b"GET /x HTTP/1.1\r\nHost: h" + HEAD_END
    data, _ = server.exchange(*(bytes([byte]) for byte in request))
    assert statuses(data) == [200]
    assert statuses(server.exchange(request * 50)[0]) == [200] * 50


def test_many_silent_connections_do_not_keep_others_out(server):
    with contextlib.ExitStack() as stack:
        for _ in range(2 * MAX_CONNECTIONS):
            stack.enter_context(server.connect())
            server.now += 0.01
            server.run(1)
        data, _ = server.exchange(b"GET / HTTP/1.1" + HEAD_END)
        assert statuses(data) == [200]
        assert len(server.port.open) <= MAX_CONNECTIONS


class NoDescriptors:
    """A listener that is readable, and accepts nothing."""

    def __init__(self, listener):
        self.listener = listener
        self.calls = 0

    def fileno(self):
        return self.listener.fileno()

    def accept(self):
        self.calls += 1
        raise OSError(errno.EMFILE, "Too many open files")

    def close(self):
        self.listener.close()


def test_no_free_descriptor_does_not_spin(server):
    """The listener stays readable, and the loop accepted in vain for good."""
    listener = server.port.listener
    with socket.create_connection(listener.getsockname()) as sock:
        sock.setblocking(False)
        full = NoDescriptors(listener)
        server.port.listener = full
        noted = []
        server.loop.on_exception = lambda name, error: noted.append(error.errno)
        for _ in range(20):
            server.now += ACCEPT_PAUSE_S / 10
            server.run(1)
        assert 1 <= full.calls <= 3
        assert noted == [errno.EMFILE] * full.calls
        server.port.listener = listener
        server.now += ACCEPT_PAUSE_S
        sock.sendall(b"GET / HTTP/1.1" + HEAD_END)
        server.run()
        assert statuses(received(sock)[0]) == [200]


BAD_PAGES = [
    ("offset", "9" * 20),
    ("offset", "9" * 5000),
    ("limit", "9" * 5000),
    ("offset", "-1"),
    ("offset", ""),
    ("limit", "1e3"),
    ("limit", "%00"),
    ("offset", "1_0"),
    ("page", "1"),
]


@pytest.mark.parametrize(("name", "value"), BAD_PAGES, ids=str)
def test_bad_page_gets_400_with_the_name_of_the_parameter(name, value):
    """An offset past 64 bits ended the process."""
    made = Server(node_handler())
    request = f"GET /dump/servers?{name}={value} HTTP/1.1\r\n\r\n"
    data, _ = made.exchange(request.encode())
    made.close()
    assert statuses(data) == [400]
    error = json.loads(data.partition(HEAD_END)[2])["error"]
    assert error.startswith(f"{name}: ")
    assert len(error) < 200


PARTS = st.sampled_from(
    [
        *(b"GET ", b"HEAD ", b"POST ", b"CONNECT ", b"/", b"?", b"&", b"="),
        *(b"/dump/", b"servers", b"flows", b"/metrics", b"/health", b"offset"),
        *(b"limit", b"99999999999999999999", b"-1", b"%", b"\xff", b"\0"),
        *(b" HTTP/1.1", b" HTTP/1.0", b"\r\n", HEAD_END, b"Upgrade: h2c"),
        *(b"Connection: Upgrade", b"Connection: close", b"Content-Length: 3"),
        *(b"Transfer-Encoding: chunked", b"Expect: 100-continue", b"a" * 9000),
    ]
)
TARGETS = st.lists(PARTS | st.binary(max_size=8), max_size=8).map(b"".join)
REQUESTS = st.one_of(
    TARGETS.map(lambda target: b"GET /dump/" + target + b" HTTP/1.1\r\n\r\n"),
    st.lists(PARTS | st.binary(max_size=20), max_size=12).map(b"".join),
)
FUZZED = Server(node_handler())


@settings(deadline=None)
@given(st.lists(REQUESTS, min_size=1, max_size=3))
def test_the_port_answers_after_any_request(requests):
    data, _ = FUZZED.exchange(*requests)
    assert 500 not in statuses(data)
    data, _ = FUZZED.exchange(b"GET /health HTTP/1.1" + HEAD_END)
    assert statuses(data) == [200]
