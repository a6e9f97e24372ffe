"""Exceptions in the callbacks of a daemon, with a clock that tests advance."""

import contextlib
import json

import pytest

from notchhoist.base import datagrams
from notchhoist.daemon.exceptions import MAX_FRAMES, ExceptionRecorder
from notchhoist.daemon.flow_daemon import make_flow_daemon
from notchhoist.daemon.flow_journal import FlowJournal
from notchhoist.daemon.http_call import TOO_LONG
from notchhoist.daemon.http_port import Reply
from notchhoist.daemon.loop import Loop
from notchhoist.daemon.ports import Ports, SocketRole
from notchhoist.daemon.receiving import DatagramReceiver
from notchhoist.daemon.store_calls import RETRY_S, StoreCalls
from notchhoist.daemon.tests.test_http_port import HEAD_END, Server, statuses
from notchhoist.daemon.ticking import (
    MAX_TICK_FAILURE_S,
    TICK_RETRY_S,
)
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model.effects import ConfirmView
from notchhoist.flows.model.records import Count, Decision
from notchhoist.flows.tests.crafting import CODEC, packet
from notchhoist.platform.feeding import StoreFeeder
from notchhoist.platform.store import StoreReader

LOOPBACK = ("127.0.0.1", 0)


class Node:
    """A node that raises what a test asks for."""

    def __init__(self, now):
        self.now = now
        self.board = make_balancer("a", CODEC, "seed", "10.0.1.1").board
        self.seen = []
        self.ticks = []
        self.failing = ()

    def _run(self, name, value=None):
        self.seen.append((name, value))
        if name in self.failing or value in self.failing:
            raise TypeError(f"odd value in {name}")
        return []

    def on_caller(self, segment, now):
        return self._run("on_caller", segment.seq)

    def on_agent(self, host, segment, now):
        return self._run("on_agent", segment.seq)

    def on_peer(self, host, message, now):
        return self._run("on_peer", message)

    def due(self):
        self._run("due")
        return self.now[0]

    def tick(self, now):
        self.ticks.append(now)
        return self._run("tick")


class Process:
    """A daemon whose exceptions are recorded, as in a real process."""

    def __init__(self):
        self.now = [0.0]
        self.lines = []
        self.loop = Loop(lambda: self.now[0])
        self.node = Node(self.now)
        clock = self.loop.clock
        self.journal = FlowJournal("h", clock, clock, self.lines.append)
        self.sockets = [datagrams.open_socket(LOOPBACK) for _ in SocketRole]
        records = self.node.board.records
        ports = Ports(self.loop, tuple(self.sockets), None, records)
        self.daemon = make_flow_daemon(
            None, self.loop, self.node, CODEC, self.journal, ports
        )
        self.loop.on_exception = ExceptionRecorder(records, self.journal).record
        self.receiver = DatagramReceiver(
            True, ports, self.node, CODEC, self.journal, self.daemon.perform
        )
        self.receiver.start(self.loop)

    def send(self, role, data):
        with contextlib.closing(datagrams.open_socket(LOOPBACK)) as sender:
            sender.sendto(data, self.sockets[role].getsockname())

    def run(self, duration_s, step_s=0.01):
        for _ in range(round(duration_s / step_s)):
            self.now[0] += step_s
            self.loop.call_later(0.0, lambda: None)
            self.loop.run_once()

    @property
    def exceptions(self):
        lines = [json.loads(line) for line in self.lines]
        return [item for item in lines if item["message_type"] == "exception"]

    @property
    def counted(self):
        return self.node.board.records.counters[Count.EXCEPTIONS]


@pytest.fixture
def process():
    made = Process()
    yield made
    for sock in made.sockets:
        sock.close()


@pytest.mark.parametrize(
    ("role", "name"),
    [(SocketRole.PACKETS, "on_caller"), (SocketRole.PEERS, "on_agent")],
)
def test_of_a_batch_only_the_failing_datagram_is_lost(process, role, name):
    """The others of the batch had been read already, and were lost."""
    process.node.failing = (2,)
    for seq in range(4):
        process.send(role, packet(seq=seq))
    process.run(0.01)
    assert [item for item in process.node.seen if item[0] == name] == [
        (name, seq) for seq in range(4)
    ]
    [line] = process.exceptions
    assert (line["outcome"], process.counted) == ("TypeError", 1)
    assert line["reason"] == f"odd value in {name}"
    assert any(f" {name}" in frame for frame in line["frames"])


def test_an_effect_that_fails_does_not_cost_the_next_ones(process):
    confirmed = []

    def confirm():
        confirmed.append(True)
        if len(confirmed) == 1:
            raise TypeError("odd value")

    process.daemon.confirm = confirm
    process.daemon.perform([ConfirmView(), ConfirmView()])
    assert (len(confirmed), process.counted) == (2, 1)
    assert process.exceptions[0]["callback"] == "perform ConfirmView"


def test_a_line_that_cannot_be_logged_does_not_cost_the_next_ones(process):
    decisions = process.node.board.records.decisions
    odd = {"server": "odd", "outcome": "given twice"}
    for inputs in ({"server": "a"}, odd, {"server": "b"}):
        decisions.append(Decision("server", b"", inputs, "ready"))
    process.daemon.perform([])
    lines = [json.loads(line) for line in process.lines]
    logged = [item["server"] for item in lines if "server" in item]
    assert (logged, process.counted) == (["a", "b"], 1)


@pytest.mark.parametrize("name", ["tick", "due"])
def test_ticks_go_on_after_an_exception(process, name):
    """A tick that raised was never scheduled again."""
    process.node.failing = (name,)
    process.daemon.ticker.tick()
    process.node.failing = ()
    process.run(2 * TICK_RETRY_S)
    assert len(process.node.ticks) >= 2
    assert process.counted == 1


def test_packets_do_not_postpone_ticks_whose_due_time_raises(process):
    """Each packet put the next tick off, so that there was none any more."""
    process.node.failing = ("due",)
    process.daemon.ticker.tick()
    for _ in range(100):
        process.daemon.perform([])
        process.run(TICK_RETRY_S / 5, TICK_RETRY_S / 5)
    assert len(process.node.ticks) >= 10


def test_ticks_that_all_fail_end_the_process_without_spinning(process):
    """It is started again with an empty memory."""
    process.node.failing = ("tick",)
    process.daemon.ticker.tick()
    process.run(MAX_TICK_FAILURE_S / 2)
    assert process.loop.running
    assert process.counted <= MAX_TICK_FAILURE_S / 2 / TICK_RETRY_S + 1
    process.run(MAX_TICK_FAILURE_S / 2 + 2 * TICK_RETRY_S)
    assert not process.loop.running
    with pytest.raises(TypeError):
        process.loop.run()


def test_ticks_that_fail_now_and_then_do_not_end_the_process(process):
    process.daemon.ticker.tick()
    for number in range(round(3 * MAX_TICK_FAILURE_S / TICK_RETRY_S)):
        process.node.failing = ("tick",) if number % 2 else ()
        process.run(TICK_RETRY_S)
    assert process.loop.running


def test_a_line_about_an_exception_is_short_and_cannot_fail(process):
    class OddError(Exception):
        def __str__(self):
            raise ValueError("no text")

    def descend(depth):
        if depth:
            descend(depth - 1)
        raise ValueError("x" * 100_000)

    recorder = ExceptionRecorder(process.node.board.records, process.journal)
    for error in (OddError(), TypeError("\ud800")):
        recorder.record("callback", error)
    with pytest.raises(ValueError, match="x") as caught:
        descend(500)
    recorder.record("callback", caught.value)
    assert [len(line["frames"]) for line in process.exceptions] == [
        0,
        0,
        MAX_FRAMES,
    ]
    assert max(len(line) for line in process.lines) < 3000


def test_exceptions_are_counted_beyond_the_limit_of_the_log(process):
    recorder = ExceptionRecorder(process.node.board.records, process.journal)
    for _ in range(500):
        recorder.record("callback", TypeError("odd value"))
    assert process.counted == 500
    assert len(process.exceptions) <= 30


def test_a_request_that_fails_gets_500():
    def fail(target):
        raise TypeError("odd value")

    server, found = Server(fail), []
    server.loop.on_exception = lambda name, error: found.append(name)
    data, _ = server.exchange(b"GET / HTTP/1.1" + HEAD_END)
    assert (statuses(data), len(found)) == ([500], 1)
    server.port.handler = lambda target: Reply(200)
    assert statuses(server.exchange(b"GET / HTTP/1.1" + HEAD_END)[0]) == [200]
    server.close()


class Client:
    """An HTTP client whose answers the test gives."""

    def __init__(self):
        self.requests = []
        self.headers = {}

    def get(self, target, timeout_s, on_done, on_failed, *_):
        self.requests.append((target, on_done, on_failed))


class Store:
    """The calls of a balancer to a store that the test plays."""

    def __init__(self):
        self.now = [0.0]
        self.loop = Loop(lambda: self.now[0])
        self.found = []
        self.loop.on_exception = lambda name, error: self.found.append(name)
        self.node = make_balancer("a", CODEC, "seed", "10.0.1.1")
        self.feeder = StoreFeeder(self.node, StoreReader(lambda: 0.5))
        self.client, self.confirming = Client(), Client()
        self.calls = StoreCalls(
            self.loop,
            self.feeder,
            self.client,
            self.confirming,
            lambda _: None,
            lambda *_: None,
        )

    def run(self, duration_s):
        for _ in range(round(duration_s / 0.1)):
            self.now[0] += 0.1
            self.loop.call_later(0.0, lambda: None)
            self.loop.run_once()


EMPTY_LISTING = b'{"as_of": 7, "items": []}'


@pytest.mark.parametrize("part", ["reader", "node"])
def test_reading_goes_on_after_an_answer_that_cannot_be_applied(
    part, monkeypatch
):
    """The exception ended the process, in each that read the answer."""
    store = Store()
    store.calls.call()
    [(target, on_done, _)] = store.client.requests
    patched = StoreReader if part == "reader" else type(store.node.fleet)
    name = "on_answer" if part == "reader" else "on_listing"

    def fail(*_, **__):
        raise TypeError("odd value")

    with monkeypatch.context() as patch:
        patch.setattr(patched, name, fail)
        on_done(200, EMPTY_LISTING)
    assert store.found == ["listing answer"]
    store.run(RETRY_S - 0.1)
    assert len(store.client.requests) == 1
    store.run(5.0)
    assert [item[0] for item in store.client.requests] == [target, target]
    store.client.requests[1][1](200, EMPTY_LISTING)
    assert store.node.board.fleet_known


def test_reading_goes_on_after_a_call_that_raised(monkeypatch):
    store = Store()

    def fail(*_, **__):
        raise TypeError("odd value")

    with monkeypatch.context() as patch:
        patch.setattr(StoreReader, "next_call", fail)
        store.calls.call()
    assert (store.client.requests, len(store.found)) == ([], 1)
    store.run(RETRY_S + 0.1)
    assert len(store.client.requests) == 1


def test_search_is_told_of_a_confirmation_that_cannot_be_applied(monkeypatch):
    store = Store()
    failed = []

    def fail(*_, **__):
        raise TypeError("odd value")

    monkeypatch.setattr(
        StoreFeeder,
        "on_confirmation_failed",
        lambda self, reason, now: failed.append(reason),
    )
    monkeypatch.setattr(StoreFeeder, "on_confirmation", fail)
    store.calls.confirm()
    store.confirming.requests[0][1](200, b"{}")
    assert (store.found, failed) == (
        ["confirmation answer"],
        ["answer not applied"],
    )


def test_changes_that_do_not_fit_into_an_answer_are_listed():
    """The same watch would fail again and again."""
    store = Store()
    store.calls.call()
    [(listing, on_done, _)] = store.client.requests
    on_done(200, EMPTY_LISTING)
    [_, (watch, _, on_failed)] = store.client.requests
    assert watch != listing
    on_failed(TOO_LONG)
    store.run(1.0)
    assert store.client.requests[-1][0] == listing
