"""Tests that metrics, health and dumps can be parsed whatever names they hold.

The names of services and zones are texts of other writers.
"""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from prometheus_client.parser import text_string_to_metric_families

from notchhoist.daemon.flow_metrics import metrics_text
from notchhoist.daemon.flow_state import answer_state
from notchhoist.daemon.http_port import encode_reply
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model.records import Timing
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, entry
from notchhoist.links.scheduler import make_scheduler

NAMES = st.text(st.characters(codec="utf-8"), min_size=1, max_size=300)


def balancer_with(name):
    node = make_balancer("a", CODEC, "seed", "10.0.1.1", started_at=0.0)
    route = crafting.route(targets=((name, 1),))
    node.fleet.tables.on_table(crafting.table(routes=[route]), 1)
    listed = [(entry(1, zone=name, service=name), 1)]
    node.fleet.on_listing(listed, 1, 0.0)
    node.fleet.zones.on_evacuated(name, 5, 0.5)
    node.board.refused = name
    node.board.store_error = name
    node.board.records.observe(Timing.OPENING, name, "accepted", 0.1)
    [server] = node.board.servers.values()
    for _ in range(9):
        node.health.distances.add_sample(server, 0.0, 0.01)
    return node


def samples(node):
    text = metrics_text(node, True, 1.0, make_scheduler(0.0))
    text.encode()
    return [
        sample
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    ]


@settings(deadline=None)
@given(NAMES)
def test_metrics_keep_odd_names_as_labels(name):
    found = samples(balancer_with(name))
    services = {item.labels.get("service") for item in found}
    zones = {item.labels.get("zone") for item in found}
    assert name in services
    assert name in zones


@settings(deadline=None)
@given(NAMES)
def test_health_and_dumps_keep_odd_names(name):
    node = balancer_with(name)
    paths = ("/health", "/dump/servers", "/dump/zones", "/dump/services")
    for path in paths:
        reply = answer_state(node, name, name, path, 1.0)
        encode_reply(reply)
        assert json.dumps(name)[1:-1] in json.dumps(json.loads(reply.body))


@pytest.mark.parametrize("name", ['a"b', "a\\b", "a\nb", "a\\", "\\n", '"'])
def test_metrics_escape_what_ends_a_label(name):
    """A quote in the name of a service made the metrics unreadable."""
    assert name in {
        item.labels.get("service") for item in samples(balancer_with(name))
    }
