"""Published documents: a document is refused with all its problems."""

import json

import hypothesis
import pytest
from hypothesis import strategies
from returns.result import Success

from notchhoist import documents
from notchhoist.daemon.settings import parse_settings

CASES = [
    (b'{"revision": 0}', "revision"),
    (b'{"revision": 1, "extra": 2}', "document"),
    (b'{"revision": 1, "services": [{"name": "a"}]}', "services[0].address"),
]


@pytest.mark.parametrize(("text", "place"), CASES)
def test_an_invalid_document_is_refused(text, place):
    refused = documents.parse_configuration(text).failure()
    assert place in [problem.place for problem in refused.problems]


def test_a_witness_memory_of_less_than_two_deadlines_is_refused():
    kind = '{"name": "b", "method": "POST", "path": "b", "repeatable": false}'
    text = (
        '{"revision": 1, "services": [{"name": "a", "memory_s": 9,'
        f'"address": "10.0.0.1:1", "kinds": [{kind}]}}]}}'
    )
    refused = documents.parse_configuration(text.encode()).failure()
    assert refused.problems[0].place == "services[0].memory_s"


def test_duplicate_names_and_addresses_are_refused():
    service = '{"name": "a", "address": "10.0.0.1:1"}'
    text = f'{{"revision": 1, "services": [{service}, {service}]}}'
    refused = documents.parse_configuration(text.encode()).failure()
    assert [problem.place for problem in refused.problems] == [
        "services[1].name",
        "services[1].address",
    ]


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                [
                    "revision",
                    "services",
                    "balancers",
                    "name",
                    "servers",
                    "kinds",
                ]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@hypothesis.settings(
    max_examples=300, derandomize=True, database=None, deadline=None
)
@hypothesis.given(JSON)
def test_issue_5_any_json_is_put_in_force_or_refused(value):
    """A document that was a list raised out of the task that read it."""
    for parse in (documents.parse_configuration, parse_settings):
        result = parse(json.dumps(value).encode())
        assert isinstance(result, Success) or result.failure()
