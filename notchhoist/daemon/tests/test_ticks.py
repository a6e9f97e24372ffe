"""Ticks come on time, however many packets come."""

from notchhoist.daemon.flow_daemon import MIN_TICK_S, FlowDaemon
from notchhoist.daemon.loop import Loop
from notchhoist.flows.boards.balancer_board import BalancerBoard

PACKETS = 400
PACKET_EVERY_S = 0.002
DUE_S = 0.001
"""Sooner than the least time between two ticks."""


class Node:
    """A node with something due a millisecond after each tick."""

    def __init__(self):
        self.board = BalancerBoard("a", "10.0.1.1")
        self.due_at = 0.0
        self.ticks = []
        self.asked = 0

    def due(self):
        self.asked += 1
        return self.due_at

    def tick(self, now):
        if now >= self.due_at:
            self.ticks.append(now)
            self.due_at = now + DUE_S
        return []


def play(packet_every_s):
    now = [0.0]
    loop = Loop(lambda: now[0])
    node = Node()
    daemon = FlowDaemon(None, loop, node, None, None, None)
    daemon._tick()
    for _ in range(PACKETS):
        now[0] += packet_every_s
        daemon.perform([])
        loop.turn()
    return node


def test_packets_do_not_put_a_tick_off():
    """Each packet put an overdue tick off by 5 ms; under load none came."""
    node = play(PACKET_EVERY_S)
    pauses = [
        later - earlier
        for earlier, later in zip(node.ticks, node.ticks[1:], strict=False)
    ]
    assert len(node.ticks) >= PACKETS * PACKET_EVERY_S / 0.01
    assert max(pauses) <= MIN_TICK_S + PACKET_EVERY_S + 1e-9


def test_a_node_is_not_asked_for_its_next_tick_when_one_is_near():
    node = play(MIN_TICK_S / 10)
    assert node.asked < PACKETS
