"""A balancer searches for flows of routes that split now or did recently."""

import pytest
from msgspec.structs import replace

from notchhoist.flows.balancer import scope
from notchhoist.flows.balancer.finding import UNCONFIRMED_RESET_DELAY_S
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.balancer.sample_packets import SAMPLE_WAIT_MIN_S
from notchhoist.flows.codec.message_codec import decode_message, encode_message
from notchhoist.flows.decisions.completeness import CONTACT_S
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
from notchhoist.flows.published.reroutings import (
    REROUTE_KEPT_S,
    history_ms,
    reroute_age_ms,
)
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.agent_harness import agent
from notchhoist.flows.tests.balancer_harness import (
    answer_query,
    packets,
    queried_agents,
    report_sample_absent,
    resets,
    sample_packets,
    send_agent_note,
)
from notchhoist.flows.tests.crafting import CODEC, SYN, entry, request

OLD, NEW, THIRD = "hallbook", "scoredrop", "tidepool"
OLD_HOST, NEW_HOST, THIRD_HOST = "10.0.0.1", "10.0.0.2", "10.0.0.3"
HOST = "10.0.9.7"
"""Host of the balancer under test."""

LOST = request(data=b"x", seq=500, ack=900)


def split_route(*targets, port=crafting.SERVICE_PORT):
    return crafting.route(targets=targets, port=port)


def balancer(
    *routes, services=(OLD, NEW, THIRD), now=-100.0, first_start=False
):
    """A balancer with one server of each service, just read from the store."""
    node = make_balancer("a", CODEC, "seed", HOST, first_start=first_start)
    node.fleet.tables.on_table(crafting.table(routes=list(routes)), 1)
    entries = [
        (entry(n, service=service), 1) for n, service in enumerate(services, 1)
    ]
    node.fleet.on_listing(entries, 1, now)
    node.tick(now)
    return node


def change_routes(node, *routes, version=2, now=1.0):
    node.fleet.tables.on_table(crafting.table(version, list(routes)), version)
    node.on_published(now)


def search_lost_flow(node, deny=(), now=2.0):
    """Searches for a lost flow; the given hosts report it absent.

    Returns:
        The last effects, and the hosts that were queried.
    """
    effects = node.on_caller(LOST, now)
    asked = queried_agents(effects)
    for host in deny:
        effects = answer_query(node, host, LOST, NoteKind.ABSENT, now + 0.01)
        asked += queried_agents(effects)
    return effects, asked


def queried_tags(effects):
    return {
        effect.host: effect.message.tag
        for effect in effects
        if isinstance(effect, SendPeer) and isinstance(effect.message, FlowsAsk)
    }


def test_flow_older_than_a_weight_change_is_found():
    """A balancer that has just started knows only the current weights."""
    node = balancer(split_route((OLD, 0), (NEW, 1)))
    effects, asked = search_lost_flow(node, [NEW_HOST])
    assert asked == [NEW_HOST, OLD_HOST]
    assert queried_tags(effects) == {OLD_HOST: service_tag(OLD)}
    effects = answer_query(node, OLD_HOST, LOST, NoteKind.PRESENT, 2.02)
    [(host, segment)] = packets(effects)
    assert (host, notes.tag_of(segment)) == (OLD_HOST, service_tag(OLD))


def test_agent_accepts_the_packet_of_a_resumed_flow():
    node = balancer(split_route((OLD, 0), (NEW, 1)))
    search_lost_flow(node, [NEW_HOST])
    effects = answer_query(node, OLD_HOST, LOST, NoteKind.PRESENT, 2.02)
    [sent] = [item for item in effects if isinstance(item, SendAgent)]
    agent_node = agent(known=False)
    agent_node.on_balancer(
        "10.0.1.1", CODEC.decode_request(sent.datagram), 100.0
    )
    assert agent_node.board.records.counters["wrong_service"] == 0


def test_sample_to_an_agent_of_another_service_has_its_own_tag():
    node = balancer(split_route((OLD, 0), (NEW, 1)))
    search_lost_flow(node, [NEW_HOST])
    effects = answer_query(node, OLD_HOST, LOST, NoteKind.UNSURE, 2.02)
    [(host, segment)] = sample_packets(effects)
    assert (host, notes.tag_of(segment)) == (OLD_HOST, service_tag(OLD))
    assert queried_tags(effects)[OLD_HOST] == service_tag(OLD)
    assert not resets(report_sample_absent(node, OLD_HOST, segment, 2.03))


def test_flow_is_reset_only_if_absent_at_every_service():
    node = balancer(split_route((OLD, 1), (NEW, 1)), services=(OLD, NEW))
    search_lost_flow(node, [OLD_HOST])
    assert not resets(node.tick(2.01 + UNCONFIRMED_RESET_DELAY_S))
    answer_query(node, NEW_HOST, LOST, NoteKind.ABSENT, 2.8)
    assert len(resets(node.tick(2.8 + UNCONFIRMED_RESET_DELAY_S))) == 1


def test_all_agents_are_queried_before_a_reset_while_any_route_splits():
    """The flow's own route may have split until recently."""
    other = split_route((OLD, 1), (THIRD, 1), port=444)
    node = balancer(split_route((NEW, 1)), other)
    _, asked = search_lost_flow(node, [NEW_HOST])
    assert asked == [NEW_HOST, OLD_HOST, THIRD_HOST]


def test_without_split_routes_one_service_is_queried():
    node = balancer(split_route((NEW, 1)), split_route((OLD, 1), port=444))
    effects, asked = search_lost_flow(node, [NEW_HOST])
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
def test_former_service_is_queried_within_the_flow_lifetime(before, after):
    node = balancer(split_route(*before), services=(OLD, NEW))
    change_routes(node, split_route(*after))
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]
    later = balancer(split_route(*before), services=(OLD, NEW))
    change_routes(later, split_route(*after))
    assert search_lost_flow(later, [NEW_HOST], 1.1 + REROUTE_KEPT_S)[1] == [
        NEW_HOST
    ]


def test_many_route_changes_and_a_reversal_are_remembered():
    node = balancer(split_route((NEW, 1)), services=(OLD, NEW))
    for version in range(2, 12):
        targets = ((OLD, 1),) if version % 2 else ((NEW, 1),)
        change_routes(
            node, split_route(*targets), version=version, now=0.1 * version
        )
    change_routes(node, split_route((NEW, 1)), version=12, now=1.3)
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]


def test_started_balancer_learns_of_a_former_split():
    older = balancer(split_route((OLD, 1), (NEW, 1)), services=(OLD, NEW))
    change_routes(older, split_route((NEW, 1)), now=-10.0)
    effects = older.on_peer("10.0.9.9", ViewAsk(0, number=1), 1.0)
    [update] = [
        item.message
        for item in effects
        if isinstance(item, SendPeer) and isinstance(item.message, ViewTell)
    ]
    update = decode_message(encode_message(update))
    assert update.rerouted_for_ms == 11_000
    node = make_balancer("a", CODEC, "seed", HOST)
    node.on_peer("10.0.9.1", update, 1.001)
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]


def report_of(node, now, host="10.0.9.9"):
    """Returns what a balancer reports to another one, sent over the wire."""
    effects = node.on_peer(host, ViewAsk(0, number=1), now)
    [update] = [
        item.message
        for item in effects
        if isinstance(item, SendPeer) and isinstance(item.message, ViewTell)
    ]
    return decode_message(encode_message(update))


def test_started_balancer_searches_services_that_routes_no_longer_name():
    """Guards against resets after a change of a route and a restart of all.

    Flows stay at the former service, and no balancer is left that knows it.
    """
    node = balancer(split_route((NEW, 1)), services=(OLD, NEW), now=0.0)
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]
    effects = answer_query(node, OLD_HOST, LOST, NoteKind.PRESENT, 2.02)
    assert [host for host, _ in packets(effects)] == [OLD_HOST]


def test_first_start_of_the_system_has_no_former_services():
    node = balancer(
        split_route((NEW, 1)), services=(OLD, NEW), now=0.0, first_start=True
    )
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST]


def test_started_balancer_learns_that_no_route_has_changed():
    older = balancer(split_route((NEW, 1)), services=(OLD, NEW))
    report = report_of(older, now=1.0)
    assert report.reroutes_known_for_ms == REROUTE_KEPT_S * 1000
    node = balancer(split_route((NEW, 1)), services=(OLD, NEW), now=0.5)
    node.on_peer("10.0.9.1", report, 1.001)
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST]


def test_balancers_that_all_started_lately_do_not_reassure_each_other():
    """Reports may wait at a saturated link for longer than they are apart."""
    nodes = [
        balancer(split_route((NEW, 1)), services=(OLD, NEW), now=now)
        for now in (0.0, 0.2)
    ]
    for tenths in range(10, 300):
        now = tenths / 10
        reports = [report_of(node, now) for node in nodes]
        for node, report in zip(nodes, reversed(reports), strict=True):
            node.synchronizer.query_sent_at[1] = now - 1.0
            node.on_peer("10.0.9.1", report, now)
    for node in nodes:
        assert history_ms(node.board, 30.0) <= 30_000
        asked = search_lost_flow(node, [NEW_HOST], 30.0)[1]
        assert asked == [NEW_HOST, OLD_HOST]


def test_report_of_a_balancer_with_an_older_configuration_is_no_history():
    """The configuration that it lacks may have changed a route."""
    behind = balancer(split_route((OLD, 1)), services=(OLD, NEW))
    report = report_of(behind, now=1.0)
    node = make_balancer("a", CODEC, "seed", HOST)
    table = crafting.table(7, [split_route((NEW, 1))])
    node.fleet.tables.on_table(table, 7)
    node.fleet.on_listing(
        [(entry(1, service=OLD), 1), (entry(2, service=NEW), 1)], 7, 0.5
    )
    node.tick(0.5)
    node.on_peer("10.0.9.1", report, 1.001)
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]


def test_report_of_an_earlier_version_is_no_history():
    older = balancer(split_route((NEW, 1)), services=(OLD, NEW))
    report = replace(report_of(older, now=1.0), reroutes_known_for_ms=0)
    node = balancer(split_route((NEW, 1)), services=(OLD, NEW), now=0.5)
    node.on_peer("10.0.9.1", report, 1.001)
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]


def test_reroute_that_is_not_dated_yet_is_not_reported_as_known():
    """Changes are pushed to others before they are dated."""
    node = balancer(split_route((OLD, 1)), services=(OLD, NEW))
    table = crafting.table(2, [split_route((NEW, 1))])
    node.fleet.tables.on_table(table, 2)
    assert history_ms(node.board, 1.0) == 0
    node.on_published(1.0)
    assert history_ms(node.board, 1.0) == REROUTE_KEPT_S * 1000
    assert reroute_age_ms(node.board, 1.5) == 500


def test_change_and_reversal_in_one_answer_of_the_store_are_remembered():
    """Others may have placed flows by the configuration in between."""
    node = balancer(split_route((NEW, 1)), services=(OLD, NEW))
    for version, service in ((2, OLD), (3, NEW)):
        table = crafting.table(version, [split_route((service, 1))])
        node.fleet.tables.on_table(table, version)
    node.on_published(1.0)
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]


def restarted_balancer(
    old_server, new_server, started_at=float("-inf"), routes_at=5
):
    """A balancer that knows nothing of former routes, with chosen entries."""
    former = entry(1, service=OLD, **old_server)
    named = entry(2, service=NEW, **new_server)
    return list_servers([former, named], started_at, routes_at)


def list_servers(entries, started_at=float("-inf"), routes_at=5):
    """A balancer that has just listed some servers and one route, to NEW."""
    node = make_balancer("a", CODEC, "seed", HOST, started_at=started_at)
    table = crafting.table(1, [split_route((NEW, 1))])
    node.fleet.tables.on_table(table, routes_at)
    node.fleet.on_listing([(item, 9) for item in entries], 9, 1.0)
    node.tick(1.0)
    return node


COLD_SINCE_ROUTES = {"warm_in_s": 2.0, "created": 8}


def test_services_that_are_newer_than_the_routes_are_not_searched():
    """After a loss of power dead flows are looked for where they may be."""
    node = restarted_balancer(COLD_SINCE_ROUTES, COLD_SINCE_ROUTES)
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST]


@pytest.mark.parametrize(
    "server",
    [
        {"warm_in_s": 2.0, "created": 4},
        {"warm_in_s": 0.0, "created": 8},
        {"warm_in_s": 0.0, "created": 4},
    ],
)
def test_service_with_a_server_that_may_be_older_than_the_routes(server):
    """An entry that lapsed in an outage is created anew, its server is not."""
    node = restarted_balancer(server, COLD_SINCE_ROUTES)
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]


def former_service_balancer(*servers):
    """A restarted balancer with some servers of a service that may be former.

    Args:
        servers: Fields of the entries of its servers.
    """
    named = entry(2, service=NEW, **COLD_SINCE_ROUTES)
    former = [
        entry(number, service=OLD, **fields)
        for number, fields in enumerate(servers, 3)
    ]
    return list_servers([named, *former])


LEFT_OVER = {"warm_in_s": 0.0, "created": 4}


def test_only_servers_that_may_be_older_than_the_routes_are_searched():
    """Guards against searches that wait for any agent of a former service."""
    node = former_service_balancer(LEFT_OVER, COLD_SINCE_ROUTES)
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST, "10.0.0.3"]


def test_servers_that_have_left_are_not_waited_for():
    """Guards against callers that wait longer while servers are replaced.

    The agent of a server that has left is silent for seconds.
    """
    node = former_service_balancer(LEFT_OVER, COLD_SINCE_ROUTES)
    node.fleet.on_removed("s3", 10, 1.5)
    assert search_lost_flow(node, [NEW_HOST], 4.0)[1] == [NEW_HOST]
    node.finder.on_view_confirmed(4.1)
    assert resets(node.take_effects())


def test_server_that_leaves_during_a_search_is_not_waited_for():
    node = former_service_balancer(LEFT_OVER, COLD_SINCE_ROUTES)
    assert search_lost_flow(node, [NEW_HOST], 4.0)[1] == [NEW_HOST, "10.0.0.3"]
    node.fleet.on_removed("s3", 10, 4.05)
    node.tick(4.2)
    node.finder.on_view_confirmed(4.3)
    assert resets(node.take_effects())


def test_servers_that_were_removed_in_an_outage_are_searched():
    node = former_service_balancer(LEFT_OVER, COLD_SINCE_ROUTES)
    node.fleet.on_removed("s3", 10, 1.5)
    node.board.store_failed_at = 1.9
    assert search_lost_flow(node, [NEW_HOST], 4.0)[1] == [NEW_HOST, "10.0.0.3"]


def test_unknown_reroute_needs_a_complete_list_of_former_services():
    node = former_service_balancer(LEFT_OVER)
    answer_all = (NEW_HOST, "10.0.0.3")
    assert search_lost_flow(node, answer_all, 2.0)[1] == list(answer_all)
    node.finder.on_view_confirmed(2.1)
    assert not resets(node.take_effects())


def test_known_reroute_is_searched_at_newer_services_too():
    node = restarted_balancer(COLD_SINCE_ROUTES, COLD_SINCE_ROUTES)
    change_routes(node, split_route((OLD, 1)), version=2, now=1.1)
    change_routes(node, split_route((NEW, 1)), version=3, now=1.2)
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]


def test_wide_search_for_unknown_reroutes_waits_for_the_named_services():
    """Slow answers of many agents would double the load after a restart."""
    left_over = {"warm_in_s": 0.0, "created": 4}
    node = restarted_balancer(left_over, left_over)
    search_lost_flow(node)
    later = [node.tick(2.0 + tenths / 10) for tenths in range(1, 10)]
    asked = {host for effects in later for host in queried_agents(effects)}
    assert asked <= {NEW_HOST}
    effects = answer_query(node, NEW_HOST, LOST, NoteKind.ABSENT, 3.0)
    assert queried_agents(effects) == [OLD_HOST]


def test_silent_sample_is_not_followed_by_a_wide_search():
    """A server does not return the sample of a flow that it has."""
    left_over = {"warm_in_s": 0.0, "created": 4}
    node = restarted_balancer(left_over, left_over)
    search_lost_flow(node)
    effects = answer_query(node, NEW_HOST, LOST, NoteKind.UNSURE, 2.01)
    assert sample_packets(effects)
    effects = node.tick(2.02 + SAMPLE_WAIT_MIN_S)
    assert not queried_agents(effects)
    assert not resets(effects)
    assert LOST.flow not in node.board.searches


def test_loss_of_power_is_presumed_only_while_nothing_is_promised():
    left_over = {"warm_in_s": 0.0, "created": 4}
    node = restarted_balancer(left_over, COLD_SINCE_ROUTES, started_at=1.0)
    assert search_lost_flow(node, [NEW_HOST], 1.5)[1] == [NEW_HOST]
    later = 1.0 + CONTACT_S
    node = restarted_balancer(left_over, COLD_SINCE_ROUTES, started_at=1.0)
    assert search_lost_flow(node, [NEW_HOST], later)[1] == [NEW_HOST, OLD_HOST]
    node = restarted_balancer(left_over, COLD_SINCE_ROUTES, started_at=1.0)
    node.board.uses = node.board.uses.without(["anew"])
    assert search_lost_flow(node, [NEW_HOST], 1.5)[1] == [NEW_HOST, OLD_HOST]
    warm = restarted_balancer(left_over, left_over, started_at=1.0)
    assert search_lost_flow(warm, [NEW_HOST], 1.5)[1] == [NEW_HOST, OLD_HOST]


def test_unknown_history_ends_with_the_flow_lifetime():
    node = balancer(split_route((NEW, 1)), services=(OLD, NEW), now=0.0)
    later = 0.1 + REROUTE_KEPT_S
    assert search_lost_flow(node, [NEW_HOST], later)[1] == [NEW_HOST]


def test_pieces_of_a_known_view_still_report_former_routes():
    """Guards against ignoring them in a balancer that reads the store."""
    node = balancer(split_route((NEW, 1)), services=(OLD, NEW))
    ages = {"placing_for_ms": 300_000, "rerouted_for_ms": 900}
    piece = ViewPiece(1, 0, 0.1, (), 0, 2, b"half", asked=1, **ages)
    node.on_peer("10.0.9.1", piece, 1.0)
    assert not node.synchronizer.pieces.incoming
    assert node.board.first_placement_at == -299.0
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]


def test_older_report_does_not_shorten_the_memory_of_a_change():
    node = balancer(split_route((OLD, 1)), services=(OLD, NEW))
    change_routes(node, split_route((NEW, 1)), now=1.0)
    tell = ViewTell(ViewChange(2, 2), 0.1, (), rerouted_for_ms=59_900)
    node.on_peer("10.0.9.1", tell, 1.5)
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]


def test_host_is_queried_again_when_its_service_changes():
    node = balancer(split_route((OLD, 1), (NEW, 1)))
    search_lost_flow(node, [OLD_HOST])
    moved = entry(1, service=THIRD, server_id="s9", created=9)
    node.fleet.on_entry(moved, 5, 2.02)
    effects = answer_query(node, NEW_HOST, LOST, NoteKind.ABSENT, 2.03)
    assert queried_tags(effects)[OLD_HOST] == service_tag(THIRD)


def test_no_query_remains_after_a_search_under_two_tags():
    """Guards against endless retries of the query under the first tag."""
    node = balancer(split_route((OLD, 1), (NEW, 1)))
    search_lost_flow(node)
    moved = entry(1, service=THIRD, server_id="s9", created=9)
    node.fleet.on_entry(moved, 5, 2.02)
    node.tick(2.2)
    other = split_route((OLD, 1), (THIRD, 1), port=444)
    change_routes(
        node, split_route((OLD, 1), (NEW, 1), (THIRD, 1)), other, now=2.25
    )
    ended = node.board.searches[LOST.flow]
    node.finder._query(ended, {OLD_HOST: service_tag(THIRD)}, 2.3)
    node.finder._end(LOST.flow, ended)
    for tenths in range(24, 44):
        node.tick(tenths / 10)
    assert not node.finder.queries.queues


def test_flow_of_a_removed_service_is_found():
    node = balancer(split_route((OLD, 1), (NEW, 1)), services=(OLD, NEW))
    node.fleet.on_removed("s1", 5, 1.0)
    change_routes(node, split_route((NEW, 1)))
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST, OLD_HOST]
    effects = answer_query(node, OLD_HOST, LOST, NoteKind.PRESENT, 2.02)
    assert packets(effects)


def test_flow_of_a_returned_packet_is_searched_at_other_services():
    node = balancer(split_route((OLD, 1), (NEW, 1)), services=(OLD, NEW))
    [(host, _)] = packets(node.on_caller(request(flags=SYN), 2.0))
    other = NEW_HOST if host == OLD_HOST else OLD_HOST
    send_agent_note(node, host, request(flags=SYN), NoteKind.ACCEPTED, 2.001)
    data = request(data=b"x")
    note = notes.to_balancer(NoteKind.RETURNED, notes.Load())
    effects = node.on_agent(host, crafting.with_note(data, note), 2.01)
    assert queried_agents(effects) == [other]


def test_search_ignores_the_service_that_took_over_the_address():
    """The flow's own service is queried, also without split routes."""
    node = balancer(split_route((OLD, 1)), services=(OLD,))
    node.fleet.on_entry(entry(4, service=OLD), 2, 0.0)
    [(host, _)] = packets(node.on_caller(request(flags=SYN), 2.0))
    send_agent_note(node, host, request(flags=SYN), NoteKind.ACCEPTED, 2.001)
    number = int(host.rsplit(".")[-1])
    taken = entry(number, service=THIRD, server_id="s9", created=9)
    node.fleet.on_entry(taken, 5, 2.01)
    note = notes.to_balancer(NoteKind.RETURNED, notes.Load())
    data = crafting.with_note(request(data=b"x"), note)
    [asked] = queried_agents(node.on_agent(host, data, 2.02))
    assert node.board.by_host[asked].entry.service == OLD


def test_wide_search_beyond_the_limit_is_given_up_without_reset(monkeypatch):
    """Querying all agents about all flows is worse than a retransmission."""
    monkeypatch.setattr(scope, "WIDE_QUERIES_MAX", 1)
    other = split_route((OLD, 1), (THIRD, 1), port=444)
    node = balancer(split_route((NEW, 1)), other)
    effects, asked = search_lost_flow(node, [NEW_HOST])
    assert asked == [NEW_HOST]
    assert not resets(effects + node.tick(2.01 + 2 * UNCONFIRMED_RESET_DELAY_S))
    assert LOST.flow not in node.board.searches


def test_ended_search_releases_its_query_budget():
    other = split_route((OLD, 1), (THIRD, 1), port=444)
    node = balancer(split_route((NEW, 1)), other)
    search_lost_flow(node, [NEW_HOST])
    assert node.finder.scope.wide_queries == 2
    answer_query(node, THIRD_HOST, LOST, NoteKind.PRESENT, 2.02)
    assert node.finder.scope.wide_queries == 0


def test_disabled_mechanism_keeps_the_search_narrow():
    node = balancer(split_route((OLD, 0), (NEW, 1)))
    node.board.uses = node.board.uses.without(["splits"])
    assert search_lost_flow(node, [NEW_HOST])[1] == [NEW_HOST]
