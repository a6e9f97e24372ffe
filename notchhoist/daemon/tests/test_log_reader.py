"""Tests of a real balancer whose log nobody reads for a while."""

import fcntl
import json
import select
import socket

import pytest

from notchhoist.daemon.tests.test_flow_processes import (
    BALANCER,
    CALLER,
    PORTS,
    fleet,  # noqa: F401
    status,
    wait_for,
)
from notchhoist.testing.opaque.frames import SYN, Frame, encode_frame

NOWHERE = ("198.18.0.9", 443)
FLOWS = 150
ANSWER_S = 5.0


@pytest.fixture
def caller():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((CALLER, PORTS["packets"]))
        sock.settimeout(ANSWER_S)
        yield sock


def open_flow_to_nowhere(caller, port):
    """Opens a flow without a route: the balancer resets it and logs that."""
    syn = encode_frame(Frame((CALLER, port), NOWHERE, SYN, seq=7), b"k")
    caller.sendto(syn, (BALANCER, PORTS["packets"]))
    caller.recv(2000)


def test_a_reader_that_stands_still_stops_no_process(
    fleet,  # noqa: F811
    caller,
):
    """A process waited for the reader of its log as soon as the pipe was full.

    It answered no packet and no check until somebody read.
    """
    output = fleet["front"].stdout
    fcntl.fcntl(output, fcntl.F_SETPIPE_SZ, select.PIPE_BUF)
    wait_for(lambda: status(BALANCER)[0] == 200)
    for number in range(FLOWS):
        open_flow_to_nowhere(caller, 41000 + number)
    assert status(BALANCER)[0] == 200
    lines = []

    def counts():
        lines.append(json.loads(output.readline()))
        if lines[-1]["message_type"] == "lines_dropped":
            return lines[-1]["dropped"]
        return None

    dropped = wait_for(counts)
    written = sum(line["message_type"] == "reset" for line in lines)
    assert written + dropped["reset"] == FLOWS
    assert dropped["reset"] > FLOWS / 2
