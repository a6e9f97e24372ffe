"""Published changes applied by a balancer."""

from msgspec.structs import replace

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, entry


def list_servers(entries):
    node = make_balancer("a", CODEC, "seed")
    node.fleet.on_listing([(item, 1) for item in entries], 1, 0.0)
    return node


def test_full_listing_is_one_log_line():
    """Guards against a line for each server.

    These lines exhausted the log budget in the second after an outage.
    """
    node = list_servers([entry(number) for number in range(1, 201)])
    [line] = node.board.records.decisions
    assert (line.event, line.outcome) == ("servers listed", "200 servers")
    assert line.inputs["changed"] == 200


def test_change_of_an_entry_is_one_log_line():
    node = list_servers([entry(1)])
    node.fleet.on_entry(entry(1, draining=True), 2, 1.0)
    line = node.board.records.decisions[-1]
    assert (line.event, line.outcome) == ("server", "draining")


def test_listing_replaces_older_servers_on_a_host():
    """An entry outlives its server; the order in a listing is irrelevant."""
    old = entry(1, server_id="old", created=3)
    new = entry(1, server_id="new", created=9)
    for entries in ([old, new], [new, old]):
        node = list_servers(entries)
        assert set(node.board.servers) == {"new"}
        assert node.board.by_host["10.0.0.1"].entry.server_id == "new"
        [server] = node.board.by_service[new.service]
        assert server.entry is new
        assert node.fleet.servers_by_host == {"10.0.0.1": [server]}


def test_servers_unlisted_for_long_are_removed_from_every_index():
    node = list_servers([entry(1), entry(2)])
    node.fleet.on_removed("s1", 2, 1.0)
    node.fleet.sweep(100.0)
    assert set(node.board.servers) == {"s2"}
    assert not node.fleet.servers_by_host["10.0.0.1"]


def takes_new_flows(node, server_id):
    server = node.board.servers[server_id]
    return not server.entry.draining and server.listed


def test_invalid_entry_takes_its_server_out_of_use():
    node = list_servers([entry(1), entry(2)])
    node.fleet.on_refused("s1", 2)
    assert not takes_new_flows(node, "s1")
    assert takes_new_flows(node, "s2")
    node.fleet.on_entry(entry(1), 3, 1.0)
    assert takes_new_flows(node, "s1")


def test_outdated_invalid_entry_is_ignored():
    node = list_servers([entry(1)])
    node.fleet.on_entry(entry(1, warm_in_s=1.0), 5, 1.0)
    node.fleet.on_refused("s1", 4)
    assert takes_new_flows(node, "s1")


def test_invalid_entry_of_an_unknown_server_is_ignored():
    node = list_servers([entry(1)])
    node.fleet.on_refused("s9", 4)
    assert set(node.board.servers) == {"s1"}


def test_invalid_entry_in_a_listing_keeps_its_server_for_open_flows():
    node = list_servers([entry(1), entry(2)])
    node.fleet.on_listing([(entry(2), 1)], 9, 1.0, refused=[("s1", 8)])
    assert not takes_new_flows(node, "s1")
    assert node.board.servers["s1"].listed


def test_entry_moved_to_a_service_without_a_route_is_invalid():
    node = list_servers([entry(1)])
    node.fleet.tables.on_table(crafting.table(), 1)
    node.fleet.on_entry(entry(1, service="nobody"), 5, 1.0)
    server = node.board.servers["s1"]
    assert server.entry.service == crafting.SERVICE
    assert not takes_new_flows(node, "s1")


def restarted(born_ms, revision=5, **fields):
    """A balancer that has seen a server restart under the same id."""
    node = list_servers([entry(1, born_ms=1000, **fields)])
    former = node.board.servers["s1"]
    former.record_load(9, 9, 200)
    former.suspected = True
    node.fleet.on_entry(entry(1, born_ms=born_ms, **fields), revision, 1.0)
    return node, former


def test_new_incarnation_starts_without_the_state_of_the_former():
    for born_ms in (2000, 500):
        node, former = restarted(born_ms)
        server = node.board.servers["s1"]
        assert server is not former
        assert (server.flows, server.running, server.service_time_ms) == (
            0,
            0,
            0,
        )
        assert not server.suspected
        assert server.is_restart
        assert node.board.by_host["10.0.0.1"] is server
        assert node.fleet.servers_by_host == {"10.0.0.1": [server]}


def test_same_or_unknown_start_time_is_the_same_incarnation():
    for born_ms in (1000, 0):
        node, former = restarted(born_ms)
        assert node.board.servers["s1"] is former


def test_outdated_entry_does_not_replace_the_new_incarnation():
    node, _ = restarted(2000, revision=5)
    server = node.board.servers["s1"]
    node.fleet.on_entry(entry(1, born_ms=1000), 4, 2.0)
    assert node.board.servers["s1"] is server


def test_server_restarted_on_another_host_is_queried_on_both_hosts():
    """The former server may run, as the entry may be of another writer."""
    node = list_servers([entry(1, born_ms=1000)])
    moved = entry(7, server_id="s1", born_ms=2000)
    node.fleet.on_entry(moved, 5, 1.0)
    hosts = {
        server.entry.host: server.listed
        for server in node.board.by_service[crafting.SERVICE]
    }
    assert hosts == {"10.0.0.1": False, "10.0.0.7": True}
    node.fleet.on_entry(entry(1, born_ms=1000), 6, 2.0)
    node.fleet.sweep(200.0)
    assert set(node.board.servers) == {"s1"}


def test_server_that_reuses_the_address_of_a_new_incarnation_replaces_it():
    node, _ = restarted(2000)
    node.fleet.on_entry(
        entry(1, server_id="new", created=9, born_ms=3000), 9, 2.0
    )
    assert set(node.board.servers) == {"new"}
    node.fleet.on_entry(entry(1, born_ms=2000, warm_in_s=1.0), 10, 3.0)
    assert set(node.board.servers) == {"new"}


def table_of(version, *ports, unread=()):
    routes = [crafting.route(port=port) for port in ports]
    table = crafting.table(version, routes)
    keys = [crafting.route(port=port).service_key for port in unread]
    return replace(table, unreadable=frozenset(keys))


def ports_of(node):
    return {int.from_bytes(key[4:], "big") for key in node.board.table.routes}


def test_route_that_becomes_invalid_is_kept_as_it_was():
    node = list_servers([entry(1)])
    node.fleet.tables.on_table(table_of(1, 443, 444), 1)
    node.fleet.tables.on_table(table_of(2, 444, unread=[443]), 2)
    assert ports_of(node) == {443, 444}
    node.fleet.tables.on_table(table_of(3, 444, unread=[443]), 3)
    assert ports_of(node) == {443, 444}
    node.fleet.tables.on_table(table_of(4, 444), 4)
    assert ports_of(node) == {444}


def test_kept_route_reaches_a_later_started_balancer_and_is_not_dropped():
    earlier_node, later_node = (
        list_servers([entry(1)]),
        list_servers([entry(1)]),
    )
    earlier_node.fleet.tables.on_table(table_of(1, 443, 444), 1)
    for node in (earlier_node, later_node):
        node.fleet.tables.on_table(table_of(2, 444, unread=[443]), 2)
    assert ports_of(later_node) == {444}
    change = later_node.board.view.changes_since(0)
    earlier_node.fleet.on_change(change, 1.0)
    assert ports_of(earlier_node) == {443, 444}
    later_node.fleet.on_change(earlier_node.board.view.changes_since(0), 1.0)
    later_node.fleet.on_change(change, 1.1)
    assert ports_of(later_node) == {443, 444}
