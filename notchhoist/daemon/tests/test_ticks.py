"""Tests that ticks are on time at any rate of packets."""

from notchhoist.daemon.flow_daemon import make_flow_daemon
from notchhoist.daemon.loop import Loop
from notchhoist.daemon.ticking import MIN_TICK_INTERVAL_S
from notchhoist.flows.boards.balancer_board import BalancerBoard

PACKETS = 400
PACKET_INTERVAL_S = 0.002
DUE_AFTER_S = 0.001
"""Shorter than the least time between two ticks."""


class Node:
    """A node whose next tick is due a millisecond after each tick."""

    def __init__(self):
        self.board = BalancerBoard("a", "10.0.1.1")
        self.due_at = 0.0
        self.ticks = []
        self.due_calls = 0

    def due(self):
        self.due_calls += 1
        return self.due_at

    def tick(self, now):
        if now >= self.due_at:
            self.ticks.append(now)
            self.due_at = now + DUE_AFTER_S
        return []


def run_with_packets(packet_interval_s):
    now = [0.0]
    loop = Loop(lambda: now[0])
    node = Node()
    daemon = make_flow_daemon(None, loop, node, None, None, None)
    daemon.ticker.tick()
    for _ in range(PACKETS):
        now[0] += packet_interval_s
        daemon.perform([])
        loop.run_once()
    return node


def test_packets_do_not_postpone_a_tick():
    """Packets must not postpone an overdue tick.

    Each packet postponed it by 5 ms, so that under load there was no tick.
    """
    node = run_with_packets(PACKET_INTERVAL_S)
    intervals = [
        later - earlier
        for earlier, later in zip(node.ticks, node.ticks[1:], strict=False)
    ]
    assert len(node.ticks) >= PACKETS * PACKET_INTERVAL_S / 0.01
    assert max(intervals) <= MIN_TICK_INTERVAL_S + PACKET_INTERVAL_S + 1e-9


def test_due_is_not_called_while_a_tick_is_imminent():
    node = run_with_packets(MIN_TICK_INTERVAL_S / 10)
    assert node.due_calls < PACKETS
