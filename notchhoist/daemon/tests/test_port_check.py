"""Tests of the checks whether a port is open."""

import errno
import socket
import time

import pytest

from notchhoist.base.tests.test_datagrams import UNUSABLE
from notchhoist.daemon.loop import Loop
from notchhoist.daemon.port_check import check_tcp_port, check_udp_port
from notchhoist.flows.model.effects import ConnectResult


def check(address):
    loop, results = Loop(time.monotonic), []

    def finish(result):
        results.append(result)
        loop.stop()

    check_udp_port(loop, address, b"packet", finish)
    loop.run()
    return results


def test_closed_port_refuses_and_open_port_is_silent():
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    address = sock.getsockname()
    assert check(address) == [ConnectResult.SILENT]
    sock.close()
    assert check(address) == [ConnectResult.REFUSED]


@pytest.mark.parametrize("address", UNUSABLE, ids=repr)
@pytest.mark.parametrize("kind", ["tcp", "udp"])
def test_check_of_an_unusable_address_is_inconclusive(kind, address):
    """It raised, and the host counted as being checked for good."""
    now, results = [0.0], []
    loop = Loop(lambda: now[0])
    if kind == "tcp":
        check_tcp_port(loop, address, 0.1, results.append)
    else:
        check_udp_port(loop, address, b"packet", results.append)
    assert not results
    now[0] = 0.1
    loop.run_once()
    assert results == [ConnectResult.SILENT]


@pytest.mark.parametrize("kind", ["tcp", "udp"])
def test_check_without_a_free_descriptor_is_inconclusive(kind, monkeypatch):
    def no_socket(*_):
        raise OSError(errno.EMFILE, "Too many open files")

    now, results, noted = [0.0], [], []
    loop = Loop(lambda: now[0])
    loop.on_exception = lambda name, error: noted.append(error.errno)
    monkeypatch.setattr(socket, "socket", no_socket)
    if kind == "tcp":
        check_tcp_port(loop, ("127.0.0.1", 9), 0.1, results.append)
    else:
        check_udp_port(loop, ("127.0.0.1", 9), b"packet", results.append)
    now[0] = 0.1
    loop.run_once()
    assert results == [ConnectResult.SILENT]
    assert noted == [errno.EMFILE]
