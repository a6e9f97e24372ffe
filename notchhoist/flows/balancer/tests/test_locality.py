"""New flows go to local servers first where zones are far apart."""

import pytest

from notchhoist.flows.balancer.distances import MIN_SAMPLES
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model import notes
from notchhoist.flows.model.fleet import RequestKind
from notchhoist.flows.model.mechanisms import ALL
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.balancer_harness import packets, resets
from notchhoist.flows.tests.crafting import SYN, entry, request, with_note

ZONES = {"a": 4, "b": 4, "c": 4}
ONCE = RequestKind.ONCE_ONLY


def balancer(far_s=0.0098, pace_ms=15, kind=ONCE, zones=ZONES, uses=ALL):
    """Creates a balancer in zone a that has measured its distances."""
    node = make_balancer("a", crafting.CODEC, "seed", uses=uses)
    node.fleet.tables.on_table(crafting.table(routes=[crafting.route(kind)]), 1)
    names = [zone for zone, count in zones.items() for _ in range(count)]
    entries = [
        (entry(number, zone, slots=1), 1)
        for number, zone in enumerate(names, 1)
    ]
    node.fleet.on_listing(entries, 1, 0.0)
    for server in node.board.servers.values():
        server.service_time_ms = pace_ms
        server.heard_at = 0.0
        trip_s = 0.0004 if server.entry.zone == "a" else far_s
        for _ in range(MIN_SAMPLES):
            node.health.distances.add_sample(server, 0.0, trip_s)
    return node


def zone_of(node, host):
    return node.board.by_host[host].entry.zone


def answer(node, syn, host, kind, running, now):
    pace_ms = node.board.by_host[host].service_time_ms
    reply_note = notes.to_balancer(kind, Load(running, running, pace_ms))
    return node.on_agent(host, with_note(syn, reply_note), now)


def offer_until_accepted(node, running=1, port=40001, is_busy=lambda _: True):
    """Opens a flow; returns the zones of its offers and the last one's kind."""
    syn = request(flags=SYN, port=port)
    effects = node.on_caller(syn, 1.0)
    zones = []
    while True:
        [(host, sent)] = packets(effects)
        zones.append(zone_of(node, host))
        kind = notes.kind_of(sent.note)
        if kind is not NoteKind.PLACE_IF_FREE or not is_busy(host):
            answer(node, syn, host, NoteKind.ACCEPTED, running, 1.1)
            return zones, kind
        effects = answer(node, syn, host, NoteKind.BUSY, running, 1.001)


def test_local_servers_get_the_first_offers():
    zones, kind = offer_until_accepted(balancer(), running=9)
    assert zones[:4] == ["a"] * 4
    assert set(zones[4:6]) <= {"b", "c"}
    assert kind is NoteKind.PLACE


def test_a_short_local_queue_beats_a_remote_server():
    assert offer_until_accepted(balancer(), running=1) == (
        ["a"] * 5,
        NoteKind.PLACE,
    )


def test_a_remote_server_beats_a_long_local_queue():
    node = balancer()
    zones, kind = offer_until_accepted(
        node, running=3, is_busy=lambda host: zone_of(node, host) == "a"
    )
    assert len(zones) == 5
    assert zones[-1] != "a"
    assert kind is NoteKind.PLACE_IF_FREE


def test_a_flow_of_many_requests_accepts_a_longer_local_queue():
    node = balancer(kind=RequestKind.IDEMPOTENT)
    for server in node.board.servers.values():
        server.flows = 10
    assert offer_until_accepted(node, running=4)[0] == ["a"] * 5


def test_flows_do_not_queue_at_failing_local_servers():
    """Failing servers hand flows back although nothing runs there."""
    zones, _ = offer_until_accepted(balancer(), running=0)
    assert set(zones[:6]) > {"a"}


def test_slow_local_servers_do_not_get_the_first_offers():
    node = balancer()
    for server in node.board.servers.values():
        if server.entry.zone == "a" and server.entry.host != "10.0.0.1":
            server.service_time_ms = 90
    zones, _ = offer_until_accepted(
        node, is_busy=lambda host: host == "10.0.0.1"
    )
    assert zones[0] == "a"
    assert zones[1] != "a"


def test_reported_loads_decide_if_hardly_any_slot_is_free():
    """An overloaded zone must be able to pass flows on."""
    node = balancer()
    for _ in range(300):
        node.board.busy_shares.record(crafting.SERVICE, busy=True)
    for server in node.board.servers.values():
        server.running = 12 if server.entry.zone == "a" else 1
    assert offer_until_accepted(node)[0][0] != "a"


def test_outcomes_of_offers_give_the_utilization_of_a_service():
    """Servers report their load mostly just after they got a request."""
    node = balancer()
    servers = list(node.board.servers.values())
    for server in servers:
        server.running = 1
    before = node.opener.chooser.locality.costs(servers)["b"].flows
    for number in range(20):
        node.board.busy_shares.record(crafting.SERVICE, busy=number % 5 == 0)
    assert node.opener.chooser.locality.costs(servers)["b"].flows > before


def test_remote_servers_get_offers_if_no_server_is_local():
    zones, _ = offer_until_accepted(balancer(zones={"b": 4, "c": 4}))
    assert set(zones) <= {"b", "c"}


@pytest.mark.parametrize("kind", [ONCE, RequestKind.IDEMPOTENT])
def test_short_distances_change_no_decision(kind):
    """Each flow is offered to the same servers in the same order."""
    outcomes = []
    for uses in (ALL, ALL.without(["distances"])):
        node = balancer(far_s=0.0034, pace_ms=50, kind=kind, uses=uses)
        outcomes.append(
            [
                offer_until_accepted(
                    node, 1 + port % 3, port, lambda host: host > "10.0.0.3"
                )
                for port in range(40001, 40201)
            ]
        )
    assert outcomes[0] == outcomes[1]


def test_unknown_distances_change_no_decision():
    outcomes = []
    for uses in (ALL, ALL.without(["distances"])):
        node = balancer(uses=uses)
        node.health.distances.by_zone.clear()
        outcomes.append(
            [offer_until_accepted(node, 1, port) for port in (40001, 40002)]
        )
    assert outcomes[0] == outcomes[1]


def test_a_flow_is_offered_elsewhere_if_answers_are_lost():
    """In a one-way partition offers arrive but their answers do not."""
    node = balancer()
    syn = request(flags=SYN)
    [(first, _)] = packets(node.on_caller(syn, 1.0))
    assert not packets(node.tick(1.059))
    [(second, _)] = packets(node.tick(1.061))
    assert second != first
    assert zone_of(node, second) == "a"


def test_the_answer_timeout_grows_with_the_distance():
    node = balancer(far_s=0.08, zones={"a": 1, "b": 4})
    syn = request(flags=SYN)
    [(near, _)] = packets(node.on_caller(syn, 1.0))
    [(far, _)] = packets(answer(node, syn, near, NoteKind.BUSY, 50, 1.001))
    assert zone_of(node, far) == "b"
    assert not packets(node.tick(1.07))
    answer(node, syn, far, NoteKind.ACCEPTED, 1, 1.081)
    assert not resets(node.tick(1.3))
    assert node.board.flows[syn.flow].accepted
