"""Tests that health, metrics and the readiness port tell what is waited for."""

import json

from notchhoist.base.draws import make_draw
from notchhoist.daemon.flow_journal import process_fields
from notchhoist.daemon.flow_metrics import metrics_text
from notchhoist.daemon.flow_state import answer_state
from notchhoist.flows.agent.node import make_agent
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, entry
from notchhoist.links.scheduler import make_scheduler
from notchhoist.platform.feeding import StoreFeeder
from notchhoist.platform.store import StoreReader
from notchhoist.platform.tests.test_documents import CONFIGURATION
from notchhoist.platform.tests.test_store import item, page

STARTED_AT = 10.0


def health(node, now):
    return json.loads(answer_state(node, "h", "a", "/health", now).body)


def gauges(node, now, balances=True):
    text = metrics_text(node, balances, now, make_scheduler(0.0))
    pairs = [line.rsplit(" ", 1) for line in text.splitlines()]
    return {name.removeprefix("notchhoist_"): value for name, value in pairs}


def starting_feeder():
    node = make_balancer("a", CODEC, "seed", "10.0.1.1", started_at=STARTED_AT)
    return StoreFeeder(node, StoreReader(make_draw("seed")))


def test_health_and_metrics_tell_what_a_balancer_waits_for():
    feeder = starting_feeder()
    node = feeder.node
    feeder.next_call(10.1)
    assert health(node, 10.2)["store_call"] == "listing"
    feeder.on_failed("connection refused", 10.3)
    feeder.on_failed("no answer in time", 10.5, silent=True)
    row = health(node, 11.0)
    assert (row["ready"], row["not_ready"]) == (
        False,
        "published state unknown",
    )
    assert (row["not_ready_s"], row["uptime_s"]) == (1.0, 1.0)
    assert (row["store_failures"], row["store_failed_s"]) == (2, 0.5)
    assert (row["store_call"], row["store_error"]) == ("", "no answer in time")
    assert row["store_answered_s"] is None
    values = gauges(node, 11.0)
    assert values['not_ready_seconds{reason="published state unknown"}'] == "1"
    assert values['not_ready_seconds{reason="isolated"}'] == "0"
    assert (values["store_failures"], values["uptime_seconds"]) == ("2", "1")


def test_an_answer_of_the_store_ends_the_failures():
    feeder = starting_feeder()
    feeder.on_failed("connection refused", 10.3)
    feeder.on_answer(200, page(item("op/config", CONFIGURATION)), 11.0)
    row = health(feeder.node, 11.5)
    assert (row["ready"], row["not_ready"], row["not_ready_s"]) == (True, "", 0)
    assert (row["store_failures"], row["store_answered_s"]) == (0, 0.5)
    assert gauges(feeder.node, 11.5)["store_answer_age_seconds"] == "0.5"


def test_a_process_that_became_ready_has_all_reasons_at_0():
    node = starting_feeder().node
    node.fleet.on_listing([(entry(1), 1)], 1, 11.0)
    node.fleet.tables.on_table(crafting.table(), 1)
    node.on_published(11.0)
    reasons = {
        name: value
        for name, value in gauges(node, 12.0).items()
        if name.startswith("not_ready_seconds")
    }
    assert set(reasons.values()) == {"0"}
    assert len(reasons) > 5


def test_a_stopping_agent_tells_so():
    node = make_agent(crafting.SERVICE, CODEC, STARTED_AT)
    node.stop(12.0)
    assert health(node, 12.5)["not_ready"] == "stopping"
    values = gauges(node, 12.5, balances=False)
    assert values['not_ready_seconds{reason="stopping"}'] == "2.5"


def test_metrics_and_the_start_line_name_role_version_and_machine():
    node = make_agent(crafting.SERVICE, CODEC, STARTED_AT)
    [build] = [
        name
        for name in gauges(node, 12.0, balances=False)
        if name.startswith("build_info")
    ]
    fields = process_fields(balances=False)
    assert fields["role"] == "agent"
    assert all(f'{key}="{value}"' in build for key, value in fields.items())
    assert fields["version"] == health(node, 12.0)["version"]
