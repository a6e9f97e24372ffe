"""Whether anybody takes packets at an address of this host."""

import socket
import time

from notchhoist.daemon.loop import Loop
from notchhoist.daemon.port_check import check_packet_port
from notchhoist.flows.model.effects import ConnectResult


def check(address):
    loop, told = Loop(time.monotonic), []

    def end(reach):
        told.append(reach)
        loop.stop()

    check_packet_port(loop, address, b"packet", end)
    loop.run()
    return told


def test_a_closed_port_refuses_and_an_open_one_is_silent():
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    address = sock.getsockname()
    assert check(address) == [ConnectResult.SILENT]
    sock.close()
    assert check(address) == [ConnectResult.REFUSED]
