"""Sending to addresses that need a lookup, or that no packet can have."""

import contextlib
import socket

import pytest

from notchhoist.base import datagrams

UNUSABLE = [
    ("localhost", 9),
    ("", 9),
    ("host-1", 9),
    ("10.0.0", 9),
    ("010.0.0.1", 9),
    ("10.0.0.1\0", 9),
    ("\ud800", 9),
    ("." * 70, 9),
    ("\u3002a" * 70, 9),
    ("::1", 9),
    ("127.0.0.1", -1),
    ("127.0.0.1", 65_536),
    ("127.0.0.1", 1 << 70),
]


class Socket:
    """A socket that must not be used."""

    family = socket.AF_INET

    def sendto(self, datagram, to):
        raise AssertionError(f"sent to {to}")


@pytest.mark.parametrize("address", UNUSABLE, ids=repr)
def test_no_name_is_looked_up_and_nothing_is_raised(address):
    """A host in a message that was a name raised a TypeError, or blocked."""
    assert not datagrams.send(Socket(), b"x", address)
    with contextlib.closing(datagrams.open_socket(("127.0.0.1", 0))) as sock:
        assert not datagrams.send(sock, b"x", address)


def test_ip_addresses_of_either_family_are_sent_to():
    for host in ("127.0.0.1", "::1"):
        with contextlib.closing(datagrams.open_socket((host, 0))) as sock:
            assert datagrams.send(sock, b"x", sock.getsockname()[:2])
            [(data, _)] = datagrams.receive_batch(sock)
            assert data == b"x"
