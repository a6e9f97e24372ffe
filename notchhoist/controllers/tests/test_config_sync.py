"""Tests of configuration distribution: in force in time, never reverted."""

import attrs

from notchhoist import documents, model
from notchhoist.testing.fleet import make_fleet

IN_FORCE_S = 4.0


def start_fleet(nodes=24, seed=5):
    fleet = make_fleet(nodes, seed)
    assert fleet.propagation_time(IN_FORCE_S) <= IN_FORCE_S
    fleet.world.run(3.0)
    return fleet


def revisions(fleet):
    return [
        host.node.board.config.store.revision
        for host in fleet.world.hosts.values()
        if host.node is not None
    ]


def test_change_is_in_force_everywhere_within_4_s():
    fleet = start_fleet()
    for weight in (2.0, 3.0, 4.0):
        fleet.publish_weight(weight)
        assert fleet.propagation_time(IN_FORCE_S) <= IN_FORCE_S
        fleet.world.run(1.0)


def test_issue_4_watcher_pushes_changes_received_from_a_peer():
    """A watcher pushed only what it had read from the platform itself.

    Its zone then waited for the next periodic query.
    """
    fleet = start_fleet()
    watcher = next(
        host.node
        for host in fleet.world.hosts.values()
        if host.node.config.is_watcher()
    )
    service = attrs.evolve(fleet.configuration.services[0], epoch=2)
    text = documents.write_service(service)
    diff = model.ConfigDiff(2, 1, [text], [], b"", "")
    sender = fleet.configuration.balancers[0].peer
    effects = watcher.handle(model.PeerMessage(sender, diff), 0.0)
    pushed = [e.message for e in effects if isinstance(e, model.SendPeer)]
    assert any(isinstance(item, model.ConfigDiff) for item in pushed)


def test_issue_4_zone_without_a_balancer_gets_pushes():
    """Agents of such a zone waited up to 2.25 s for their next query."""
    fleet = start_fleet(nodes=10)
    fleet.publish_weight(2.0)
    fleet.world.run(0.2)
    assert fleet.count_outdated() == 0


def test_change_arrives_with_30_percent_message_loss():
    fleet = start_fleet()
    fleet.world.loss = 0.3
    fleet.publish_weight(2.0)
    assert fleet.propagation_time(3 * IN_FORCE_S) <= 3 * IN_FORCE_S


def test_stale_platform_does_not_revert_a_restarted_process():
    fleet = start_fleet()
    old = fleet.world.platform.document
    fleet.publish_weight(2.0)
    fleet.propagation_time(IN_FORCE_S)
    fleet.world.platform.stale = old
    peer = fleet.configuration.balancers[1].peer
    fleet.world.kill(peer)
    fleet.world.start(peer)
    fleet.world.run(IN_FORCE_S)
    assert revisions(fleet) == [2] * len(fleet.world.hosts)


def test_last_good_configuration_survives_a_platform_outage():
    fleet = start_fleet()
    fleet.publish_weight(2.0)
    fleet.propagation_time(IN_FORCE_S)
    fleet.world.platform.down = True
    peer = fleet.configuration.services[0].agents()[0]
    fleet.world.kill(peer)
    fleet.world.start(peer)
    fleet.world.run(60.0)
    assert revisions(fleet) == [2] * len(fleet.world.hosts)
    fleet.world.platform.down = False
    fleet.publish_weight(3.0)
    assert fleet.propagation_time(IN_FORCE_S) <= IN_FORCE_S


def test_newest_revision_is_everywhere_after_a_partition_heals():
    fleet = start_fleet()
    peers = list(fleet.world.hosts)
    half = len(peers) // 2
    fleet.world.cut(peers[:half], peers[half:])
    fleet.publish_weight(2.0)
    fleet.world.run(10.0)
    fleet.publish_weight(3.0)
    fleet.world.run(5.0)
    fleet.world.heal()
    assert fleet.propagation_time(IN_FORCE_S) <= IN_FORCE_S


def test_change_arrives_after_all_watchers_but_one_died():
    fleet = start_fleet(nodes=40)
    watchers = [
        peer
        for peer, host in fleet.world.hosts.items()
        if host.node.config.is_watcher()
    ]
    for peer in watchers[:-1]:
        fleet.world.kill(peer)
    fleet.publish_weight(2.0)
    fleet.world.run(20.0)
    assert set(revisions(fleet)) == {2}


def test_refused_document_keeps_the_last_good_one_and_reports_why():
    fleet = start_fleet()
    balancer = next(iter(fleet.world.hosts.values())).node
    text = b'{"revision": 9, "services": [{"name": "", "address": "x:1"}]}'
    balancer.handle(model.ConfigurationRead(text, False), fleet.world.now)
    board = balancer.board.config
    assert board.store.revision == 1
    assert board.refused.revision == 9
    places = [problem.place for problem in board.refused.problems]
    assert places == ["services[0].name", "services[0].address"]


def test_first_of_two_documents_of_one_revision_stays():
    fleet = start_fleet()
    balancer = next(iter(fleet.world.hosts.values())).node
    first = fleet.configuration.services[0]
    other = attrs.evolve(
        fleet.configuration, services=(attrs.evolve(first, memory_s=99.0),)
    )
    text = documents.write_configuration(other)
    balancer.handle(model.ConfigurationRead(text, False), fleet.world.now)
    assert balancer.board.config.store.services[first.name] == first
    assert "higher revision" in str(balancer.board.config.refused)


def test_difference_with_an_old_revision_or_a_gap_is_ignored():
    fleet = start_fleet()
    balancer = next(iter(fleet.world.hosts.values())).node
    store = balancer.board.config.store
    sender = fleet.configuration.balancers[1].peer
    for revision, base in ((1, 0), (9, 5)):
        diff = model.ConfigDiff(revision, base, [], ["service-0"], b"", "")
        balancer.handle(model.PeerMessage(sender, diff), fleet.world.now)
        assert store.revision == 1
        assert "service-0" in store.services


def test_rate_of_platform_reads_is_bounded():
    fleet = start_fleet(nodes=80)
    reads = fleet.world.platform.reads
    fleet.world.run(20.0)
    assert (fleet.world.platform.reads - reads) / 20.0 < 20.0
