"""Weights apply among the services that have a live server."""

import pytest

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.balancer.targeting import service_for
from notchhoist.flows.decisions.server_selection import UNLISTED_USE_MAX_S
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.balancer_harness import packets, resets
from notchhoist.flows.tests.crafting import SYN, entry, request

FIRST, SECOND, THIRD = "hallbook", "scoredrop", "tidepool"
FLOWS = [number.to_bytes(12, "big") for number in range(400)]
NOW = 1.0


def balancer(targets, servers):
    node = make_balancer("a", crafting.CODEC, "seed")
    route = crafting.route(targets=targets)
    node.fleet.tables.on_table(crafting.table(routes=[route]), 1)
    node.fleet.on_listing([(item, 1) for item in servers], 1, 0.0)
    return node, route


def chosen_services(node, route, now=NOW):
    return [service_for(node.board, route, flow, now) for flow in FLOWS]


def servers(*services):
    return [entry(n, service=name) for n, name in enumerate(services, 1)]


HALVES = ((FIRST, 1), (SECOND, 1))


def test_the_share_of_a_service_without_servers_goes_to_the_others():
    targets = ((FIRST, 2), (SECOND, 1), (THIRD, 1))
    before = chosen_services(*balancer(targets, servers(FIRST, SECOND, THIRD)))
    after = chosen_services(*balancer(targets, servers(FIRST, SECOND)))
    assert THIRD in before
    assert THIRD not in after
    kept = [old == new for old, new in zip(before, after, strict=True)]
    assert all(
        same or old == THIRD for same, old in zip(kept, before, strict=True)
    )


@pytest.mark.parametrize("gone", ["draining", "evacuated", "lost", "lapsed"])
def test_servers_that_take_no_new_flows_do_not_count(gone):
    node, route = balancer(HALVES, [entry(1), entry(2, "b", service=SECOND)])
    if gone == "draining":
        left = entry(2, "b", service=SECOND, draining=True)
        node.fleet.on_entry(left, 2, NOW)
    elif gone == "evacuated":
        node.fleet.zones.on_evacuated("b", 2, NOW)
    elif gone == "lost":
        node.board.servers["s2"].lost = True
    else:
        node.fleet.on_removed("s2", 2, NOW)
        assert SECOND in chosen_services(
            node, route, NOW + UNLISTED_USE_MAX_S / 2
        )
    assert set(chosen_services(node, route, NOW + UNLISTED_USE_MAX_S)) == {
        FIRST
    }


def test_overload_does_not_change_the_shares():
    node, route = balancer(HALVES, servers(FIRST, SECOND))
    before = chosen_services(node, route)
    full = node.board.servers["s2"]
    full.running, full.at_cold_bound_until, full.suspected = 500, NOW + 9, True
    assert chosen_services(node, route) == before


def test_weight_0_gets_no_flow_even_if_no_other_service_has_servers():
    node, route = balancer(((FIRST, 1), (SECOND, 0)), servers(SECOND, SECOND))
    assert set(chosen_services(node, route)) == {FIRST}
    assert resets(node.on_caller(request(flags=SYN), NOW))


def test_an_unknown_service_of_a_split_is_skipped():
    node, _ = balancer(((FIRST, 1), ("nobody", 99)), servers(FIRST))
    assert packets(node.on_caller(request(flags=SYN), NOW))


def test_a_single_target_is_never_replaced():
    node, route = balancer(((SECOND, 1),), servers(FIRST))
    assert chosen_services(node, route)[0] == SECOND
