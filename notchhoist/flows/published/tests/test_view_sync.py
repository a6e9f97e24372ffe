"""Synchronization of views: readers, queries, pushes and their delays."""

from hypothesis import given
from hypothesis import strategies as st

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.codec.message_codec import decode_message, encode_message
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import ViewTell
from notchhoist.flows.model.view import FleetView, ViewChange
from notchhoist.flows.published.membership import ALIVE_TIMEOUT_S
from notchhoist.flows.published.view_sync import MAX_VIEW_AGE_S
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, entry

HOSTS = ("10.0.0.101", "10.0.0.102", "10.0.0.103", "10.0.0.104")


class Fleet:
    """Balancers whose messages arrive at once unless a host is cut off."""

    def __init__(self, links=(100, 100, 100, 100)):
        self.nodes = {
            host: make_balancer("a", CODEC, host, host, HOSTS[:3], link)
            for host, link in zip(HOSTS, links, strict=True)
        }
        self.cut = set()
        self.now = 0.0

    def carry(self, sender, effects):
        for effect in effects:
            if not isinstance(effect, SendPeer):
                continue
            if effect.host in self.cut or sender in self.cut:
                continue
            message = decode_message(encode_message(effect.message))
            node = self.nodes[effect.host]
            self.carry(effect.host, node.on_peer(sender, message, self.now))

    def publish(self, host, *entries, revision, version=0):
        node = self.nodes[host]
        if version:
            node.fleet.tables.on_table(
                crafting.table(version=version), revision
            )
        for item in entries:
            node.fleet.on_entry(item, revision, self.now)
        node.board.fleet_known = True
        node.board.view.advance_to(revision)
        node.synchronizer.on_confirmed(self.now)
        self.carry(host, node.take_effects())

    def run(self, until):
        while self.now < until:
            self.now += 0.1
            for host, node in self.nodes.items():
                self.carry(host, node.tick(self.now))

    def readers(self):
        return {
            host
            for host, node in self.nodes.items()
            if node.synchronizer.must_read(self.now)
        }


def stable_fleet(**fields):
    fleet = Fleet(**fields)
    for host in HOSTS:
        fleet.publish(host, entry(1), revision=1, version=1)
    fleet.run(3.0)
    for host in HOSTS:
        fleet.nodes[host].synchronizer.on_confirmed(fleet.now)
    return fleet


def test_two_balancers_read_and_all_agree_on_them():
    fleet = stable_fleet()
    assert len(fleet.readers()) == 2


def test_hosts_with_fast_links_read():
    fleet = stable_fleet(links=(5, 100, 5, 100))
    assert fleet.readers() == {HOSTS[1], HOSTS[3]}


def test_change_is_pushed_to_balancers_that_do_not_read():
    fleet = stable_fleet()
    [reader, *_] = fleet.readers()
    fleet.publish(reader, entry(2), revision=2, version=2)
    pushed_hosts = set(HOSTS) - fleet.readers()
    for host in pushed_hosts:
        assert fleet.nodes[host].board.table.version == 2
        assert "s2" in fleet.nodes[host].board.servers


def test_lost_push_is_repaired_by_the_next_query():
    fleet = stable_fleet()
    [reader, *_] = fleet.readers()
    fleet.cut = set(HOSTS) - {reader}
    fleet.publish(reader, entry(2), revision=2, version=2)
    fleet.cut = set()
    fleet.run(fleet.now + 1.2)
    for node in fleet.nodes.values():
        assert node.board.table.version == 2


def test_cut_off_balancer_reads_within_the_deadline():
    fleet = stable_fleet()
    cut_off = (set(HOSTS) - fleet.readers()).pop()
    fleet.cut = {cut_off}
    fleet.run(fleet.now + MAX_VIEW_AGE_S + 0.1)
    assert cut_off in fleet.readers()


def test_longer_maximum_age_is_used():
    fleet = stable_fleet()
    cut_off = (set(HOSTS) - fleet.readers()).pop()
    fleet.nodes[cut_off].synchronizer.max_age_s = 4.5
    fleet.cut = {cut_off}
    fleet.run(fleet.now + MAX_VIEW_AGE_S + 0.1)
    assert not fleet.nodes[cut_off].synchronizer.must_read(fleet.now) or (
        fleet.nodes[cut_off].synchronizer.membership.is_reader(fleet.now)
    )


def test_another_balancer_reads_after_a_reader_fails():
    fleet = stable_fleet()
    failed = fleet.readers().pop()
    del fleet.nodes[failed]
    fleet.cut = {failed}
    for _ in range(int(2 * ALIVE_TIMEOUT_S)):
        for host in fleet.readers():
            fleet.nodes[host].synchronizer.on_confirmed(fleet.now)
        fleet.run(fleet.now + 0.5)
    assert len(fleet.readers()) == 2


def test_new_process_gets_the_full_view_from_its_seeds():
    fleet = stable_fleet()
    newcomer = make_balancer("a", CODEC, "n", "10.0.0.104", HOSTS[:3])
    fleet.nodes["10.0.0.104"] = newcomer
    fleet.carry("10.0.0.104", newcomer.tick(fleet.now))
    assert newcomer.is_ready


def test_older_entry_does_not_replace_a_newer_one():
    fleet = stable_fleet()
    node = fleet.nodes[HOSTS[0]]
    node.fleet.on_entry(entry(1, draining=True), 9, fleet.now)
    old = ViewChange(20, base=1, servers=((entry(1), 8),))
    node.fleet.on_change(old, fleet.now)
    assert node.board.servers["s1"].entry.draining


def test_change_after_a_gap_is_not_applied():
    fleet = stable_fleet()
    node = fleet.nodes[HOSTS[0]]
    change = ViewChange(20, base=10, servers=((entry(3), 15),))
    node.fleet.on_change(change, fleet.now)
    assert "s3" not in node.board.servers
    assert node.board.view.revision == 1


def test_removals_are_pushed():
    fleet = stable_fleet()
    [reader, *_] = fleet.readers()
    fleet.nodes[reader].fleet.on_removed("s1", 5, fleet.now)
    fleet.publish(reader, revision=5)
    for node in fleet.nodes.values():
        assert not node.board.servers["s1"].listed


def test_newly_started_balancer_sends_the_full_view_to_outdated_ones():
    """Guards against a change without removals.

    The sender did not know them, and a dropped route was used for 14 s more.
    """
    outdated, responder = (make_balancer("a", CODEC, n, n) for n in HOSTS[:2])
    kept, dropped = crafting.route(port=443), crafting.route(port=444)
    outdated.fleet.tables.on_table(crafting.table(6, [kept, dropped]), 20)
    outdated.fleet.on_listing([(entry(1), 3), (entry(2), 4)], 20, 0.0)
    responder.fleet.tables.on_table(crafting.table(11, [kept]), 22)
    responder.fleet.on_listing([(entry(1), 3)], 22, 0.0)
    change = responder.board.view.changes_since(20)
    assert change.base == 0
    outdated.fleet.on_change(change, 1.0)
    assert list(outdated.board.table.routes) == [kept.service_key]
    assert not outdated.board.servers["s2"].listed


def test_removal_of_an_unknown_route_is_forwarded():
    """Another process may have the route from a version skipped here."""
    view = FleetView()
    view.put_table(crafting.table(9), 9)
    view.record_full_read(9)
    view.put_table(crafting.table(11), 11)
    view.record_received_changes(ViewChange(11, removed_routes=(b"skipped",)))
    view.advance_to(11)
    assert b"skipped" in view.changes_since(10).removed_routes


def test_differing_views_are_reconciled():
    fleet = stable_fleet()
    [reader, *_] = fleet.readers()
    other = (set(HOSTS) - fleet.readers()).pop()
    stale = crafting.table(1, [crafting.route(), crafting.route(port=999)])
    fleet.nodes[other].board.table = stale
    fleet.nodes[other].board.view.table = stale
    fleet.nodes[other].board.view.servers["ghost"] = entry(9, server_id="ghost")
    fleet.publish(reader, entry(2), revision=2)
    fleet.run(fleet.now + 1.5)
    assert len(fleet.nodes[other].board.table.routes) == 1
    assert "ghost" not in fleet.nodes[other].board.view.servers


STEP = st.tuples(
    st.sampled_from(
        [
            *("publish", "evacuate", "listing", "watch", "tell", "tell"),
            "restart",
        ]
    ),
    st.integers(0, 2),
    st.integers(0, 2),
    st.integers(0, 5),
)


@given(st.lists(STEP, max_size=40))
def test_views_converge_on_the_published_state(steps):
    """Skipped versions, restarted senders and updates at any time."""
    routes, entries, revision, version, changed_at = {}, {}, 1, 1, 1
    zones: dict[str, int] = {}
    nodes = [make_balancer("a", CODEC, str(n), HOSTS[n]) for n in range(3)]

    def read(node):
        table = crafting.table(version, list(routes.values()))
        node.fleet.tables.on_table(table, changed_at)
        node.fleet.on_listing(
            list(entries.values()), revision, 0.0, evacuated=list(zones.items())
        )

    def send_update(source, target):
        if source is target or not source.board.fleet_known:
            return
        known = target.board.view.revision
        target.fleet.on_change(source.board.view.changes_since(known), 0.0)

    for action, one, other, number in steps:
        if action == "evacuate":
            revision += 1
            if zones.pop(f"z{number}", None) is None:
                zones[f"z{number}"] = revision
        elif action == "publish":
            revision += 1
            if number < 3:
                version += 1
                changed_at = revision
                key = 1000 + number
                if key in routes:
                    del routes[key]
                else:
                    routes[key] = crafting.route(port=key)
            elif f"s{number}" in entries:
                del entries[f"s{number}"]
            else:
                entries[f"s{number}"] = (entry(number), revision)
        elif action in ("listing", "watch"):
            read(nodes[one])
        elif action == "restart":
            nodes[one] = make_balancer("a", CODEC, "x", HOSTS[one])
        else:
            send_update(nodes[one], nodes[other])
    read(nodes[0])
    for node in nodes[1:]:
        send_update(nodes[0], node)
        assert set(node.board.table.routes) == {
            item.service_key for item in routes.values()
        }
        assert set(node.board.view.servers) == set(entries)
        assert set(node.board.view.evacuated) == set(zones)


def test_evacuation_and_its_withdrawal_are_pushed():
    fleet = stable_fleet()
    [reader, *_] = fleet.readers()
    node = fleet.nodes[reader]
    node.fleet.zones.on_evacuated("b", 5, fleet.now)
    fleet.publish(reader, revision=5)
    for other in fleet.nodes.values():
        assert set(other.board.view.evacuated) == {"b"}
    node.fleet.zones.on_returned("b", 6, fleet.now)
    fleet.publish(reader, revision=6)
    for other in fleet.nodes.values():
        assert not other.board.view.evacuated
        assert other.board.zones["b"].returned_at == fleet.now


def test_newly_started_balancer_learns_of_evacuated_zones():
    fleet = stable_fleet()
    for node in fleet.nodes.values():
        node.fleet.zones.on_evacuated("b", 5, fleet.now)
        node.board.view.advance_to(5)
    newcomer = make_balancer("a", CODEC, "n", HOSTS[3], HOSTS[:3])
    fleet.nodes[HOSTS[3]] = newcomer
    fleet.carry(HOSTS[3], newcomer.tick(fleet.now))
    assert set(newcomer.board.view.evacuated) == {"b"}


def test_age_of_a_delayed_update_counts_from_the_query():
    """Guards against an age that counts from the arrival of the update.

    The view then looked a second newer than it was and was used beyond the
    propagation deadline.
    """
    responder, requester = (
        make_balancer("a", CODEC, n, n, HOSTS) for n in HOSTS[:2]
    )
    responder.fleet.tables.on_table(crafting.table(), 1)
    responder.fleet.on_listing([(entry(1), 1)], 1, 0.0)
    responder.synchronizer.on_confirmed(0.0)
    [ask] = [
        item.message
        for item in requester.tick(10.0)
        if isinstance(item, SendPeer) and item.host == HOSTS[0]
    ]
    responder.synchronizer.on_confirmed(10.0)
    [update] = [
        item.message
        for item in responder.on_peer(HOSTS[1], ask, 10.001)
        if isinstance(item.message, ViewTell)
    ]
    requester.on_peer(HOSTS[0], update, 11.0)
    assert requester.board.confirmed_at <= 10.0
    assert requester.synchronizer.must_read(10.0 + MAX_VIEW_AGE_S)


def test_response_to_an_unknown_query_confirms_nothing():
    requester = make_balancer("a", CODEC, "n", HOSTS[1], HOSTS)
    update = ViewTell(ViewChange(1, version=1), 0.0, (), asked=77)
    requester.on_peer(HOSTS[0], update, 5.0)
    assert requester.board.confirmed_at == float("-inf")


def test_first_balancer_with_a_view_after_an_outage_informs_all():
    """Guards against each waiting up to 0.4 s for its own next store call."""
    fleet = Fleet()
    fleet.run(0.3)
    last = HOSTS[3]
    node = fleet.nodes[last]
    node.fleet.tables.on_table(crafting.table(), 5)
    node.fleet.on_listing([(entry(1), 4)], 5, fleet.now)
    node.synchronizer.on_confirmed(fleet.now)
    fleet.carry(last, node.take_effects())
    for other in fleet.nodes.values():
        assert other.board.fleet_known


def test_query_lost_before_the_seeds_start_is_repeated_soon():
    """Guards against a next query 0.5 s later.

    The balancer then had a view 0.3 s after the seeds.
    """
    fleet = Fleet()
    fleet.cut = set(HOSTS[:3])
    fleet.run(0.2)
    fleet.cut = set()
    seed = fleet.nodes[HOSTS[2]]
    fleet.publish(HOSTS[2], entry(1), revision=1, version=1)
    fleet.run(fleet.now + 0.25)
    assert seed.is_ready
    assert fleet.nodes[HOSTS[3]].is_ready


def test_rate_of_queries_to_a_seed_is_bounded_while_nothing_is_known():
    fleet = Fleet()
    queries = 0
    node = fleet.nodes[HOSTS[3]]
    for tick in range(200):
        queries += sum(
            isinstance(item, SendPeer) and item.host == HOSTS[0]
            for item in node.tick(tick / 100)
        )
    assert queries <= 2 * 6
