"""Tests of the weighted choice between the services of a route."""

from hypothesis import given, settings
from hypothesis import strategies as st

from notchhoist.flows.decisions.splitting import pick_target

FLOWS = [number.to_bytes(12, "big") for number in range(2000)]
NOISE = 0.05
"""Largest expected difference between shares of 2,000 flows and the weights:
4.5 standard deviations."""

weights = st.dictionaries(
    st.sampled_from("abcdef"), st.integers(0, 1000), min_size=1, max_size=5
).filter(lambda named: sum(named.values()) > 0)
few = settings(max_examples=25, deadline=None, derandomize=True)


def placed(named):
    targets = list(named.items())
    return [pick_target(flow, targets) for flow in FLOWS]


def share(named, service):
    return named.get(service, 0) / sum(named.values())


@few
@given(weights)
def test_each_service_gets_its_share(named):
    chosen = placed(named)
    for service in named:
        got = chosen.count(service) / len(FLOWS)
        assert abs(got - share(named, service)) < NOISE
        assert named[service] or not got


@few
@given(weights, weights)
def test_change_of_weights_moves_few_flows(before, after):
    """At most 2d / (1 + d) of the flows move; d between two services."""
    must = sum(
        max(0.0, share(after, service) - share(before, service))
        for service in after
    )
    moved = sum(
        old != new
        for old, new in zip(placed(before), placed(after), strict=True)
    )
    two = len(before.keys() | after.keys()) <= 2
    bound = must if two else 2 * must / (1 + must)
    assert moved / len(FLOWS) <= bound + NOISE


@few
@given(weights, st.sampled_from("abcdef"), st.integers(0, 1000))
def test_changed_weight_moves_flows_of_that_service_only(
    before, service, weight
):
    after = {**before, service: weight}
    if not sum(after.values()):
        return
    rises = weight > before.get(service, 0)
    for old, new in zip(placed(before), placed(after), strict=True):
        if old != new:
            assert (new if rises else old) == service


@few
@given(weights, st.randoms(use_true_random=False))
def test_order_of_the_targets_does_not_matter(named, rng):
    targets = list(named.items())
    rng.shuffle(targets)
    assert placed(named) == placed(dict(targets))


def test_huge_weights_keep_their_shares():
    chosen = placed({"a": 1_000_000, "b": 1_000_000, "c": 1})
    assert abs(chosen.count("a") / len(FLOWS) - 0.5) < NOISE
