"""Logs: bounded, and refusals go before answers."""

from notchhoist.blackboards import Decision
from notchhoist.daemon import journal


def decision(number, reason):
    return Decision(number, 0.0, "c:1", "GET /r", "roster", "x", reason, 1)


def test_a_storm_of_decisions_is_sampled():
    fresh = [decision(number, "") for number in range(400)]
    fresh.append(decision(400, "queue_full"))
    chosen = journal.choose_decisions(fresh)
    assert len(chosen) == journal.DECISIONS_A_PERIOD
    assert chosen[0].reason == "queue_full"
