"""Nodes: the whole decision logic of one process behind one small boundary.

A node takes an event or a tick with the time, and gives back effects. It does
no I/O and reads no clock, so that any harness can drive it.
"""

from typing import Protocol

from notchhoist import model
from notchhoist.blackboards import AgentBoard, BalancerBoard

TICK_S = 0.05
"""Time between two ticks that a node is meant to get, seconds."""


class Node(Protocol):
    """What a harness drives."""

    @property
    def board(self) -> AgentBoard | BalancerBoard:
        """The blackboard, for inspection."""

    def handle(self, event: model.Event, now: float) -> list[model.Effect]:
        """Takes an event and returns what is to be done."""

    def tick(self, now: float) -> list[model.Effect]:
        """Does what is due and returns what is to be done."""

    def stop(self, now: float) -> list[model.Effect]:
        """Begins a planned stop."""

    def is_idle(self) -> bool:
        """Tells whether a planned stop would cut nothing."""


def drain(outbox: list[model.Effect]) -> list[model.Effect]:
    """Empties an outbox and returns what was in it."""
    effects = list(outbox)
    outbox.clear()
    return effects
