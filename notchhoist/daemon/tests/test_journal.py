"""Tests of the logs: bounded, with refusals before answers."""

from notchhoist.blackboards import Decision
from notchhoist.daemon import journal


def decision(number, reason):
    return Decision(number, 0.0, "c:1", "GET /r", "roster", "x", reason, 1)


def test_burst_of_decisions_is_sampled_with_refusals_first():
    new_decisions = [decision(number, "") for number in range(400)]
    new_decisions.append(decision(400, "queue_full"))
    chosen = journal.choose_decisions(new_decisions)
    assert len(chosen) == journal.MAX_DECISIONS_PER_PERIOD
    assert chosen[0].reason == "queue_full"
