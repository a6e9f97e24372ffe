"""Tests of the event loop, with a clock that the test advances."""

import socket

import pytest

from notchhoist.daemon.loop import (
    FAILED_SOCKET_PAUSE_S,
    MAX_WAIT_S,
    STALL_S,
    Loop,
)


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


def recording_loop(now):
    """Returns a loop that records exceptions, as in a daemon."""
    loop, found = Loop(lambda: now[0]), []
    loop.on_exception = lambda name, error: found.append((name, repr(error)))
    return loop, found


def fail():
    raise TypeError("odd value")


@pytest.mark.parametrize("stops", [KeyboardInterrupt, SystemExit])
def test_exception_costs_one_callback_and_is_reported(stops):
    """Any exception in a callback ended the process."""
    now, calls = [0.0], []
    loop, found = recording_loop(now)
    left, right = socket.socketpair()
    with left, right:
        loop.on_readable(right, fail)
        loop.call_at(0.0, fail)
        loop.call_at(0.0, lambda: calls.append("later"))
        left.send(b"x")
        loop.run_once()
    assert calls == ["later"]
    assert found == [("fail", "TypeError('odd value')")] * 2

    def stop():
        raise stops

    loop.call_at(0.0, stop)
    with pytest.raises(stops):
        loop.run_once()


def test_exceptions_are_raised_where_nothing_handles_them():
    """Tests of daemons must not pass over a fault."""
    loop = Loop(lambda: 0.0)
    loop.call_at(0.0, fail)
    with pytest.raises(TypeError, match="odd value"):
        loop.run_once()


def test_socket_whose_callback_fails_does_not_keep_the_loop_busy():
    """It stays readable, as its callback has raised before reading."""
    now, reads = [0.0], []
    loop, found = recording_loop(now)
    left, right = socket.socketpair()
    with left, right:
        loop.on_readable(right, fail)
        left.send(b"x")
        for _ in range(20):
            now[0] += FAILED_SOCKET_PAUSE_S / 5
            loop.call_later(0.0, lambda: None)
            loop.run_once()
        assert 2 <= len(found) <= 5
        loop.on_readable(right, lambda: reads.append(right.recv(1)))
        now[0] += FAILED_SOCKET_PAUSE_S
        for _ in range(2):
            loop.call_later(0.0, lambda: None)
            loop.run_once()
    assert reads == [b"x"]


def test_paused_socket_that_was_closed_is_not_watched_again():
    now = [0.0]
    loop, _ = recording_loop(now)
    left, right = socket.socketpair()
    with left:
        loop.on_readable(right, fail)
        left.send(b"x")
        loop.run_once()
        loop.stop_watching(right)
        right.close()
        now[0] += FAILED_SOCKET_PAUSE_S
        loop.run_once()
        assert not loop.selector.get_map()


def test_failure_of_the_handler_of_a_stall_is_reported():
    now = [0.0]
    loop, found = recording_loop(now)
    loop.on_stall = lambda *_: fail()
    loop.call_later(0.0, lambda: now.__setitem__(0, STALL_S))
    loop.run_once()
    loop.call_later(0.0, lambda: None)
    loop.run_once()
    assert len(found) == 1


def test_failure_ends_the_run_with_its_exception():
    loop = Loop(lambda: 0.0)
    loop.call_at(0.0, lambda: loop.fail(TypeError("odd value")))
    with pytest.raises(TypeError, match="odd value"):
        loop.run()


def test_far_timers_are_within_the_limit_of_the_kernel():
    """``epoll_wait`` takes a timeout of 31 bits, in milliseconds."""
    loop = Loop(lambda: 0.0)

    class Selector:
        def select(self, timeout):
            assert timeout <= MAX_WAIT_S
            return []

    loop.selector = Selector()
    for when in (1e9, 1e300, float("inf")):
        loop.timers.clear()
        loop.call_at(when, lambda: None)
        loop.run_once()
