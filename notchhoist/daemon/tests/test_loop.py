"""The small event loop, on a clock that the test moves."""

import socket

from notchhoist.daemon.loop import Loop


def test_timers_come_in_order_and_can_be_cancelled():
    now, seen = [0.0], []
    loop = Loop(lambda: now[0])
    loop.call_at(0.2, lambda: seen.append("late"))
    loop.call_at(0.1, lambda: seen.append("early"))
    loop.call_at(0.15, lambda: seen.append("never")).cancel()
    now[0] = 0.3
    loop.turn()
    assert seen == ["early", "late"]


def test_sockets_come_before_timers():
    """A process that was stopped reads answers before it judges silence."""
    now, seen = [0.0], []
    loop = Loop(lambda: now[0])
    left, right = socket.socketpair()
    with left, right:
        loop.on_readable(right, lambda: seen.append(right.recv(1)))
        loop.call_at(0.1, lambda: seen.append("timer"))
        left.send(b"x")
        now[0] = 5.0
        loop.turn()
    assert seen == [b"x", "timer"]


def test_a_forgotten_socket_calls_nobody():
    loop = Loop(lambda: 0.0)
    left, right = socket.socketpair()
    with left, right:
        loop.on_readable(right, lambda: None)
        loop.forget(right)
        loop.forget(right)
        assert not loop.selector.get_map()
