"""Tests of rendezvous hashing: even distribution, minimal disruption."""

import collections

import hypothesis
from hypothesis import strategies

from notchhoist import model, parts

NODES = [model.Endpoint("10.0.0.1", port) for port in range(8)]


@hypothesis.settings(
    max_examples=200, derandomize=True, database=None, deadline=None
)
@hypothesis.given(strategies.binary(max_size=20), strategies.integers(0, 7))
def test_a_node_that_leaves_changes_no_other_order(key, gone):
    ranked = parts.rank_nodes(key, NODES)
    others = [node for node in NODES if node != NODES[gone]]
    left = [node for node in ranked if node != NODES[gone]]
    assert parts.rank_nodes(key, others) == left


def test_first_ranks_are_distributed_evenly():
    keys = [b"%d" % number for number in range(8000)]
    first_counts = collections.Counter(
        parts.rank_nodes(k, NODES)[0] for k in keys
    )
    assert max(first_counts.values()) < 1.15 * len(keys) / len(NODES)
