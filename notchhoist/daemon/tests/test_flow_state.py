"""Tests of the state dump: zones, servers, utilization, splits, distances."""

import json

import pytest

from notchhoist.daemon.flow_metrics import metrics_text
from notchhoist.daemon.flow_state import answer_state
from notchhoist.flows.agent.node import make_agent
from notchhoist.flows.agent.opening_gate import OpeningLimits
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model.fleet import ColdBound, RouteTable
from notchhoist.flows.model.messages import LoadAsk, ServerState
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.agent_harness import send
from notchhoist.flows.tests.balancer_harness import open_flow
from notchhoist.flows.tests.crafting import CODEC, SYN, entry, request
from notchhoist.links.scheduler import make_scheduler


def dump(node, section, now):
    reply = answer_state(node, "h", "a", f"/dump/{section}", now)
    return json.loads(reply.body)["entries"]


def test_a_balancer_shows_zones_and_cold_bounds():
    node = make_balancer("a", CODEC, "seed", "10.0.1.1")
    bound = ColdBound(crafting.SERVICE, 6.0, 2.0)
    routes = crafting.table().routes
    node.fleet.tables.on_table(
        RouteTable(1, routes, 15.0, cold_bounds=(bound,)), 1
    )
    listed = [
        (entry(1, zone="a", born_ms=7), 1),
        (entry(2, zone="b", warm_in_s=2.0), 1),
    ]
    node.fleet.on_listing(listed, 1, 0.0)
    node.fleet.zones.on_evacuated("a", 5, 0.5)
    [zone] = dump(node, "zones", 1.5)
    assert zone == {
        "zone": "a",
        "evacuated": True,
        "evacuated_s": 1.0,
        "returned_s": None,
        "revision": 5,
    }
    first, second = dump(node, "servers", 1.5)
    assert (first["evacuated"], first["takes_new_flows"]) == (True, False)
    assert (first["born_ms"], first["bears_per_s"]) == (7, None)
    assert (second["bears_per_s"], second["cold_for_s"]) == (6.0, 0.5)
    assert second["takes_new_flows"] is True


def test_an_agent_shows_reported_state_and_use_of_its_cold_bound():
    node = make_agent(
        crafting.SERVICE, CODEC, 0.0, limits=OpeningLimits(5.0, 1.5, 5)
    )
    state = ServerState(9, 7, cold_for_s=2.0, bound_per_s=6.0)
    node.on_peer("10.0.1.1", LoadAsk(2, state), 100.0)
    send(node, request(flags=SYN, port=1), NoteKind.PLACE, 100.5)
    [row] = dump(node, "backend", 101.0)
    assert (row["state_revision"], row["born_ms"]) == (9, 7)
    assert (row["cold_s"], row["bound_per_s"], row["bound_used"]) == (1.0, 6, 1)
    assert row["evacuated_s"] is None


def test_a_balancer_shows_the_utilization_of_a_service():
    node = make_balancer("a", CODEC, "seed", "10.0.1.1")
    node.fleet.tables.on_table(crafting.table(), 1)
    listed = [(entry(1), 1), (entry(2), 1), (entry(3, draining=True), 1)]
    node.fleet.on_listing(listed, 1, 0.0)
    node.on_caller(request(flags=SYN, port=1), 1.0)
    for _ in range(10):
        node.board.busy_shares.record(crafting.SERVICE, busy=True)
    [row] = dump(node, "pressure", 1.0)
    assert (row["servers"], row["takes_new_flows"], row["slots"]) == (3, 2, 6)
    assert (row["running"], row["openings"], row["attempts"]) == (1, 1, 6)
    assert 0.1 < row["found_busy"] < 0.3
    assert row["load_age_s"] is None


def test_a_balancer_shows_splits_and_flows_placed_before_a_change():
    node = make_balancer("a", CODEC, "seed", "10.0.1.1")
    split_route = crafting.route(targets=(("hallbook", 1), ("scoredrop", 1)))
    node.fleet.tables.on_table(crafting.table(routes=[split_route]), 1)
    listed = [(entry(1), 1), (entry(2, service="scoredrop"), 1)]
    node.fleet.on_listing(listed, 1, 0.0)
    node.on_published(0.0)
    for port in range(1, 41):
        open_flow(node, port=port)
    before = {row["service"]: row for row in dump(node, "splits", 1.0)}
    assert before["hallbook"]["share"] == 0.5
    assert sum(row["placed"] for row in before.values()) == 40
    assert all(0.2 < row["share_placed"] < 0.8 for row in before.values())
    assert not any(row["outlived"] for row in before.values())
    node.fleet.tables.on_table(crafting.table(2, [crafting.route()]), 2)
    node.on_published(1.0)
    first, second = dump(node, "splits", 2.0)
    assert (first["share"], second["share"]) == (1.0, 0.0)
    assert (first["outlived"], second["outlived"]) == (
        0,
        before["scoredrop"]["flows"],
    )


def test_a_balancer_shows_round_trip_times_to_zones():
    node = make_balancer("a", CODEC, "seed", "10.0.1.1")
    node.fleet.tables.on_table(crafting.table(), 1)
    node.fleet.on_listing([(entry(1), 1), (entry(2, "b"), 1)], 1, 0.0)
    local, remote = node.board.servers.values()
    local.service_time_ms = remote.service_time_ms = 15
    for number in range(8):
        node.health.distances.add_sample(local, 0.0, 0.0004)
        if number == 0:
            node.health.distances.add_sample(remote, 0.0, 0.01)
    local_zone, remote_zone = dump(node, "distances", 1.0)
    assert (
        local_zone["zone"],
        local_zone["round_trip_ms"],
        local_zone["long_for"],
    ) == (
        "a",
        0.4,
        "",
    )
    assert (remote_zone["round_trip_ms"], remote_zone["answers"]) == (None, 1)
    for _ in range(8):
        node.health.distances.add_sample(remote, 0.0, 0.01)
    _, remote_zone = dump(node, "distances", 1.01)
    assert (remote_zone["round_trip_ms"], remote_zone["beyond_own_ms"]) == (
        10.0,
        9.6,
    )
    assert (remote_zone["measured_s"], remote_zone["long_for"]) == (
        1.0,
        crafting.SERVICE,
    )
    text = metrics_text(node, True, 1.0, make_scheduler(0.0))
    assert 'notchhoist_round_trip_seconds{zone="b"} 0.01' in text


@pytest.mark.parametrize("number", ["9" * 20, "9" * 5000, "\u0663", "-1", ""])
def test_an_offset_or_limit_out_of_range_is_refused(number):
    """``islice`` raised ValueError for offsets that exceed its range."""
    node = make_balancer("a", CODEC, "seed", "10.0.1.1")
    for name in ("offset", "limit"):
        target = f"/dump/servers?{name}={number}"
        assert answer_state(node, "h", "a", target, 0.0).status == 400
