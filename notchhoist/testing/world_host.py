"""A host of the simulated network and the node that it runs."""

from collections.abc import Callable

import attrs

from notchhoist import controllers, model

MakeNode = Callable[[float, int], controllers.Node]


@attrs.define
class Host:
    """A simulated host that runs one node.

    Attributes:
        name: Name of the host.
        peer: Peer endpoint of its node.
        make: Creates the node at each start, from the time and a seed.
        node: The running node, or None after it was killed.
        generation: Number of starts; timers and configuration reads of earlier
            starts are ignored.
        paused: Whether the node is paused; its incoming events are queued.
        backlog: Events received during a pause.
        last_tick: Time of the last tick, seconds.
        unsent_effects: Effects not performed before a pause began; they are
            performed when the node resumes.
        handles_stale_backlog: Whether the node handles its whole backlog after
            any pause, as does a process that does not check the clock.
    """

    name: str
    peer: model.Endpoint
    make: MakeNode
    node: controllers.Node | None = None
    generation: int = 0
    paused: bool = False
    backlog: list[model.Event] = attrs.Factory(list)
    unsent_effects: list[model.Effect] = attrs.Factory(list)
    last_tick: float = 0.0
    handles_stale_backlog: bool = False
