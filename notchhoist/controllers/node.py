"""Interface of nodes: the complete logic of one process, without I/O.

A node handles events and ticks, each with the current time, and returns the
effects to perform. It reads no clock and does no I/O, so that the daemon and
the simulated network of the tests can drive the same code.
"""

from typing import Protocol

from notchhoist import model
from notchhoist.blackboards import AgentBoard, BalancerBoard

TICK_S = 0.05
"""Interval at which a node's ``tick`` is to be called, seconds."""


class Node(Protocol):
    """Logic of one process, as the daemon or a test drives it."""

    @property
    def board(self) -> AgentBoard | BalancerBoard:
        """State of the node, for inspection."""

    def handle(self, event: model.Event, now: float) -> list[model.Effect]:
        """Handles an event and returns the effects to perform."""

    def tick(self, now: float) -> list[model.Effect]:
        """Performs periodic work and returns the effects to perform."""

    def stop(self, now: float) -> list[model.Effect]:
        """Begins a planned stop and returns the effects to perform."""

    def is_idle(self) -> bool:
        """Returns whether the process can exit without interrupting work."""


def take_effects(outbox: list[model.Effect]) -> list[model.Effect]:
    """Empties an outbox and returns the effects that were in it."""
    effects = list(outbox)
    outbox.clear()
    return effects
