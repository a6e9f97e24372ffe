"""Tests of established flows under planned changes and host failures.

Planned changes break no flow; a host failure breaks only the flows there.
"""

import pytest

from notchhoist import controllers, model
from notchhoist.testing import baselines, changes
from notchhoist.testing.caller import Task


@pytest.mark.parametrize("name", changes.PLANNED)
def test_planned_change_breaks_no_established_flow(name):
    site = changes.make_site(seed=1)
    changes.PLANNED[name](site)
    assert changes.finish(site)
    assert dict(site.world.history.broken) == {}
    assert site.world.history.check() == []


@pytest.mark.parametrize(
    "adapt", [baselines.plain_rendezvous, baselines.modulo_table]
)
def test_baseline_without_a_directory_breaks_flows(adapt):
    site = changes.make_site(seed=1, adapt=adapt)
    site.attach()
    changes.finish(site)
    assert sum(site.world.history.broken.values()) > 0


def test_host_failure_breaks_only_flows_of_its_agent():
    site = changes.make_site(seed=1)
    owned = site.established_at(site.service.servers[0].agent)
    site.kill_host()
    assert changes.finish(site)
    assert 0 < sum(site.world.history.broken.values()) <= owned


def test_issue_4_restarted_home_agent_gets_pointers_from_owners():
    """A restarted home agent waited for the owners' next announcements.

    These come every third of a pointer's lease. The owners must answer the
    query of the restarted agent at once, so that streams are kept if home
    agents and owners are restarted one after another.
    """
    site = changes.make_site(seed=1)
    site.restart_agents()
    site.world.run(3.0)
    restarted = site.service.servers[0].agent
    node = site.world.hosts[restarted].node
    assert isinstance(node, controllers.AgentNode)
    assert len(node.board.directory.pointers) > 0


def test_issue_4_restarted_agent_restores_no_flow_of_another_owner():
    """An owner that was also home agent announced an old pointer of its flow.

    The pointer led to the restarted agent, which took the flow over.
    """
    site = changes.make_site(seed=2)
    site.restart_agents()
    assert changes.finish(site)
    assert dict(site.world.history.broken) == {}


def test_issue_4_agent_without_configuration_accepts_no_request():
    """Such an agent took an upload for a non-repeatable request."""
    site = changes.make_site(seed=5)
    site.restart_agents()
    assert changes.finish(site)
    assert dict(site.world.history.broken) == {}


def test_issue_4_moved_flow_is_not_routed_to_its_former_owner():
    """The home agent kept a pinned pointer to the former owner.

    The second block of an upload was therefore routed to that agent.
    """
    site = changes.make_site(seed=1)
    site.drain()
    assert changes.finish(site)
    assert dict(site.world.history.broken) == {}


def test_requests_never_reach_a_server_of_another_service():
    site = changes.make_site(seed=2)
    world = site.world
    caller = model.Endpoint("172.30.0.1", 9)
    task = Task("feed", "GET", "other-service", "x1")
    world.add_caller(caller, [task])
    changes.finish(site)
    assert world.history.misdirected == []


def test_forward_for_another_service_is_counted_and_dropped():
    site = changes.make_site(seed=2)
    peer = site.service.servers[0].agent
    node = site.world.hosts[peer].node
    forward = model.Forward(
        "hallbook", model.Endpoint("1.1.1.1", 1), b"x", 1, 0, True, peer
    )
    effects = node.handle(model.PeerMessage(peer, forward), site.world.now)
    assert effects == []
    assert node.board.counters["misdirected"] == 1


@pytest.mark.parametrize("seed", [12, 14, 25, 40, 76])
def test_issue_4_concurrent_planned_changes_break_no_flow(seed):
    """Runs many planned changes at once, in ways that broke flows before.

    A flow moved twice in a row, an agent restarted while it was detached, and
    outdated announcements of owners arrived late.
    """
    site = changes.run_random_changes(seed)
    assert site.world.callers_done()
    assert dict(site.world.history.broken) == {}
    assert site.world.history.check() == []


def test_concurrent_planned_changes_break_flows_of_the_baseline():
    site = changes.run_random_changes(7, baselines.plain_rendezvous)
    assert sum(site.world.history.broken.values()) > 0
