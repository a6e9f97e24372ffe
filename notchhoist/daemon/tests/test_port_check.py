"""Tests of the check whether a UDP port of this host is open."""

import socket
import time

from notchhoist.daemon.loop import Loop
from notchhoist.daemon.port_check import check_udp_port
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
