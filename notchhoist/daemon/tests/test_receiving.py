"""Datagrams that waited through a stall, on real sockets and a fake clock."""

import contextlib

import pytest

from notchhoist.base import datagrams
from notchhoist.daemon.backlog import StallBacklog
from notchhoist.daemon.loop import STALL_S, Loop
from notchhoist.daemon.ports import Ports, SocketRole
from notchhoist.daemon.receiving import DatagramReceiver
from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.request_hints import ATTEMPT_TIMEOUT_S
from notchhoist.flows.tests.crafting import CODEC, SYN, packet

LOOPBACK = ("127.0.0.1", 0)
LONG_STALL_S = 5.0


class Node:
    """Records what it gets, in either role."""

    def __init__(self):
        self.board = BalancerBoard("a", "10.0.1.1")
        self.seen = []
        self.resumed = []

    def on_caller(self, segment, now):
        self.seen.append(("syn" if segment.opens else "data", now))
        return []

    def on_balancer(self, host, segment, now, service):
        return self.on_caller(segment, now)

    def on_backend(self, segment, now):
        return self.on_caller(segment, now)

    def on_agent(self, host, segment, now):
        return self.on_caller(segment, now)

    def on_resumed(self, now):
        self.resumed.append(now)


class Process:
    """A process with real sockets whose clock the test advances."""

    def __init__(self, balances):
        self.now = 0.0
        self.loop = Loop(lambda: self.now)
        self.sockets = [datagrams.open_socket(LOOPBACK) for _ in SocketRole]
        self.node = Node()
        self.logged = []
        ports = Ports(self.loop, tuple(self.sockets), None, None)
        self.receiver = DatagramReceiver(
            balances, ports, self.node, CODEC, self, lambda _: None
        )
        self.receiver.start(self.loop)
        self.tick()
        self.loop.run_once()

    def log(self, event, **fields):
        self.logged.append(event)

    def tick(self):
        self.loop.call_later(0.1, self.tick)

    def send(self, role, **fields):
        with contextlib.closing(datagrams.open_socket(LOOPBACK)) as sender:
            sender.sendto(packet(**fields), self.sockets[role].getsockname())

    def advance(self, by_s):
        self.now += by_s
        self.loop.run_once()

    @property
    def kinds(self):
        return [kind for kind, _ in self.node.seen]

    def close(self):
        for sock in self.sockets:
            sock.close()


@pytest.fixture(params=[True, False], ids=["balancer", "agent"])
def process(request):
    made = Process(request.param)
    yield made
    made.close()


def opening_role(process):
    """Returns the socket on which new flows come."""
    balances = process.receiver.balances
    return SocketRole.PACKETS if balances else SocketRole.PEERS


def test_opening_packets_that_outlasted_their_callers_are_dropped(process):
    """Regression: a server accepted them in vain."""
    role = opening_role(process)
    process.send(role, flags=SYN)
    process.send(role, data=b"x")
    process.advance(LONG_STALL_S)
    assert process.kinds == ["data"]
    counters = process.node.board.records.counters
    assert counters[Count.OPENINGS_EXPIRED] == 1
    assert process.logged == ["stalled"]


def test_opening_packets_after_a_stall_are_handled(process):
    process.advance(LONG_STALL_S)
    process.send(opening_role(process), flags=SYN)
    process.advance(0.01)
    assert process.kinds == ["syn"]


def test_opening_packets_of_a_short_stall_are_handled(process):
    process.send(opening_role(process), flags=SYN)
    process.advance(ATTEMPT_TIMEOUT_S - 0.1)
    assert process.kinds == ["syn"]


def test_messages_of_agents_that_waited_are_noted_when_they_are_read():
    process = Process(balances=True)
    process.send(SocketRole.PEERS, data=b"x")
    process.advance(LONG_STALL_S)
    assert process.kinds == ["data"]
    assert len(process.node.resumed) == 2
    process.send(SocketRole.PEERS, data=b"x")
    process.advance(0.01)
    assert len(process.node.resumed) == 2
    process.close()


def test_full_batches_leave_older_datagrams_behind():
    backlog = StallBacklog()
    backlog.on_stall(LONG_STALL_S, [SocketRole.PACKETS])
    full = datagrams.BATCH_DATAGRAMS
    sizes = (full, full, full - 1, full)
    waited = [backlog.has_waited(SocketRole.PACKETS, size) for size in sizes]
    assert waited == [True, True, True, False]
    assert not backlog.has_waited(SocketRole.PEERS, 1)


def stalls_of(loop):
    found = []
    loop.on_stall = lambda stalled_s, _: found.append(round(stalled_s, 3))
    return found


def test_a_late_wake_up_is_a_stall():
    now = [0.0]
    loop = Loop(lambda: now[0])
    stalls = stalls_of(loop)

    delays = iter((0.0, STALL_S / 2, 3.0))

    class Selector:
        def select(self, timeout):
            now[0] += timeout + next(delays)
            return []

    loop.selector = Selector()
    for _ in range(3):
        loop.call_later(0.5, lambda: None)
        loop.run_once()
    assert stalls == [3.0]


def test_a_long_callback_is_a_stall():
    now = [0.0]
    loop = Loop(lambda: now[0])
    stalls = stalls_of(loop)

    def pause():
        now[0] += 3.0

    loop.call_later(0.0, pause)
    loop.call_later(0.0, lambda: None)
    loop.run_once()
    loop.call_later(0.0, lambda: None)
    loop.run_once()
    assert stalls == [3.0]
