"""A balancer: flows of routes that split, or did, are found or left alone."""

import pytest

from notchhoist.flows.balancer import scope
from notchhoist.flows.balancer.finding import UNCONFIRMED_RESET_DELAY_S
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.codec.message_codec import decode_message, encode_message
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendAgent, SendPeer
from notchhoist.flows.model.messages import (
    FlowsAsk,
    ViewAsk,
    ViewPiece,
    ViewTell,
)
from notchhoist.flows.model.notes import NoteKind, service_tag
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.published.reroutings import KEPT_S
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.agents import agent
from notchhoist.flows.tests.balancing import (
    asked_agents,
    packets,
    resets,
    tell,
    tell_flow,
    tell_outcome,
    tried_agents,
)
from notchhoist.flows.tests.crafting import CODEC, SYN, entry, request

OLD, NEW, THIRD = "hallbook", "scoredrop", "tidepool"
OLD_HOST, NEW_HOST, THIRD_HOST = "10.0.0.1", "10.0.0.2", "10.0.0.3"
LOST = request(data=b"x", seq=500, ack=900)


def split(*targets, port=crafting.SERVICE_PORT):
    return crafting.route(targets=targets, port=port)


def balancer(*routes, services=(OLD, NEW, THIRD), now=-100.0):
    """A balancer with one server of each service; it has just read them."""
    node = make_balancer("a", CODEC, "seed")
    node.fleet.tables.on_table(crafting.table(routes=list(routes)), 1)
    entries = [
        (entry(n, service=service), 1) for n, service in enumerate(services, 1)
    ]
    node.fleet.on_listing(entries, 1, now)
    node.tick(now)
    return node


def change(node, *routes, version=2, now=1.0):
    node.fleet.tables.on_table(crafting.table(version, list(routes)), version)
    node.on_published(now)


def search(node, deny=(), now=2.0):
    """Looks for a lost flow; the named hosts deny. Returns the last effects."""
    effects = node.on_caller(LOST, now)
    asked = asked_agents(effects)
    for host in deny:
        effects = tell_flow(node, host, LOST, NoteKind.ABSENT, now + 0.01)
        asked += asked_agents(effects)
    return effects, asked


def tags(effects):
    return {
        effect.host: effect.message.tag
        for effect in effects
        if isinstance(effect, SendPeer) and isinstance(effect.message, FlowsAsk)
    }


def test_a_flow_that_outlived_a_change_of_weights_is_found_and_served():
    """A balancer that has just started knows today's weights only."""
    node = balancer(split((OLD, 0), (NEW, 1)))
    effects, asked = search(node, [NEW_HOST])
    assert asked == [NEW_HOST, OLD_HOST]
    assert tags(effects) == {OLD_HOST: service_tag(OLD)}
    effects = tell_flow(node, OLD_HOST, LOST, NoteKind.PRESENT, 2.02)
    [(host, segment)] = packets(effects)
    assert (host, notes.tag_of(segment)) == (OLD_HOST, service_tag(OLD))


def test_its_agent_takes_the_packet_of_a_rejoined_flow():
    node = balancer(split((OLD, 0), (NEW, 1)))
    search(node, [NEW_HOST])
    effects = tell_flow(node, OLD_HOST, LOST, NoteKind.PRESENT, 2.02)
    [sent] = [item for item in effects if isinstance(item, SendAgent)]
    beside = agent(known=False)
    beside.on_balancer("10.0.1.1", CODEC.decode_request(sent.datagram), 100.0)
    assert beside.board.records.counters["wrong_service"] == 0


def test_an_unsure_agent_of_another_service_is_tried_by_its_own_tag():
    node = balancer(split((OLD, 0), (NEW, 1)))
    search(node, [NEW_HOST])
    effects = tell_flow(node, OLD_HOST, LOST, NoteKind.UNSURE, 2.02)
    [(host, segment)] = tried_agents(effects)
    assert (host, notes.tag_of(segment)) == (OLD_HOST, service_tag(OLD))
    assert tags(effects)[OLD_HOST] == service_tag(OLD)
    assert not resets(tell_outcome(node, OLD_HOST, segment, 2.03))


def test_a_flow_is_dead_only_where_no_service_holds_it():
    node = balancer(split((OLD, 1), (NEW, 1)), services=(OLD, NEW))
    search(node, [OLD_HOST])
    assert not resets(node.tick(2.01 + UNCONFIRMED_RESET_DELAY_S))
    tell_flow(node, NEW_HOST, LOST, NoteKind.ABSENT, 2.8)
    assert len(resets(node.tick(2.8 + UNCONFIRMED_RESET_DELAY_S))) == 1


def test_where_any_route_splits_all_agents_are_asked_before_a_reset():
    """The flow's own route may have split until a moment ago."""
    other = split((OLD, 1), (THIRD, 1), port=444)
    node = balancer(split((NEW, 1)), other)
    _, asked = search(node, [NEW_HOST])
    assert asked == [NEW_HOST, OLD_HOST, THIRD_HOST]


def test_without_splits_one_service_is_asked():
    node = balancer(split((NEW, 1)), split((OLD, 1), port=444))
    effects, asked = search(node, [NEW_HOST])
    assert asked == [NEW_HOST]
    assert (
        len(resets(effects + node.tick(2.01 + UNCONFIRMED_RESET_DELAY_S))) == 1
    )


@pytest.mark.parametrize(
    ("before", "after"),
    [
        (((OLD, 1),), ((NEW, 1),)),
        (((OLD, 1), (NEW, 1)), ((NEW, 1),)),
        (((OLD, 9), (THIRD, 1)), ((NEW, 1),)),
    ],
)
def test_a_former_service_is_asked_as_long_as_a_flow_may_live(before, after):
    node = balancer(split(*before), services=(OLD, NEW))
    change(node, split(*after))
    assert search(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]
    later = balancer(split(*before), services=(OLD, NEW))
    change(later, split(*after))
    assert search(later, [NEW_HOST], 1.1 + KEPT_S)[1] == [NEW_HOST]


def test_a_change_back_and_a_storm_are_remembered():
    node = balancer(split((NEW, 1)), services=(OLD, NEW))
    for version in range(2, 12):
        targets = ((OLD, 1),) if version % 2 else ((NEW, 1),)
        change(node, split(*targets), version=version, now=0.1 * version)
    change(node, split((NEW, 1)), version=12, now=1.3)
    assert search(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]


def test_a_balancer_that_has_just_started_hears_of_a_former_split():
    elder = balancer(split((OLD, 1), (NEW, 1)), services=(OLD, NEW))
    change(elder, split((NEW, 1)), now=-10.0)
    effects = elder.on_peer("10.0.9.9", ViewAsk(0, number=1), 1.0)
    [told] = [
        item.message
        for item in effects
        if isinstance(item, SendPeer) and isinstance(item.message, ViewTell)
    ]
    told = decode_message(encode_message(told))
    assert told.rerouted_for_ms == 11_000
    node = make_balancer("a", CODEC, "seed")
    node.on_peer("10.0.9.1", told, 1.001)
    assert search(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]


def test_pieces_of_a_view_that_is_known_tell_of_former_routes_too():
    """A balancer that had read the store itself passed them over."""
    node = balancer(split((NEW, 1)), services=(OLD, NEW))
    beside = {"placing_for_ms": 300_000, "rerouted_for_ms": 900}
    piece = ViewPiece(1, 0, 0.1, (), 0, 2, b"half", asked=1, **beside)
    node.on_peer("10.0.9.1", piece, 1.0)
    assert not node.sharer.pieces.incoming
    assert node.board.placing_since == -299.0
    assert search(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]


def test_an_older_word_does_not_shorten_what_is_remembered():
    node = balancer(split((OLD, 1)), services=(OLD, NEW))
    change(node, split((NEW, 1)), now=1.0)
    tell = ViewTell(ViewChange(2, 2), 0.1, (), rerouted_for_ms=59_900)
    node.on_peer("10.0.9.1", tell, 1.5)
    assert search(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]


def test_a_host_whose_server_runs_another_service_meanwhile_is_asked_again():
    node = balancer(split((OLD, 1), (NEW, 1)))
    search(node, [OLD_HOST])
    moved = entry(1, service=THIRD, server_id="s9", created=9)
    node.fleet.on_entry(moved, 5, 2.02)
    effects = tell_flow(node, NEW_HOST, LOST, NoteKind.ABSENT, 2.03)
    assert tags(effects)[OLD_HOST] == service_tag(THIRD)


def test_nothing_is_asked_once_a_search_under_two_tags_has_ended():
    """The question under the first tag was repeated for ever."""
    node = balancer(split((OLD, 1), (NEW, 1)))
    search(node)
    moved = entry(1, service=THIRD, server_id="s9", created=9)
    node.fleet.on_entry(moved, 5, 2.02)
    node.tick(2.2)
    other = split((OLD, 1), (THIRD, 1), port=444)
    change(node, split((OLD, 1), (NEW, 1), (THIRD, 1)), other, now=2.25)
    ended = node.board.searches[LOST.flow]
    node.finder._query(ended, {OLD_HOST: service_tag(THIRD)}, 2.3)
    node.finder._end(LOST.flow, ended)
    for tenths in range(24, 44):
        node.tick(tenths / 10)
    assert not node.finder.questions.lines


def test_a_service_that_is_removed_keeps_its_flows():
    node = balancer(split((OLD, 1), (NEW, 1)), services=(OLD, NEW))
    node.fleet.on_removed("s1", 5, 1.0)
    change(node, split((NEW, 1)))
    assert search(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]
    effects = tell_flow(node, OLD_HOST, LOST, NoteKind.PRESENT, 2.02)
    assert packets(effects)


def test_a_returned_packet_is_looked_for_at_the_other_services():
    node = balancer(split((OLD, 1), (NEW, 1)), services=(OLD, NEW))
    [(host, _)] = packets(node.on_caller(request(flags=SYN), 2.0))
    other = NEW_HOST if host == OLD_HOST else OLD_HOST
    tell(node, host, request(flags=SYN), NoteKind.TAKEN, 2.001)
    data = request(data=b"x")
    note = notes.to_balancer(NoteKind.RETURNED, notes.Load())
    effects = node.on_agent(host, crafting.with_note(data, note), 2.01)
    assert asked_agents(effects) == [other]


def test_a_flow_is_not_looked_for_at_the_service_that_took_its_address():
    """Without splits too: its own service is asked, not the new one."""
    node = balancer(split((OLD, 1)), services=(OLD,))
    node.fleet.on_entry(entry(4, service=OLD), 2, 0.0)
    [(host, _)] = packets(node.on_caller(request(flags=SYN), 2.0))
    tell(node, host, request(flags=SYN), NoteKind.TAKEN, 2.001)
    number = int(host.rsplit(".")[-1])
    taken = entry(number, service=THIRD, server_id="s9", created=9)
    node.fleet.on_entry(taken, 5, 2.01)
    note = notes.to_balancer(NoteKind.RETURNED, notes.Load())
    data = crafting.with_note(request(data=b"x"), note)
    [asked] = asked_agents(node.on_agent(host, data, 2.02))
    assert node.board.by_host[asked].entry.service == OLD


def test_wide_searches_beyond_the_bound_are_left_alone(monkeypatch):
    """Asking everybody about everything is worse than a caller's next copy."""
    monkeypatch.setattr(scope, "WIDE_QUERIES_MAX", 1)
    other = split((OLD, 1), (THIRD, 1), port=444)
    node = balancer(split((NEW, 1)), other)
    effects, asked = search(node, [NEW_HOST])
    assert asked == [NEW_HOST]
    assert not resets(effects + node.tick(2.01 + 2 * UNCONFIRMED_RESET_DELAY_S))
    assert LOST.flow not in node.board.searches


def test_a_search_that_has_ended_makes_room_for_the_next():
    other = split((OLD, 1), (THIRD, 1), port=444)
    node = balancer(split((NEW, 1)), other)
    search(node, [NEW_HOST])
    assert node.finder.scope.wide_queries == 2
    tell_flow(node, THIRD_HOST, LOST, NoteKind.PRESENT, 2.02)
    assert node.finder.scope.wide_queries == 0


def test_out_of_use_the_search_is_narrow():
    node = balancer(split((OLD, 0), (NEW, 1)))
    node.board.uses = node.board.uses.without(["splits"])
    assert search(node, [NEW_HOST])[1] == [NEW_HOST]
