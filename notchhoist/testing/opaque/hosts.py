"""Hosts of the stand-in."""

from collections.abc import Callable

import attrs

from notchhoist.flows.agent.node import AgentNode
from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.flows.model.effects import ConnectResult
from notchhoist.platform.feeding import StoreFeeder
from notchhoist.testing.opaque.links import HostLink, make_link
from notchhoist.testing.opaque.servers import ServerModel

MISSES = 2
"""Unanswered questions after which routers leave a balancer alone."""

START_S = 0.3
"""From power to serving, seconds; about what a thin entry host takes."""


@attrs.define(eq=False)
class Host:
    """A host with one process of ours, and perhaps a backend server.

    Attributes:
        name: Its name.
        ip: Its IP number.
        zone: Its availability zone.
        service: Service of its backend server; empty on entry hosts.
        node: The process, or None while it is down.
        server: The backend server, or None.
        dark: The host has no power.
        frozen: The process stands still; what comes waits.
        waiting: What came meanwhile.
        generation: Counts the starts of the process.
        misses: Unanswered questions of the routers in a row.
        feeder: A balancer's feeder from the store.
        link: Its link.
        looks: Somebody looks soon whether its link has room.
        calling: Number of its call to the store that is under way.
    """

    name: str
    ip: str
    zone: str
    service: str = ""
    node: BalancerNode | AgentNode | None = None
    server: ServerModel | None = None
    dark: bool = False
    frozen: bool = False
    waiting: list[Callable[[], None]] = attrs.Factory(list)
    generation: int = 0
    misses: int = MISSES
    feeder: StoreFeeder | None = None
    link: HostLink = attrs.Factory(make_link)
    looks: bool = False
    calling: int = 0

    def reach(self) -> ConnectResult:
        """Returns what a connection to its process meets."""
        if self.dark:
            return ConnectResult.SILENT
        return (
            ConnectResult.REFUSED
            if self.node is None
            else ConnectResult.ACCEPTED
        )
