"""Tests of the odd documents and damaged datagrams of the stand-in."""

import random

from notchhoist.testing.opaque.damage import damage
from notchhoist.testing.opaque.odd_documents import (
    odd_configuration,
    odd_document,
    odd_name,
)

GOOD = {"service": "hallbook", "address": "127.0.0.1:80", "born": 1}
CONFIGURATION = {"version": 3, "routes": [{"name": "a"}, {"name": "b"}]}
DRAWS = 2000


def test_a_seed_draws_the_same_documents():
    one, other = random.Random(1), random.Random(1)
    for _ in range(100):
        assert odd_document(GOOD, one) == odd_document(GOOD, other)


def test_the_reported_kinds_of_entries_are_drawn():
    rng = random.Random(2)
    texts = [odd_document(GOOD, rng) for _ in range(DRAWS)]
    for part in (b'"born":9223372036854775808', b":" + b"9" * 5000, b"[" * 985):
        assert any(part in text for text in texts)


def test_odd_configurations_keep_other_routes():
    rng = random.Random(3)
    texts = [odd_configuration(CONFIGURATION, rng) for _ in range(DRAWS)]
    assert any(
        b'"version": 3' in text or b'"version":3' in text for text in texts
    )
    assert any(b'{"name": "b"}' in text for text in texts)


def test_odd_names_fit_into_a_key():
    rng = random.Random(4)
    names = [odd_name(rng) for _ in range(100)]
    assert all(len(f"op/evacuate/{name}".encode()) <= 200 for name in names)


def test_damaged_datagrams_differ():
    rng = random.Random(5)
    data = bytes(range(64))
    copies = [damage(data, rng) for _ in range(DRAWS)]
    assert sum(copy != data for copy in copies) > 0.99 * DRAWS
    assert {len(copy) for copy in copies} > {0, 64}
