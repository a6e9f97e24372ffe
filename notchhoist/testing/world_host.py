"""A host of the fake network and the node that it runs."""

from collections.abc import Callable

import attrs

from notchhoist import controllers, model

MakeNode = Callable[[float, int], controllers.Node]


@attrs.define
class Host:
    """A host that runs a node.

    Attributes:
        name: Name of the host.
        peer: Peer endpoint of its node.
        make: Makes its node at a start.
        node: The node, or None while it is dead.
        generation: Counts its starts.
        paused: It is stopped and its sockets fill up.
        backlog: What came meanwhile.
        last_tick: Time of its last tick, seconds.
        held: Effects that a pause came before.
        keeps_backlog: It reads after a pause what came before it, as a
            process would that does not look at its clock.
    """

    name: str
    peer: model.Endpoint
    make: MakeNode
    node: controllers.Node | None = None
    generation: int = 0
    paused: bool = False
    backlog: list[model.Event] = attrs.Factory(list)
    held: list[model.Effect] = attrs.Factory(list)
    last_tick: float = 0.0
    keeps_backlog: bool = False
