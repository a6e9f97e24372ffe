"""Round-trip times are measured with messages that are sent anyway."""

import pytest

from notchhoist.flows.balancer.distances import (
    DEFAULT_ROUND_TRIP_S,
    ESTIMATE_KEPT_S,
    MAX_ROUND_TRIP_S,
    MIN_SAMPLES,
    WINDOW_S,
    make_distances,
)
from notchhoist.flows.model import notes
from notchhoist.flows.model.fleet import Server
from notchhoist.flows.model.messages import FlowsTell, LoadTell
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.tests.balancer_harness import balancer, open_flow, packets
from notchhoist.flows.tests.crafting import SYN, entry, request, with_note

NEAR = Server(entry(1, "a"), 0, 0.0)
FAR = Server(entry(2, "b"), 0, 0.0)


def measured_distances(far_s=0.01, near_s=0.0004, count=MIN_SAMPLES, now=100.0):
    distances = make_distances("a")
    for number in range(count):
        at = now + number / 100
        distances.add_sample(NEAR, at - near_s, at)
        distances.add_sample(FAR, at - far_s, at)
    return distances


def sample_count(node):
    """Returns the number of samples that a balancer has taken."""
    by_zone = node.health.distances.by_zone
    return sum(item.window.count for item in by_zone.values())


def test_the_round_trip_is_unknown_at_first():
    distances = make_distances("a")
    assert distances.round_trip_s(FAR) == DEFAULT_ROUND_TRIP_S
    assert distances.extra_s("b") == 0.0


def test_too_few_samples_give_no_estimate():
    distances = measured_distances(count=MIN_SAMPLES - 1)
    assert distances.round_trip_s(FAR) == DEFAULT_ROUND_TRIP_S


def test_an_estimate_applies_to_all_servers_of_a_zone():
    distances = measured_distances()
    other = Server(entry(9, "b"), 0, 0.0)
    assert distances.round_trip_s(other) == pytest.approx(0.01)
    assert distances.extra_s("b") == pytest.approx(0.0096)
    assert distances.extra_s("a") == 0.0


def test_queueing_on_busy_hosts_does_not_raise_the_estimate():
    distances = measured_distances()
    for number in range(200):
        at = 101.0 + number / 100
        distances.add_sample(FAR, at - (0.08 if number % 10 else 0.011), at)
    assert distances.round_trip_s(FAR) < 0.012


def test_a_single_sample_that_is_too_short_is_ignored():
    distances = measured_distances()
    distances.add_sample(FAR, 101.0, 101.0001)
    assert distances.round_trip_s(FAR) == pytest.approx(0.01)


@pytest.mark.parametrize("trip_s", [0.0, -0.5, 2 * MAX_ROUND_TRIP_S])
def test_samples_out_of_range_are_ignored(trip_s):
    distances = measured_distances()
    for _ in range(MIN_SAMPLES):
        distances.add_sample(FAR, 102.0 - trip_s, 102.0)
    assert distances.round_trip_s(FAR) == pytest.approx(0.01)


def test_a_longer_path_is_noticed_after_two_windows():
    distances = measured_distances(now=100.0)
    for number in range(300):
        at = 100.5 + number / 10
        distances.add_sample(FAR, at - 0.03, at)
        if at < 100.0 + WINDOW_S:
            assert distances.round_trip_s(FAR) == pytest.approx(0.01)
    assert distances.round_trip_s(FAR) == pytest.approx(0.03)


def test_the_estimate_of_a_silent_zone_is_kept_for_a_while():
    distances = measured_distances(now=100.0)
    distances.sweep(100.0 + ESTIMATE_KEPT_S)
    assert distances.extra_s("b") > 0
    distances.sweep(101.0 + ESTIMATE_KEPT_S)
    assert distances.extra_s("b") == 0.0


def test_a_returned_offer_gives_one_sample():
    node = balancer()
    syn = request(flags=SYN)
    [(host, _)] = packets(node.on_caller(syn, 0.0))
    answer = with_note(syn, notes.to_balancer(NoteKind.BUSY, Load(1, 1)))
    node.on_agent(host, answer, 0.002)
    assert sample_count(node) == 1
    node.on_agent(host, answer, 0.003)
    assert sample_count(node) == 1


def test_a_repeated_probe_gives_no_sample():
    node = balancer()
    host = open_flow(node, 0.0)
    before = sample_count(node)
    server = node.board.by_host[host]
    node.health.suspect(server, 1.0, "no acceptance")
    node.tick(1.2)
    node.on_peer(host, LoadTell(1, 0, 0, False), 1.201)
    assert sample_count(node) == before
    node.on_peer(host, LoadTell(1, 0, 0, False), 1.202)
    assert sample_count(node) == before


def test_an_agent_that_announces_its_stop_gives_no_sample():
    node = balancer()
    host = open_flow(node, 0.0)
    before = sample_count(node)
    node.health.suspect(node.board.by_host[host], 1.0, "no acceptance")
    node.on_peer(host, LoadTell(1, 0, 0, True), 1.0001)
    assert sample_count(node) == before


@pytest.mark.parametrize("repeated, samples", [(False, 1), (True, 0)])
def test_a_repeated_query_gives_no_sample(repeated, samples):
    node = balancer(servers=1)
    node.on_caller(request(), 0.0)
    [(key, line)] = node.finder.queries.queues.items()
    if repeated:
        node.tick(0.11)
    node.on_peer(key[0], FlowsTell(line.number), 0.112)
    assert sample_count(node) == samples
