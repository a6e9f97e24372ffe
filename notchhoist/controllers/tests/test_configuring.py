"""Configuration in force within seconds, never reverting."""

import attrs

from notchhoist import documents, model
from notchhoist.testing.fleet import make_fleet

IN_FORCE_S = 4.0


def started(nodes=24, seed=5):
    fleet = make_fleet(nodes, seed)
    assert fleet.everywhere_after(IN_FORCE_S) <= IN_FORCE_S
    fleet.world.run(3.0)
    return fleet


def revisions(fleet):
    return [
        host.node.board.config.store.revision
        for host in fleet.world.hosts.values()
        if host.node is not None
    ]


def test_a_change_is_in_force_everywhere_within_4_s():
    fleet = started()
    for weight in (2.0, 3.0, 4.0):
        fleet.publish_weight(weight)
        assert fleet.everywhere_after(IN_FORCE_S) <= IN_FORCE_S
        fleet.world.run(1.0)


def test_issue_4_a_watcher_that_heard_from_a_peer_pushes_too():
    """It kept quiet, and its zone waited for the next question."""
    fleet = started()
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


def test_issue_4_a_zone_without_a_balancer_is_pushed_to():
    """Its agents waited for their next question, up to 2.25 s."""
    fleet = started(nodes=10)
    fleet.publish_weight(2.0)
    fleet.world.run(0.2)
    assert fleet.behind() == 0


def test_a_third_of_lost_messages_does_not_stop_it():
    fleet = started()
    fleet.world.loss = 0.3
    fleet.publish_weight(2.0)
    assert fleet.everywhere_after(3 * IN_FORCE_S) <= 3 * IN_FORCE_S


def test_a_stale_platform_never_takes_a_started_process_back():
    fleet = started()
    old = fleet.world.platform.document
    fleet.publish_weight(2.0)
    fleet.everywhere_after(IN_FORCE_S)
    fleet.world.platform.stale = old
    peer = fleet.configuration.balancers[1].peer
    fleet.world.kill(peer)
    fleet.world.start(peer)
    fleet.world.run(IN_FORCE_S)
    assert revisions(fleet) == [2] * len(fleet.world.hosts)


def test_the_platform_down_for_long_keeps_the_last_good_state():
    fleet = started()
    fleet.publish_weight(2.0)
    fleet.everywhere_after(IN_FORCE_S)
    fleet.world.platform.down = True
    peer = fleet.configuration.services[0].agents()[0]
    fleet.world.kill(peer)
    fleet.world.start(peer)
    fleet.world.run(60.0)
    assert revisions(fleet) == [2] * len(fleet.world.hosts)
    fleet.world.platform.down = False
    fleet.publish_weight(3.0)
    assert fleet.everywhere_after(IN_FORCE_S) <= IN_FORCE_S


def test_a_cut_that_heals_brings_the_newest_everywhere():
    fleet = started()
    peers = list(fleet.world.hosts)
    half = len(peers) // 2
    fleet.world.cut(peers[:half], peers[half:])
    fleet.publish_weight(2.0)
    fleet.world.run(10.0)
    fleet.publish_weight(3.0)
    fleet.world.run(5.0)
    fleet.world.heal()
    assert fleet.everywhere_after(IN_FORCE_S) <= IN_FORCE_S


def test_all_watchers_dead_is_no_end():
    fleet = started(nodes=40)
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


def test_a_refused_document_keeps_the_last_good_one_and_says_why():
    fleet = started()
    balancer = next(iter(fleet.world.hosts.values())).node
    text = b'{"revision": 9, "services": [{"name": "", "address": "x:1"}]}'
    balancer.handle(model.ConfigurationRead(text, False), fleet.world.now)
    board = balancer.board.config
    assert board.store.revision == 1
    assert board.refused.revision == 9
    places = [problem.place for problem in board.refused.problems]
    assert places == ["services[0].name", "services[0].address"]


def test_two_documents_of_one_revision_the_first_stays():
    fleet = started()
    balancer = next(iter(fleet.world.hosts.values())).node
    first = fleet.configuration.services[0]
    other = attrs.evolve(
        fleet.configuration, services=(attrs.evolve(first, memory_s=99.0),)
    )
    text = documents.write_configuration(other)
    balancer.handle(model.ConfigurationRead(text, False), fleet.world.now)
    assert balancer.board.config.store.services[first.name] == first
    assert "higher revision" in str(balancer.board.config.refused)


def test_a_peer_cannot_bring_an_older_revision_or_a_gap():
    fleet = started()
    balancer = next(iter(fleet.world.hosts.values())).node
    store = balancer.board.config.store
    sender = fleet.configuration.balancers[1].peer
    for revision, base in ((1, 0), (9, 5)):
        diff = model.ConfigDiff(revision, base, [], ["service-0"], b"", "")
        balancer.handle(model.PeerMessage(sender, diff), fleet.world.now)
        assert store.revision == 1
        assert "service-0" in store.services


def test_platform_reads_stay_few():
    fleet = started(nodes=80)
    reads = fleet.world.platform.reads
    fleet.world.run(20.0)
    assert (fleet.world.platform.reads - reads) / 20.0 < 20.0
