"""A failing store hides no server from a balancer that has known the list.

Dead flows were told 0.8 s after their packet whenever it had failed just now.
"""

import pytest

from notchhoist.flows.balancer.confirming import (
    CONFIRM_BACKOFF_MAX_S,
    CONFIRM_BACKOFF_S,
)
from notchhoist.flows.decisions.completeness import RETURN_S
from notchhoist.flows.model.effects import ConfirmView
from notchhoist.flows.model.mechanisms import ALL
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.tests.balancing import balancer, resets, tell_flow
from notchhoist.flows.tests.crafting import entry, request

LOST = request(data=b"x", ack=77)
FAILED_AT = 9.9
NOW = 10.0


def settled(at=RETURN_S):
    """A balancer that knew the list for a while before the store failed."""
    node = balancer(servers=2)
    node.tick(at)
    node.board.store_failed_at = FAILED_AT
    return node


def wants_confirmation(node, now=NOW):
    effects = node.on_caller(LOST, now)
    for host in ("10.0.0.1", "10.0.0.2"):
        effects = tell_flow(node, host, LOST, NoteKind.ABSENT, now)
    return any(isinstance(item, ConfirmView) for item in effects)


def test_a_dead_flow_is_told_with_the_first_confirmation():
    node = settled()
    assert wants_confirmation(node)
    node.finder.on_view_confirmed(NOW + 0.05)
    assert len(resets(node.take_effects())) == 1


def test_nothing_is_told_before_the_store_has_confirmed():
    node = settled()
    assert wants_confirmation(node)
    node.finder.confirmer.on_failed(NOW + 0.05)
    assert not resets(node.tick(NOW + 0.1))
    effects = node.tick(NOW + 0.05 + CONFIRM_BACKOFF_S)
    assert any(isinstance(item, ConfirmView) for item in effects)


def test_a_store_that_goes_on_failing_is_asked_less_and_less():
    """Hundreds of balancers asked it five times a second each."""
    confirmer = balancer().finder.confirmer
    now, pauses = NOW, []
    for _ in range(5):
        confirmer.request_confirmation(now)
        confirmer.on_failed(now)
        pauses.append(confirmer.due() - now)
        now = confirmer.due()
    assert pauses[:3] == pytest.approx([0.2, 0.4, 0.8])
    assert pauses[3:] == pytest.approx([CONFIRM_BACKOFF_MAX_S] * 2)
    confirmer.request_confirmation(now)
    confirmer.on_confirmed()
    now = confirmer.due()
    confirmer.request_confirmation(now)
    confirmer.on_failed(now)
    assert confirmer.due() - now == pytest.approx(CONFIRM_BACKOFF_S)


def test_a_list_that_was_never_calm_may_lack_a_lapsed_server():
    assert not wants_confirmation(settled(at=RETURN_S - 0.1))


def test_a_list_that_is_read_anew_may_lack_what_came_and_lapsed():
    node = settled()
    node.fleet.on_listing([(entry(1), 1), (entry(2), 1)], 9, 9.0)
    assert not wants_confirmation(node)


def test_a_server_that_came_and_went_unseen_may_live():
    node = settled()
    node.fleet.on_removed("never seen", 9, 9.0)
    assert not wants_confirmation(node)


def test_out_of_use_a_failure_counts_again():
    node = settled()
    node.board.uses = ALL.without(["resting"])
    assert not wants_confirmation(node)
