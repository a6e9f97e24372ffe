"""Agents turn away new flows when balancers ignore that a server drains."""

from notchhoist.flows.agent.opening_gate import OpeningGate
from notchhoist.flows.decisions import server_selection
from notchhoist.testing.opaque import troubles
from notchhoist.testing.opaque.experiment import make_world, simulate


def ignore_draining(servers, now):
    """Returns the servers as if none had announced that it drains."""
    return [server for server in servers if server.listed]


def late_flows(monkeypatch, agents):
    monkeypatch.setattr(server_selection, "usable_servers", ignore_draining)
    if not agents:
        monkeypatch.setattr(
            OpeningGate, "is_past_drain_cutoff", lambda *_: False
        )
    world = simulate("release", seed=7, seconds=12.0)
    return [text for text in world.judge.broken if "DRAIN" in text]


def test_agents_stop_late_flows_of_balancers_that_ignore_draining(monkeypatch):
    assert not late_flows(monkeypatch, agents=True)


def test_without_the_agents_such_balancers_place_late_flows(monkeypatch):
    assert late_flows(monkeypatch, agents=False)


def test_a_server_that_drained_and_restarted_may_get_new_flows():
    """Guards against false reports of the judge.

    New flows at the next incarnation of a server counted as late flows.
    """
    world = make_world(seed=1)
    host = next(host for host in world.hosts.values() if host.service)
    troubles.retire(world, host)
    server_id = host.server.server_id
    assert server_id in world.judge.draining
    world.start_server(host, server_id=server_id)
    world.judge.on_opening(server_id, host.zone, cold=False, now=99.0)
    assert not world.judge.broken
