"""Tests of the selection of a backend server for a new flow."""

from notchhoist.flows.decisions.server_selection import (
    UNLISTED_USE_MAX_S,
    choose_server,
    usable_servers,
)
from notchhoist.flows.model.fleet import RequestKind, Server
from notchhoist.flows.tests.crafting import entry


def server(number, zone="a", **fields):
    made = Server(entry(number, zone), 0, 0.0)
    for name, value in fields.items():
        setattr(made, name, value)
    return made


def best(servers, kind=RequestKind.IDEMPOTENT, zone="a", now=10.0):
    return choose_server(servers, kind, zone, now, lambda: 0.0)


def test_nothing_is_chosen_without_servers():
    assert best([]) is None


def test_many_servers_that_become_unlisted_at_once_are_used_for_a_while():
    """After an outage the store has lost entries of running servers."""
    servers = [server(1), *(server(n, unlisted_at=10.0) for n in (2, 3))]
    assert len(usable_servers(servers, 10.0 + UNLISTED_USE_MAX_S / 2)) == 3


def test_servers_that_stay_unlisted_get_no_flows_after_the_deadline():
    """Without it they got flows for a minute where most of a service exited."""
    servers = [server(n, unlisted_at=10.0) for n in (1, 2, 3)]
    assert not usable_servers(servers, 10.01 + UNLISTED_USE_MAX_S)


def test_single_unlisted_server_gets_no_flows_at_once():
    servers = [server(1), server(2), server(3, unlisted_at=10.0)]
    assert [item.entry.server_id for item in usable_servers(servers, 10.1)] == [
        "s1",
        "s2",
    ]


def test_suspected_servers_come_last():
    servers = [server(1, suspected=True), server(2)]
    assert [item.entry.server_id for item in usable_servers(servers, 0.0)] == [
        "s2"
    ]
    assert usable_servers([server(1, suspected=True)], 0.0)
    assert not usable_servers([server(1, suspected=True, lost=True)], 0.0)


def test_local_zone_is_preferred_unless_it_is_much_more_loaded():
    local, remote = server(1, "a", flows=20), server(2, "b", flows=19)
    assert best([local, remote]) is local
    local.flows = 40
    assert best([local, remote]) is remote


def test_slow_server_counts_as_having_fewer_slots():
    slow, other = server(1, service_time_ms=400), server(2, service_time_ms=60)
    third = server(3, service_time_ms=60)
    for item in (slow, other, third):
        item.flows = 10
    assert best([slow, other, third]) is not slow


def test_single_request_goes_where_it_waits_least():
    busy, idle = server(1, running=5), server(2, "b", running=1)
    assert best([busy, idle], RequestKind.ONCE_ONLY) is idle


def test_upload_stays_in_its_zone_though_a_remote_server_is_idle():
    """Without this rule uploads were most of the traffic between zones."""
    busy, idle = server(1, running=5), server(2, "b")
    assert best([busy, idle], RequestKind.UPLOAD) is busy


def test_upload_leaves_its_zone_if_the_local_server_fails():
    failing = server(1, service_time_ms=400)
    others = [
        server(2, "b", service_time_ms=24),
        server(3, "c", service_time_ms=24),
    ]
    assert best([failing, *others], RequestKind.UPLOAD) in others


def test_upload_leaves_an_overloaded_zone():
    overloaded, idle = server(1, running=80), server(2, "b")
    assert best([overloaded, idle], RequestKind.UPLOAD) is idle
