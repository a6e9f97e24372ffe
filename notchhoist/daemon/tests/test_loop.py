"""Tests of the event loop, with a clock that the test advances."""

import socket

from notchhoist.daemon.loop import Loop


def test_timers_run_in_order_and_can_be_cancelled():
    now, calls = [0.0], []
    loop = Loop(lambda: now[0])
    loop.call_at(0.2, lambda: calls.append("late"))
    loop.call_at(0.1, lambda: calls.append("early"))
    loop.call_at(0.15, lambda: calls.append("never")).cancel()
    now[0] = 0.3
    loop.run_once()
    assert calls == ["early", "late"]


def test_sockets_precede_timers():
    """After a stall a process reads answers before it evaluates timeouts."""
    now, calls = [0.0], []
    loop = Loop(lambda: now[0])
    left, right = socket.socketpair()
    with left, right:
        loop.on_readable(right, lambda: calls.append(right.recv(1)))
        loop.call_at(0.1, lambda: calls.append("timer"))
        left.send(b"x")
        now[0] = 5.0
        loop.run_once()
    assert calls == [b"x", "timer"]


def test_forgotten_socket_has_no_callback():
    loop = Loop(lambda: 0.0)
    left, right = socket.socketpair()
    with left, right:
        loop.on_readable(right, lambda: None)
        loop.stop_watching(right)
        loop.stop_watching(right)
        assert not loop.selector.get_map()
