"""What the platform publishes, taken by a balancer."""

from notchhoist.flows.balancer.node import make_balancer
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
        assert node.fleet.on_host == {"10.0.0.1": [server]}


def test_servers_that_are_gone_for_long_are_forgotten_everywhere():
    node = listed([entry(1), entry(2)])
    node.fleet.on_removed("s1", 2, 1.0)
    node.fleet.sweep(100.0)
    assert set(node.board.servers) == {"s2"}
    assert not node.fleet.on_host["10.0.0.1"]
