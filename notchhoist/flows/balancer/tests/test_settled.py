"""A store failure hides no server from a balancer with a stable server list.

Guards against a delayed reset of lost flows: 0.8 s after their packet whenever
the store had failed just before.
"""

import pytest

from notchhoist.flows.balancer.confirming import (
    CONFIRM_BACKOFF_MAX_S,
    CONFIRM_BACKOFF_S,
)
from notchhoist.flows.decisions.completeness import REANNOUNCE_S
from notchhoist.flows.model.effects import ConfirmView
from notchhoist.flows.model.mechanisms import ALL
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.tests.balancer_harness import (
    answer_query,
    balancer,
    resets,
)
from notchhoist.flows.tests.crafting import entry, request

LOST = request(data=b"x", ack=77)
FAILED_AT = 9.9
NOW = 10.0


def stable_list_balancer(at=REANNOUNCE_S):
    """A balancer that had known the server list before the store failed."""
    node = balancer(servers=2)
    node.tick(at)
    node.board.store_failed_at = FAILED_AT
    return node


def wants_confirmation(node, now=NOW):
    effects = node.on_caller(LOST, now)
    for host in ("10.0.0.1", "10.0.0.2"):
        effects = answer_query(node, host, LOST, NoteKind.ABSENT, now)
    return any(isinstance(item, ConfirmView) for item in effects)


def test_absent_flow_is_reset_with_the_first_confirmation():
    node = stable_list_balancer()
    assert wants_confirmation(node)
    node.finder.on_view_confirmed(NOW + 0.05)
    assert len(resets(node.take_effects())) == 1


def test_no_reset_before_the_store_has_confirmed():
    node = stable_list_balancer()
    assert wants_confirmation(node)
    node.finder.confirmer.on_failed(NOW + 0.05)
    assert not resets(node.tick(NOW + 0.1))
    effects = node.tick(NOW + 0.05 + CONFIRM_BACKOFF_S)
    assert any(isinstance(item, ConfirmView) for item in effects)


def test_confirmations_back_off_while_the_store_fails():
    """Otherwise each of hundreds of balancers sends five calls a second."""
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


def test_list_known_too_briefly_is_not_stable():
    assert not wants_confirmation(stable_list_balancer(at=REANNOUNCE_S - 0.1))


def test_list_that_was_read_again_is_not_stable():
    node = stable_list_balancer()
    node.fleet.on_listing([(entry(1), 1), (entry(2), 1)], 9, 9.0)
    assert not wants_confirmation(node)


def test_list_is_not_stable_after_the_removal_of_an_unknown_server():
    node = stable_list_balancer()
    node.fleet.on_removed("never seen", 9, 9.0)
    assert not wants_confirmation(node)


def test_disabled_mechanism_lets_a_store_failure_prevent_confirmation():
    node = stable_list_balancer()
    node.board.uses = ALL.without(["resting"])
    assert not wants_confirmation(node)
