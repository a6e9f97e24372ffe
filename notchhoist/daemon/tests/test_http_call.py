"""Calls to a server that goes silent without a reset, at each point of one."""

import socket

import pytest

from notchhoist.daemon.http_call import HttpCaller
from notchhoist.daemon.loop import Loop

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
TIMEOUT_S = 2.95
BEFORE_SILENCE = {
    "nothing": b"",
    "half of the head": HEAD[:20],
    "the head": HEAD,
    "half of the body": HEAD + b"an",
}


class Exchange:
    """A caller, a server that the test plays, and the clock between them."""

    def __init__(self):
        self.now = 100.0
        self.answers = []
        self.failures = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.loop = Loop(lambda: self.now)
        address = self.listener.getsockname()
        self.caller = HttpCaller(self.loop, address)

    def call(self, **fields):
        self.caller.get(
            "/watch",
            TIMEOUT_S,
            lambda status, body: self.answers.append((status, body)),
            self.failures.append,
            **fields,
        )

    def drip(self, connection, data, pause_s):
        """Sends an answer a byte at a time, and lets the caller read."""
        for byte in data:
            if self.failures:
                return
            connection.sendall(bytes([byte]))
            self.now += pause_s
            self.loop.turn()

    def accept(self):
        """Lets the connection be made and the request be sent."""
        self.loop.turn()
        connection, _ = self.listener.accept()
        connection.recv(1000)
        return connection

    def close(self):
        self.caller._disconnect()
        self.listener.close()


@pytest.fixture
def exchange():
    made = Exchange()
    yield made
    made.close()


@pytest.mark.parametrize("sent", BEFORE_SILENCE.values(), ids=BEFORE_SILENCE)
def test_silence_is_noticed_and_the_next_call_gets_a_new_connection(
    exchange, sent
):
    exchange.call()
    with exchange.accept() as silent:
        if sent:
            silent.sendall(sent)
            exchange.loop.turn()
        assert not exchange.failures
        exchange.now += TIMEOUT_S
        exchange.loop.turn()
        assert exchange.failures == ["no answer in time"]
        exchange.call()
        with exchange.accept() as fresh:
            fresh.sendall(HEAD + b"news")
            exchange.loop.turn()
    assert exchange.answers == [(200, b"news")]


def test_no_call_relies_on_a_connection_that_may_have_gone_silent(exchange):
    """The parser was asked too late whether to keep it, and said no always."""
    for _ in range(2):
        exchange.call()
        with exchange.accept() as connection:
            connection.sendall(HEAD + b"news")
            exchange.loop.turn()
            assert connection.recv(1000) == b""
    assert exchange.answers == [(200, b"news")] * 2


def test_an_answer_is_waited_for_while_it_comes_in(exchange):
    """Lists over narrow links were given up half way, again and again."""
    exchange.call(most_s=100 * TIMEOUT_S)
    with exchange.accept() as narrow:
        exchange.drip(narrow, HEAD + b"news", 0.9 * TIMEOUT_S)
    assert (exchange.answers, exchange.failures) == ([(200, b"news")], [])


def test_one_that_stops_coming_in_is_given_up_as_soon_as_a_silent_one(exchange):
    exchange.call(most_s=100 * TIMEOUT_S)
    with exchange.accept() as narrow:
        exchange.drip(narrow, HEAD + b"n", 0.9 * TIMEOUT_S)
        exchange.now += TIMEOUT_S
        exchange.loop.turn()
    assert exchange.failures == ["no answer in time"]


def test_an_answer_that_never_ends_is_given_up_in_the_end(exchange):
    exchange.call(most_s=3 * TIMEOUT_S)
    with exchange.accept() as narrow:
        exchange.drip(narrow, HEAD + b"news", 0.9 * TIMEOUT_S)
    assert exchange.failures == ["no answer in time"]
    assert exchange.now <= 100.0 + 4 * TIMEOUT_S


def test_an_answer_that_nobody_needs_any_more_leaves_the_link(exchange):
    needed = [True]
    exchange.call(is_needed=lambda: needed[0])
    with exchange.accept() as connection:
        exchange.drip(connection, HEAD, 0.0)
        assert not exchange.failures
        needed[0] = False
        exchange.drip(connection, b"n", 0.0)
        exchange.drip(connection, b"ews", 0.0)
    assert exchange.failures == ["not needed any more"]
