"""Tests of requests to a server that stops responding without a reset."""

import errno
import socket

import pytest

from notchhoist.base.tests.test_datagrams import UNUSABLE
from notchhoist.daemon.http_call import HttpClient
from notchhoist.daemon.loop import Loop

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
TIMEOUT_S = 2.95
SENT_BEFORE_SILENCE = {
    "nothing": b"",
    "half of the head": RESPONSE_HEAD[:20],
    "the head": RESPONSE_HEAD,
    "half of the body": RESPONSE_HEAD + b"an",
}


class Exchange:
    """A client, a server played by the test, and their simulated clock."""

    def __init__(self):
        self.now = 100.0
        self.responses = []
        self.failures = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.loop = Loop(lambda: self.now)
        address = self.listener.getsockname()
        self.caller = HttpClient(self.loop, address)

    def call(self, **fields):
        self.caller.get(
            "/watch",
            TIMEOUT_S,
            lambda status, body: self.responses.append((status, body)),
            self.failures.append,
            **fields,
        )

    def send_bytewise(self, connection, data, pause_s):
        """Sends a response byte by byte, and lets the client read each."""
        for byte in data:
            if self.failures:
                return
            connection.sendall(bytes([byte]))
            self.now += pause_s
            self.loop.run_once()

    def accept(self):
        """Accepts the connection and receives the request."""
        self.loop.run_once()
        connection, _ = self.listener.accept()
        connection.recv(1000)
        return connection

    def close(self):
        self.caller._disconnect()
        self.listener.close()


@pytest.fixture
def exchange():
    new_exchange = Exchange()
    yield new_exchange
    new_exchange.close()


@pytest.mark.parametrize(
    "sent", SENT_BEFORE_SILENCE.values(), ids=SENT_BEFORE_SILENCE
)
def test_silence_times_out_and_next_request_gets_new_connection(exchange, sent):
    exchange.call()
    with exchange.accept() as silent:
        if sent:
            silent.sendall(sent)
            exchange.loop.run_once()
        assert not exchange.failures
        exchange.now += TIMEOUT_S
        exchange.loop.run_once()
        assert exchange.failures == ["no answer in time"]
        exchange.call()
        with exchange.accept() as fresh:
            fresh.sendall(RESPONSE_HEAD + b"news")
            exchange.loop.run_once()
    assert exchange.responses == [(200, b"news")]


def test_connection_is_closed_after_each_response(exchange):
    """Each request has its own connection, as an open one may stop responding.

    The former check whether to keep a connection queried the parser too late
    and therefore always got a negative answer.
    """
    for _ in range(2):
        exchange.call()
        with exchange.accept() as connection:
            connection.sendall(RESPONSE_HEAD + b"news")
            exchange.loop.run_once()
            assert connection.recv(1000) == b""
    assert exchange.responses == [(200, b"news")] * 2


def test_slow_response_is_received_while_data_arrives(exchange):
    """Listings over low-bandwidth links timed out half way, repeatedly."""
    exchange.call(total_timeout_s=100 * TIMEOUT_S)
    with exchange.accept() as slow_connection:
        exchange.send_bytewise(
            slow_connection, RESPONSE_HEAD + b"news", 0.9 * TIMEOUT_S
        )
    assert (exchange.responses, exchange.failures) == ([(200, b"news")], [])


def test_interrupted_response_times_out_like_a_silent_server(exchange):
    exchange.call(total_timeout_s=100 * TIMEOUT_S)
    with exchange.accept() as slow_connection:
        exchange.send_bytewise(
            slow_connection, RESPONSE_HEAD + b"n", 0.9 * TIMEOUT_S
        )
        exchange.now += TIMEOUT_S
        exchange.loop.run_once()
    assert exchange.failures == ["no answer in time"]


def test_endless_response_fails_at_the_total_timeout(exchange):
    exchange.call(total_timeout_s=3 * TIMEOUT_S)
    with exchange.accept() as slow_connection:
        exchange.send_bytewise(
            slow_connection, RESPONSE_HEAD + b"news", 0.9 * TIMEOUT_S
        )
    assert exchange.failures == ["no answer in time"]
    assert exchange.now <= 100.0 + 4 * TIMEOUT_S


def test_response_that_is_not_needed_any_more_is_cancelled(exchange):
    needed = [True]
    exchange.call(is_needed=lambda: needed[0])
    with exchange.accept() as connection:
        exchange.send_bytewise(connection, RESPONSE_HEAD, 0.0)
        assert not exchange.failures
        needed[0] = False
        exchange.send_bytewise(connection, b"n", 0.0)
        exchange.send_bytewise(connection, b"ews", 0.0)
    assert exchange.failures == ["not needed any more"]


@pytest.mark.parametrize("address", UNUSABLE, ids=repr)
def test_request_to_an_unusable_address_fails(address):
    failures = []
    client = HttpClient(Loop(lambda: 0.0), address)
    client.get("/", 1.0, lambda *_: None, failures.append)
    [reason] = failures
    assert reason.startswith("connect: ")
    assert client.sock is None


def test_request_without_a_free_descriptor_fails(monkeypatch):
    """It raised, and the store was never called again."""

    def no_socket(*_):
        raise OSError(errno.EMFILE, "Too many open files")

    failures = []
    monkeypatch.setattr(socket, "socket", no_socket)
    client = HttpClient(Loop(lambda: 0.0), ("127.0.0.1", 9))
    client.get("/", 1.0, lambda *_: None, failures.append)
    assert failures == ["connect: [Errno 24] Too many open files"]


def test_response_that_switches_protocols_fails(exchange):
    """The parser's exception for it ended the process."""
    exchange.call()
    with exchange.accept() as connection:
        head = b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade"
        connection.sendall(head + b"\r\nUpgrade: h2c\r\n\r\n")
        exchange.loop.run_once()
    [reason] = exchange.failures
    assert reason.startswith("invalid HTTP response")


class EndlessAnswer:
    """A socket from which a response without an end is read."""

    def __init__(self):
        self.head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.chunk = b"40000\r\n" + b" " * 0x40000 + b"\r\n"

    def recv(self, _):
        head, self.head = self.head, b""
        return head or self.chunk

    def fileno(self):
        return -1

    def close(self):
        pass


def test_a_response_without_an_end_fails_before_it_fills_the_memory():
    """A response took all memory that arrives in 4 s; the process was ended."""
    exchange = Exchange()
    exchange.call(total_timeout_s=4.0)
    caller = exchange.caller
    caller._disconnect()
    caller.sock = EndlessAnswer()
    for _ in range(400):
        caller._read()
    assert exchange.failures
