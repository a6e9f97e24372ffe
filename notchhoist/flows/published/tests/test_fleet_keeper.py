"""What the platform publishes, taken by a balancer."""

from msgspec.structs import replace

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, entry


def listed(entries):
    node = make_balancer("a", CODEC, "seed")
    node.fleet.on_listing([(item, 1) for item in entries], 1, 0.0)
    return node


def test_a_whole_list_is_one_line_in_the_log():
    """A line a server used up the bound in the second after an outage."""
    node = listed([entry(number) for number in range(1, 201)])
    [line] = node.board.records.decisions
    assert (line.event, line.outcome) == ("servers listed", "200 servers")
    assert line.inputs["changed"] == 200


def test_a_change_is_a_line_of_its_own():
    node = listed([entry(1)])
    node.fleet.on_entry(entry(1, draining=True), 2, 1.0)
    line = node.board.records.decisions[-1]
    assert (line.event, line.outcome) == ("server", "draining")


def test_a_listing_replaces_older_servers_on_a_host():
    """An entry outlives its server; the order of the list does not matter."""
    old = entry(1, server_id="old", created=3)
    new = entry(1, server_id="new", created=9)
    for entries in ([old, new], [new, old]):
        node = listed(entries)
        assert set(node.board.servers) == {"new"}
        assert node.board.by_host["10.0.0.1"].entry.server_id == "new"
        [server] = node.board.by_service[new.service]
        assert server.entry is new
        assert node.fleet.servers_by_host == {"10.0.0.1": [server]}


def test_servers_that_are_gone_for_long_are_forgotten_everywhere():
    node = listed([entry(1), entry(2)])
    node.fleet.on_removed("s1", 2, 1.0)
    node.fleet.sweep(100.0)
    assert set(node.board.servers) == {"s2"}
    assert not node.fleet.servers_by_host["10.0.0.1"]


def took_new_flows(node, server_id):
    server = node.board.servers[server_id]
    return not server.entry.draining and server.listed


def test_an_entry_that_cannot_be_read_takes_its_server_out_of_use():
    node = listed([entry(1), entry(2)])
    node.fleet.on_refused("s1", 2)
    assert not took_new_flows(node, "s1")
    assert took_new_flows(node, "s2")
    node.fleet.on_entry(entry(1), 3, 1.0)
    assert took_new_flows(node, "s1")


def test_late_word_of_a_strange_entry_changes_nothing():
    node = listed([entry(1)])
    node.fleet.on_entry(entry(1, warm_in_s=1.0), 5, 1.0)
    node.fleet.on_refused("s1", 4)
    assert took_new_flows(node, "s1")


def test_a_strange_entry_of_nobody_names_no_server():
    node = listed([entry(1)])
    node.fleet.on_refused("s9", 4)
    assert set(node.board.servers) == {"s1"}


def test_a_strange_entry_in_a_whole_list_keeps_its_server_for_open_flows():
    node = listed([entry(1), entry(2)])
    node.fleet.on_listing([(entry(2), 1)], 9, 1.0, refused=[("s1", 8)])
    assert not took_new_flows(node, "s1")
    assert node.board.servers["s1"].listed


def test_an_entry_moved_to_a_service_without_a_route_is_strange():
    node = listed([entry(1)])
    node.fleet.tables.on_table(crafting.table(), 1)
    node.fleet.on_entry(entry(1, service="nobody"), 5, 1.0)
    server = node.board.servers["s1"]
    assert server.entry.service == crafting.SERVICE
    assert not took_new_flows(node, "s1")


def reborn(born_ms, revision=5, **fields):
    """A balancer that has seen a server start again under its id."""
    node = listed([entry(1, born_ms=1000, **fields)])
    former = node.board.servers["s1"]
    former.note_load(9, 9, 200)
    former.suspected = True
    node.fleet.on_entry(entry(1, born_ms=born_ms, **fields), revision, 1.0)
    return node, former


def test_nothing_is_believed_of_a_server_that_started_again():
    for born_ms in (2000, 500):
        node, former = reborn(born_ms)
        server = node.board.servers["s1"]
        assert server is not former
        assert (server.flows, server.running, server.pace_ms) == (0, 0, 0)
        assert not server.suspected
        assert server.reborn
        assert node.board.by_host["10.0.0.1"] is server
        assert node.fleet.servers_by_host == {"10.0.0.1": [server]}


def test_the_same_start_time_or_none_is_the_same_server():
    for born_ms in (1000, 0):
        node, former = reborn(born_ms)
        assert node.board.servers["s1"] is former


def test_an_old_entry_that_comes_late_does_not_end_the_new_one():
    node, _ = reborn(2000, revision=5)
    server = node.board.servers["s1"]
    node.fleet.on_entry(entry(1, born_ms=1000), 4, 2.0)
    assert node.board.servers["s1"] is server


def test_one_that_started_again_elsewhere_is_asked_at_both_hosts():
    """The former may live: the entry may be another writer's."""
    node = listed([entry(1, born_ms=1000)])
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


def test_a_reborn_server_and_one_that_reuses_its_address():
    node, _ = reborn(2000)
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
    return replace(table, unread=frozenset(keys))


def ports_of(node):
    return {int.from_bytes(key[4:], "big") for key in node.board.table.routes}


def test_a_route_that_cannot_be_read_any_more_stays_as_it_was():
    node = listed([entry(1)])
    node.fleet.tables.on_table(table_of(1, 443, 444), 1)
    node.fleet.tables.on_table(table_of(2, 444, unread=[443]), 2)
    assert ports_of(node) == {443, 444}
    node.fleet.tables.on_table(table_of(3, 444, unread=[443]), 3)
    assert ports_of(node) == {443, 444}
    node.fleet.tables.on_table(table_of(4, 444), 4)
    assert ports_of(node) == {444}


def test_one_that_started_later_is_told_it_and_does_not_take_it_away():
    elder, younger = listed([entry(1)]), listed([entry(1)])
    elder.fleet.tables.on_table(table_of(1, 443, 444), 1)
    for node in (elder, younger):
        node.fleet.tables.on_table(table_of(2, 444, unread=[443]), 2)
    assert ports_of(younger) == {444}
    told = younger.board.view.since(0)
    elder.fleet.on_change(told, 1.0)
    assert ports_of(elder) == {443, 444}
    younger.fleet.on_change(elder.board.view.since(0), 1.0)
    younger.fleet.on_change(told, 1.1)
    assert ports_of(younger) == {443, 444}
