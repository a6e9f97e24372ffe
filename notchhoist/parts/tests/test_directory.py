"""Tests of the directory: leases, capacity, owners."""

from notchhoist import model, parts

CALLERS = [model.Endpoint("172.16.0.1", port) for port in range(4)]
OWNER, OTHER = (model.Endpoint("10.0.0.1", port) for port in range(2))


def test_a_pointer_expires_without_renewal():
    directory = parts.Directory(lease_s=10.0, capacity=9)
    directory.set_pointer(CALLERS[0], OWNER, now=0.0, pinned=True)
    directory.set_pointer(CALLERS[0], OWNER, now=8.0, pinned=True)
    assert directory.find(CALLERS[0], now=17.0).pinned
    assert directory.find(CALLERS[0], now=19.0) is None
    directory.expire(now=19.0)
    assert not directory.pointers


def test_the_oldest_pointer_is_dropped_beyond_the_capacity():
    directory = parts.Directory(lease_s=10.0, capacity=2)
    for caller in CALLERS[:3]:
        directory.set_pointer(caller, OWNER, now=0.0)
    assert directory.find(CALLERS[0], now=0.0) is None
    assert directory.find(CALLERS[2], now=0.0).owner == OWNER


def test_owned_by_yields_the_callers_of_an_owner():
    directory = parts.Directory(lease_s=10.0, capacity=9)
    directory.set_pointer(CALLERS[0], OWNER, now=0.0)
    directory.set_pointer(CALLERS[1], OTHER, now=0.0)
    assert list(directory.owned_by(OWNER)) == [CALLERS[0]]
    directory.forget(CALLERS[0])
    assert list(directory.owned_by(OWNER)) == []
