"""Tests that keep a balancer's view up to date from the store.

Invalid data in the store must not affect other data.
"""

import json

import pytest

from notchhoist.base.draws import make_draw
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.fleet import RouteTable
from notchhoist.flows.model.messages import ViewAsk, ViewTell
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.revisions import make_revision
from notchhoist.flows.published.budget import PropagationBudget
from notchhoist.flows.published.query_schedule import QUERY_INTERVAL_S
from notchhoist.platform.feeding import StoreFeeder
from notchhoist.platform.packets import PacketCodec
from notchhoist.platform.store import StoreReader
from notchhoist.platform.tests.test_documents import (
    CONFIGURATION,
    ENTRY,
    ROUTE,
)
from notchhoist.platform.tests.test_store import changes, item, page

RESEND_S = 0.2
"""Time until the network retransmits a lost packet, seconds."""


def make_feeder(*items, as_of=50):
    node = make_balancer("a", PacketCodec(), "seed", "10.0.0.1")
    feeder = StoreFeeder(node, StoreReader(make_draw("seed")))
    feeder.next_call(0.0)
    feeder.on_answer(200, page(*items, as_of=as_of), 0.0)
    return feeder


INVALID_ROUTE = {**ROUTE, "path_prefix": "/9/", "kind": "odd"}
PARTLY_INVALID = {**CONFIGURATION, "routes": [ROUTE, INVALID_ROUTE]}


def logged_problems(feeder):
    decisions = feeder.node.board.records.decisions
    return [
        item.outcome for item in decisions if item.event == "not understood"
    ]


def test_an_invalid_route_is_logged_once_and_the_rest_is_in_force():
    feeder = make_feeder(
        item("op/config", PARTLY_INVALID), item("servers/i-1", ENTRY)
    )
    board = feeder.node.board
    assert len(board.table.routes) == 2
    republished = json.loads(json.dumps(PARTLY_INVALID)) | {"version": 8}
    feeder.on_answer(200, changes(item("op/config", republished, 60)), 1.0)
    assert board.table.version == 8
    assert logged_problems(feeder) == [
        "routes[1].kind: expected one of ('safe', 'download', 'unsafe',"
        " 'upload'), got 'odd'"
    ]
    assert list(board.problems) == ["op/config"]
    assert list(board.problems["op/config"].texts) == logged_problems(feeder)
    assert board.records.counters[Count.PARTS_REFUSED] == 2


def test_an_invalid_entry_does_not_affect_other_servers():
    invalid = item("servers/i-2", {**ENTRY, "slots": "many"})
    feeder = make_feeder(
        item("op/config", CONFIGURATION), item("servers/i-1", ENTRY), invalid
    )
    assert list(feeder.node.board.servers) == ["i-1"]
    assert "servers/i-2.slots" in logged_problems(feeder)[0]


def test_an_invalid_document_leaves_the_last_valid_one_in_force():
    feeder = make_feeder(
        item("op/config", CONFIGURATION), item("servers/i-1", ENTRY)
    )
    feeder.on_answer(200, changes(item("op/config", {"version": 8}, 60)), 1.0)
    board = feeder.node.board
    assert board.table.version == 7
    assert "routes" in board.refused


def logged_outcomes(feeder, event):
    decisions = feeder.node.board.records.decisions
    return [item.outcome for item in decisions if item.event == event]


def test_a_store_that_is_behind_the_view_is_logged():
    feeder = make_feeder(
        item("op/config", CONFIGURATION), item("servers/i-1", ENTRY)
    )
    feeder.on_answer(410, b"", 1.0, {"store-era": "2"})
    feeder.on_answer(200, page(as_of=44), 1.1, {"store-era": "2"})
    assert logged_outcomes(feeder, "history lost") == ["listing"]
    assert logged_outcomes(feeder, "store era") == ["0 -> 2"]
    assert logged_outcomes(feeder, "store behind") == ["at 44"]
    board = feeder.node.board
    assert board.store_revision == make_revision(2, 44)
    assert board.records.counters[Count.HISTORY_LOST] == 1


def test_an_era_that_is_not_a_number_is_logged_and_ignored():
    feeder = make_feeder(
        item("op/config", CONFIGURATION), item("servers/i-1", ENTRY)
    )
    feeder.on_answer(200, changes(), 1.0, {"store-era": "later"})
    assert logged_problems(feeder) == [
        "store-era: expected a whole number, got 'later'"
    ]
    assert feeder.node.board.store_era == 0


def update_from_another(feeder, now, revision=1):
    sender = make_feeder(
        item("op/config", CONFIGURATION, revision),
        item("servers/i-1", ENTRY, revision),
    )
    query = ViewAsk(0, 5, 1)
    feeder.node.synchronizer.query_sent_at[1] = now
    for effect in sender.node.on_peer("10.0.0.1", query, 0.01):
        if isinstance(effect, SendPeer) and isinstance(
            effect.message, ViewTell
        ):
            feeder.node.on_peer("10.0.0.2", effect.message, now)


def starting_feeder():
    node = make_balancer("a", PacketCodec(), "seed", "10.0.0.3", link_mbps=5)
    feeder = StoreFeeder(node, StoreReader(make_draw("seed")))
    assert feeder.next_call(5.0).purpose == "listing"
    return feeder


def test_a_listing_ends_when_another_balancer_has_sent_the_view():
    """A listing that is not needed must not occupy a low-bandwidth link.

    It filled a link of 5 Mbit/s while callers reconnected after an outage.
    """
    feeder = starting_feeder()
    assert feeder.needs_answer(5.1)
    update_from_another(feeder, 5.2)
    assert feeder.node.is_ready
    feeder.node.synchronizer.membership.last_heard |= {
        "10.0.0.2": 5.2,
        "10.0.0.4": 5.2,
    }
    feeder.node.synchronizer.membership.link_mbps_by_host |= {
        "10.0.0.2": 100,
        "10.0.0.4": 100,
    }
    assert not feeder.needs_answer(5.2)
    feeder.on_not_needed(5.2)
    assert feeder.next_call(5.2) is None
    assert feeder.node.board.store_failed_at < 0


def test_a_reader_of_the_store_completes_its_listing():
    feeder = starting_feeder()
    update_from_another(feeder, 5.2)
    assert feeder.node.synchronizer.membership.is_reader(5.2)
    assert feeder.needs_answer(5.2)


def test_a_delayed_answer_is_as_old_as_its_call():
    """Its changes must not be passed on as of the time when it was read."""
    feeder = make_feeder(item("op/config", CONFIGURATION))
    feeder.next_call(1.0)
    feeder.on_answer(200, changes(item("servers/i-1", ENTRY, 60)), 3.5)
    assert feeder.node.board.confirmed_at == 1.0


def test_an_answer_without_changes_is_as_old_as_the_end_of_the_watch():
    feeder = make_feeder(item("op/config", CONFIGURATION))
    feeder.next_call(1.0)
    wait_s = feeder.reader.wait_s
    assert 0.0 < wait_s < feeder.reader.watch_s
    feeder.on_answer(200, changes(as_of=50), 3.5)
    assert feeder.node.board.confirmed_at == 1.0 + wait_s


def test_an_early_answer_without_changes_is_as_old_as_its_call():
    feeder = make_feeder(item("op/config", CONFIGURATION))
    feeder.next_call(0.1)
    feeder.on_answer(200, changes(as_of=50), 0.2)
    assert feeder.node.board.confirmed_at == 0.1


def test_a_confirmation_is_as_old_as_its_call():
    feeder = make_feeder(item("op/config", CONFIGURATION))
    feeder.confirming_call(1.0)
    feeder.on_confirmation(200, changes(as_of=50), 1.4)
    assert feeder.node.board.confirmed_at == 1.0


@pytest.mark.parametrize("deadline_s", [3.0, 5.0])
def test_a_change_meets_the_deadline_if_the_first_call_fails(deadline_s):
    """The budget of the propagation deadline must cover one lost call.

    A host that read the store only at 0.9 of the deadline missed it when one
    call was lost.
    """
    budget = PropagationBudget(deadline_s)
    feeder = make_feeder(item("op/config", CONFIGURATION))
    feeder.reader = StoreReader(make_draw("s"), budget.watch_s, budget.answer_s)
    synchronizer = feeder.node.synchronizer
    synchronizer.max_age_s = budget.max_age_s
    called_at = synchronizer.stale_at()
    failed_call = feeder.next_call(called_at)
    feeder.on_failed(
        "no answer in time", called_at + failed_call.timeout_s, True
    )
    now = max(called_at + failed_call.timeout_s, feeder.reader.due)
    assert feeder.next_call(now) is not None
    assert now + RESEND_S <= synchronizer.board.confirmed_at + deadline_s


def test_views_from_others_stay_fresh_while_the_readers_watch():
    """With longer watches the views got too old, and all balancers read."""
    for deadline_s in (3.0, 5.0):
        budget = PropagationBudget(deadline_s)
        assert budget.watch_s + QUERY_INTERVAL_S + RESEND_S <= budget.max_age_s


def test_a_view_that_may_be_wrong_is_listed_and_reconciled():
    """A listing must replace a wrong table that has the same version.

    The table was ignored because its version was the known one.
    """
    feeder = make_feeder(item("op/config", CONFIGURATION))
    board, reconciler = feeder.node.board, feeder.node.synchronizer.reconciler
    [route] = board.table.routes.values()
    wrong = RouteTable(board.table.version, {}, board.table.idle_s)
    feeder.node.fleet.tables.on_table(wrong, 50, replace_same_version=True)
    assert not board.table.routes
    reconciler.needs_store_read = True
    assert feeder.next_call(0.1).purpose == "listing"
    feeder.on_answer(200, page(item("op/config", CONFIGURATION)), 0.2)
    assert list(board.table.routes.values()) == [route]
    assert not reconciler.needs_store_read
