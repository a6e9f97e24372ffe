"""Established flows survive planned changes; deaths break only their own."""

import pytest

from notchhoist import controllers, model
from notchhoist.testing import baselines, changes
from notchhoist.testing.caller import Task


@pytest.mark.parametrize("name", changes.PLANNED)
def test_no_established_flow_breaks(name):
    site = changes.make_site(seed=1)
    changes.PLANNED[name](site)
    assert changes.finish(site)
    assert dict(site.world.history.broken) == {}
    assert site.world.history.check() == []


@pytest.mark.parametrize(
    "adapt", [baselines.plain_rendezvous, baselines.modulo_table]
)
def test_a_version_without_a_directory_breaks_flows(adapt):
    site = changes.make_site(seed=1, adapt=adapt)
    site.attach()
    changes.finish(site)
    assert sum(site.world.history.broken.values()) > 0


def test_a_death_breaks_only_the_flows_of_its_owner():
    site = changes.make_site(seed=1)
    owned = site.established_at(site.service.servers[0].agent)
    site.kill_host()
    assert changes.finish(site)
    assert 0 < sum(site.world.history.broken.values()) <= owned


def test_issue_4_homes_and_owners_restarted_in_turn_keep_streams():
    """A restarted home hears at once from the owners, not a third later."""
    site = changes.make_site(seed=1)
    site.restart_agents()
    site.world.run(3.0)
    restarted = site.service.servers[0].agent
    node = site.world.hosts[restarted].node
    assert isinstance(node, controllers.AgentNode)
    assert len(node.board.directory.pointers) > 0


def test_issue_4_a_restarted_agent_gets_no_flow_that_another_owns():
    """An owner that was also the home told an old pointer of its own flow."""
    site = changes.make_site(seed=2)
    site.restart_agents()
    assert changes.finish(site)
    assert dict(site.world.history.broken) == {}


def test_issue_4_an_agent_without_configuration_takes_no_request():
    """It took an upload for a request that must not be repeated."""
    site = changes.make_site(seed=5)
    site.restart_agents()
    assert changes.finish(site)
    assert dict(site.world.history.broken) == {}


def test_issue_4_a_moved_flow_is_not_led_back_to_its_former_owner():
    """The home kept a pinned pointer, the second block came to the old one."""
    site = changes.make_site(seed=1)
    site.drain()
    assert changes.finish(site)
    assert dict(site.world.history.broken) == {}


def test_two_services_never_share_a_server():
    site = changes.make_site(seed=2)
    world = site.world
    stranger = model.Endpoint("172.30.0.1", 9)
    task = Task("feed", "GET", "other-service", "x1")
    world.add_caller(stranger, [task])
    changes.finish(site)
    assert world.history.misdirected == []


def test_a_forward_for_another_service_is_counted_and_dropped():
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
def test_issue_4_many_planned_changes_at_once_break_nothing(seed):
    """Moves twice in a row, restarts while detached, old news of owners."""
    site = changes.run_random_changes(seed)
    assert site.world.callers_done()
    assert dict(site.world.history.broken) == {}
    assert site.world.history.check() == []


def test_many_planned_changes_at_once_break_the_naive_version():
    site = changes.run_random_changes(7, baselines.plain_rendezvous)
    assert sum(site.world.history.broken.values()) > 0
