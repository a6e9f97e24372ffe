"""Tests of configuration by revision.

Differences must result in the same configuration as whole documents.
"""

import hypothesis
from hypothesis import strategies

from notchhoist import model, parts

SETTINGS = hypothesis.settings(
    max_examples=200, derandomize=True, database=None, deadline=None
)
NAMES = ("a", "b", "c", "d")

CONTENTS = strategies.lists(
    strategies.dictionaries(
        strategies.sampled_from(NAMES), strategies.integers(1, 3)
    ),
    min_size=1,
    max_size=8,
)


def document(revision, content):
    services = tuple(
        model.Service(name, model.Endpoint("10.0.0.1", port))
        for name, port in content.items()
    )
    hosts = tuple(
        model.BalancerHost(name, "z", model.Endpoint("10.0.0.2", port))
        for name, port in content.items()
    )
    return model.Configuration(revision, services, hosts)


def history(contents):
    return [
        document(revision, content)
        for revision, content in enumerate(contents, start=1)
    ]


@SETTINGS
@hypothesis.given(CONTENTS, strategies.randoms(use_true_random=False))
def test_differences_lead_where_documents_lead(contents, rng):
    documents = history(contents)
    source, follower = parts.RevisionStore(), parts.RevisionStore()
    for item in documents:
        source.adopt(item)
        if rng.random() < 0.5:
            follower.apply(source.since(follower.revision))
    follower.apply(source.since(follower.revision))
    assert follower.services == source.services
    assert follower.balancers == source.balancers
    assert follower.revision == len(documents)


@SETTINGS
@hypothesis.given(CONTENTS, strategies.randoms(use_true_random=False))
def test_any_order_of_documents_ends_at_the_highest(contents, rng):
    documents = history(contents)
    shuffled = documents * 2
    rng.shuffle(shuffled)
    store = parts.RevisionStore()
    revisions = []
    for item in shuffled:
        store.adopt(item)
        revisions.append(store.revision)
    assert revisions == sorted(revisions)
    newest = {item.name: item for item in documents[-1].services}
    assert store.services == newest


@SETTINGS
@hypothesis.given(CONTENTS)
def test_a_store_that_began_late_still_serves_older_ones(contents):
    documents = history(contents)
    late, old = parts.RevisionStore(), parts.RevisionStore()
    late.adopt(documents[-1])
    old.adopt(documents[0])
    assert old.apply(late.since(old.revision)) == (len(documents) > 1)
    for name, service in late.services.items():
        assert old.services[name] == service


def test_a_difference_with_a_gap_is_not_applied():
    store = parts.RevisionStore()
    assert not store.apply(parts.Difference(revision=9, base=3))
    assert store.revision == 0


def test_a_difference_is_limited_to_the_requested_service_and_zone():
    store = parts.RevisionStore()
    store.adopt(document(1, {"a": 1, "b": 2}))
    difference = store.since(0, service="a", zone="elsewhere")
    assert [item.name for item in difference.services] == ["a"]
    assert len(difference.balancers) == 2
