"""Configurations sent between balancers, over skipped versions."""

from hypothesis import given
from hypothesis import strategies as st

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.codec.message_codec import decode_message, encode_message
from notchhoist.flows.model.digests import routes_digest
from notchhoist.flows.model.messages import ViewTell
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC

PORTS = (443, 444, 445)


def routes_of(ports):
    return [crafting.route(port=port) for port in ports]


def balancer(name, ports=(443, 444), version=1):
    """A balancer with a full listing at the revision of a version."""
    node = make_balancer("a", CODEC, name, name)
    node.fleet.tables.on_table(
        crafting.table(version, routes_of(ports)), version
    )
    node.fleet.on_listing([], version, 0.0)
    return node


def read_next_version(node, version, ports):
    """Lets a balancer read the next version through its watch."""
    table = crafting.table(version, routes_of(ports))
    node.fleet.tables.on_table(table, version)
    node.board.view.advance_to(version)


def send_change(sender, receiver, known=None):
    """Sends a change encoded; returns whether the receiver accepted it."""
    if known is None:
        known = receiver.board.view.revision
    message = ViewTell(sender.board.view.changes_since(known), 0.0, ())
    change = decode_message(encode_message(message)).change
    return receiver.fleet.on_change(change, 0.0, "teller")


def test_readded_route_is_sent_by_a_balancer_that_skipped_its_removal():
    """Guards against a receiver that keeps the version without the route.

    It kept that version for up to 5 s.
    """
    reader, skipping_reader = balancer("r"), balancer("s")
    read_next_version(reader, 2, [443])
    outdated = balancer("b", [443], 2)
    read_next_version(reader, 3, [443, 444])
    assert send_change(reader, skipping_reader)
    assert send_change(skipping_reader, outdated)
    assert outdated.board.view.digest == reader.board.view.digest


def test_change_that_leads_to_other_routes_is_not_put_in_force():
    """The sender has read the third version without the second."""
    sender = balancer("t")
    outdated = balancer("b", [443, 445], 2)
    read_next_version(sender, 3, [443, 444])
    assert not send_change(sender, outdated)
    assert outdated.board.table.version == 2
    assert send_change(sender, outdated, known=0)
    assert outdated.board.view.digest == sender.board.view.digest


def test_conflicting_views_of_one_version_are_settled_by_the_platform():
    """Guards against adopting the wrong view of another balancer.

    One balancer requested the full view of the other and adopted its errors.
    """
    right, wrong = balancer("r", [443], 2), balancer("w", [445], 2)
    assert not queries_after_update(right, wrong)
    assert not queries_after_update(wrong, right)
    assert right.synchronizer.reconciler.needs_store_read
    assert right.synchronizer.must_read(0.0)
    for node in (right, wrong):
        table = crafting.table(2, routes_of([443]))
        node.fleet.tables.on_table(table, 2, replace_same_version=True)
        node.synchronizer.reconciler.on_listed()
    assert right.board.view.digest == wrong.board.view.digest


def queries_after_update(receiver, sender):
    known = receiver.board.view.revision
    message = ViewTell(sender.board.view.changes_since(known), 0.0, ())
    receiver.board.outbox.clear()
    receiver.synchronizer.on_update("teller", message, 0.0)
    return list(receiver.board.outbox)


def test_changes_of_a_lost_update_are_queried_at_once():
    reader, receiver_node = balancer("r"), balancer("t")
    read_next_version(reader, 2, [443])
    between = reader.board.view.revision
    read_next_version(reader, 3, [443, 445])
    message = ViewTell(reader.board.view.changes_since(between), 0.0, ())
    receiver_node.synchronizer.on_update("10.0.0.9", message, 0.0)
    [ask] = receiver_node.board.outbox
    assert (ask.host, ask.message.revision) == ("10.0.0.9", 1)


def test_number_of_remembered_route_removals_is_bounded():
    node = balancer("n")
    for version in range(2, 2500):
        read_next_version(node, version, [443, 1000 + version])
    assert len(node.board.view.changed_at) < 1100


STEP = st.tuples(
    st.sampled_from(["publish", "publish", "watch", "tell", "tell", "restart"]),
    st.integers(0, 3),
    st.integers(0, 3),
    st.sampled_from(PORTS),
)


@given(st.lists(STEP, max_size=50))
def test_routes_always_match_the_version_of_the_configuration(steps):
    """Some read, others get changes; some restart, some skip versions."""
    published = {1: (443, 444)}
    nodes = [balancer(str(n)) for n in range(4)]
    for action, one, other, port in steps:
        newest = max(published)
        if action == "publish":
            ports = tuple(sorted({*published[newest]} ^ {port}))
            published[newest + 1] = ports
        elif action == "watch":
            known = nodes[one].board.view.revision
            for version in range(known + 1, newest + 1):
                read_next_version(nodes[one], version, published[version])
        elif action == "restart":
            nodes[one] = balancer("x", published[newest], newest)
        elif one != other and not send_change(nodes[one], nodes[other]):
            assert send_change(nodes[one], nodes[other], known=0)
        for node in nodes:
            view = node.board.view
            routes = routes_of(published[view.table.version])
            assert view.digest == routes_digest(routes)
            assert view.digest == routes_digest(view.table.routes.values())
