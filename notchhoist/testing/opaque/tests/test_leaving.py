"""Servers that leave while balancers do not heed it: agents stop them."""

from notchhoist.flows.agent.opening_gate import OpeningGate
from notchhoist.flows.decisions import server_selection
from notchhoist.testing.opaque import troubles
from notchhoist.testing.opaque.experiment import make_world, play


def heedless(servers, now):
    """Places as if nobody had announced that it leaves."""
    return [server for server in servers if server.listed]


def late_flows(monkeypatch, agents):
    monkeypatch.setattr(server_selection, "usable_servers", heedless)
    if not agents:
        monkeypatch.setattr(
            OpeningGate, "is_past_drain_cutoff", lambda *_: False
        )
    world = play("release", seed=7, seconds=12.0)
    return [text for text in world.judge.broken if "DRAIN" in text]


def test_agents_stop_balancers_that_do_not_heed_a_leave(monkeypatch):
    assert not late_flows(monkeypatch, agents=True)


def test_without_the_agents_such_balancers_send_late_flows(monkeypatch):
    assert late_flows(monkeypatch, agents=False)


def test_a_server_that_left_and_started_again_may_get_new_flows():
    """A run was called broken for flows at the next life of a server's id."""
    world = make_world(seed=1)
    host = next(host for host in world.hosts.values() if host.service)
    troubles.retire(world, host)
    left = host.server.server_id
    assert left in world.judge.leaving
    world.start_server(host, server_id=left)
    world.judge.on_opening(left, host.zone, cold=False, now=99.0)
    assert not world.judge.broken
