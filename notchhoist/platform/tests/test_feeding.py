"""Feeding a balancer from the store: what is not understood costs itself."""

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
"""After this the network sends a lost packet again, seconds."""


def fed(*items):
    node = make_balancer("a", PacketCodec(), "seed", "10.0.0.1")
    feeder = StoreFeeder(node, StoreReader(make_draw("seed")))
    feeder.next_call(0.0)
    feeder.on_answer(200, page(*items), 0.0)
    return feeder


STRANGE_ROUTE = {**ROUTE, "path_prefix": "/9/", "kind": "odd"}
STRANGE = {**CONFIGURATION, "routes": [ROUTE, STRANGE_ROUTE]}


def logged(feeder):
    decisions = feeder.node.board.records.decisions
    return [
        item.outcome for item in decisions if item.event == "not understood"
    ]


def test_a_strange_route_is_logged_once_and_the_rest_is_in_force():
    feeder = fed(item("op/config", STRANGE), item("servers/i-1", ENTRY))
    board = feeder.node.board
    assert len(board.table.routes) == 2
    again = json.loads(json.dumps(STRANGE)) | {"version": 8}
    feeder.on_answer(200, changes(item("op/config", again, 60)), 1.0)
    assert board.table.version == 8
    assert logged(feeder) == [
        "routes[1].kind: expected one of ('safe', 'download', 'unsafe',"
        " 'upload'), got 'odd'"
    ]
    assert board.problems == logged(feeder)
    assert board.records.counters[Count.PARTS_REFUSED] == 2


def test_a_strange_entry_leaves_the_other_servers():
    bad = item("servers/i-2", {**ENTRY, "slots": "many"})
    feeder = fed(
        item("op/config", CONFIGURATION), item("servers/i-1", ENTRY), bad
    )
    assert list(feeder.node.board.servers) == ["i-1"]
    assert "servers/i-2.slots" in logged(feeder)[0]


def test_a_document_that_is_wrong_as_a_whole_leaves_the_last_one():
    feeder = fed(item("op/config", CONFIGURATION), item("servers/i-1", ENTRY))
    feeder.on_answer(200, changes(item("op/config", {"version": 8}, 60)), 1.0)
    board = feeder.node.board
    assert board.table.version == 7
    assert "routes" in board.refused


def lines_of(feeder, event):
    decisions = feeder.node.board.records.decisions
    return [item.outcome for item in decisions if item.event == event]


def test_a_store_that_is_behind_what_is_known_is_logged():
    feeder = fed(item("op/config", CONFIGURATION), item("servers/i-1", ENTRY))
    feeder.on_answer(410, b"", 1.0, {"store-era": "2"})
    feeder.on_answer(200, page(as_of=44), 1.1, {"store-era": "2"})
    assert lines_of(feeder, "history lost") == ["listing"]
    assert lines_of(feeder, "store era") == ["0 -> 2"]
    assert lines_of(feeder, "store behind") == ["at 44"]
    board = feeder.node.board
    assert board.store_revision == make_revision(2, 44)
    assert board.records.counters[Count.HISTORY_LOST] == 1


def test_an_era_that_is_no_count_is_logged_and_left_out():
    feeder = fed(item("op/config", CONFIGURATION), item("servers/i-1", ENTRY))
    feeder.on_answer(200, changes(), 1.0, {"store-era": "later"})
    assert logged(feeder) == ["store-era: expected a whole number, got 'later'"]
    assert feeder.node.board.store_era == 0


def told_by_another(feeder, now):
    teller = fed(item("op/config", CONFIGURATION), item("servers/i-1", ENTRY))
    ask = ViewAsk(0, 5, 1)
    feeder.node.synchronizer.query_sent_at[1] = now
    for effect in teller.node.on_peer("10.0.0.1", ask, 0.01):
        if isinstance(effect, SendPeer) and isinstance(
            effect.message, ViewTell
        ):
            feeder.node.on_peer("10.0.0.2", effect.message, now)


def starting():
    node = make_balancer("a", PacketCodec(), "seed", "10.0.0.3", link_mbps=5)
    feeder = StoreFeeder(node, StoreReader(make_draw("seed")))
    assert feeder.next_call(5.0).purpose == "listing"
    return feeder


def test_a_list_that_another_balancer_has_told_is_not_read_to_its_end():
    """It filled a link of 5 Mbit/s while the callers of an outage came back."""
    feeder = starting()
    assert feeder.needs_answer(5.1)
    told_by_another(feeder, 5.2)
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


def test_a_balancer_that_is_to_read_for_others_reads_to_the_end():
    feeder = starting()
    told_by_another(feeder, 5.2)
    assert feeder.node.synchronizer.membership.is_reader(5.2)
    assert feeder.needs_answer(5.2)


def test_an_answer_that_waited_is_as_old_as_its_question():
    """What it told was passed on as of the moment when it was read."""
    feeder = fed(item("op/config", CONFIGURATION))
    feeder.next_call(1.0)
    feeder.on_answer(200, changes(item("servers/i-1", ENTRY, 60)), 3.5)
    assert feeder.node.board.confirmed_at == 1.0


def test_word_of_no_news_is_as_old_as_the_end_of_the_watch():
    feeder = fed(item("op/config", CONFIGURATION))
    feeder.next_call(1.0)
    wait_s = feeder.reader.wait_s
    assert 0.0 < wait_s < feeder.reader.watch_s
    feeder.on_answer(200, changes(as_of=50), 3.5)
    assert feeder.node.board.confirmed_at == 1.0 + wait_s


def test_word_of_no_news_that_came_too_early_is_as_old_as_its_question():
    feeder = fed(item("op/config", CONFIGURATION))
    feeder.next_call(0.1)
    feeder.on_answer(200, changes(as_of=50), 0.2)
    assert feeder.node.board.confirmed_at == 0.1


def test_a_confirmation_is_as_old_as_its_question():
    feeder = fed(item("op/config", CONFIGURATION))
    feeder.confirming_call(1.0)
    feeder.on_confirmation(200, changes(as_of=50), 1.4)
    assert feeder.node.board.confirmed_at == 1.0


@pytest.mark.parametrize("bound_s", [3.0, 5.0])
def test_a_change_is_in_time_though_the_first_call_has_no_answer(bound_s):
    """A host acted at 0.9 of the bound, and one lost call was too many."""
    budget = PropagationBudget(bound_s)
    feeder = fed(item("op/config", CONFIGURATION))
    feeder.reader = StoreReader(make_draw("s"), budget.watch_s, budget.answer_s)
    sharer = feeder.node.synchronizer
    sharer.max_age_s = budget.max_age_s
    called_at = sharer.stale_at()
    lost = feeder.next_call(called_at)
    feeder.on_failed("no answer in time", called_at + lost.timeout_s, True)
    now = max(called_at + lost.timeout_s, feeder.reader.due)
    assert feeder.next_call(now) is not None
    assert now + RESEND_S <= sharer.board.confirmed_at + bound_s


def test_told_knowledge_stays_fresh_while_the_readers_watch():
    """Watches as long as they were made the others read by themselves."""
    for bound_s in (3.0, 5.0):
        budget = PropagationBudget(bound_s)
        assert budget.watch_s + QUERY_INTERVAL_S + RESEND_S <= budget.max_age_s


def test_a_doubtful_view_is_read_anew_and_mended():
    """The same version was passed over, whatever it held."""
    feeder = fed(item("op/config", CONFIGURATION))
    board, mender = feeder.node.board, feeder.node.synchronizer.reconciler
    [route] = board.table.routes.values()
    wrong = RouteTable(board.table.version, {}, board.table.idle_s)
    feeder.node.fleet.tables.on_table(wrong, 50, replace_same_version=True)
    assert not board.table.routes
    mender.needs_store_read = True
    assert feeder.next_call(0.1).purpose == "listing"
    feeder.on_answer(200, page(item("op/config", CONFIGURATION)), 0.2)
    assert list(board.table.routes.values()) == [route]
    assert not mender.needs_store_read
