"""Hosts of the simulation."""

from collections.abc import Callable

import attrs

from notchhoist.flows.agent.node import AgentNode
from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.flows.model.effects import ConnectResult
from notchhoist.platform.feeding import StoreFeeder
from notchhoist.testing.opaque.links import HostLink, make_link
from notchhoist.testing.opaque.servers import ServerModel

MAX_FAILED_PROBES = 2
"""Failed readiness probes in a row after which routers avoid a balancer."""

HOST_START_S = 0.3
"""Time from power-on to serving, seconds; about that of an entry host with
little CPU."""


@attrs.define(eq=False)
class Host:
    """A host that runs a balancer, or an agent beside a backend server.

    Attributes:
        name: Its name.
        ip: Its IP number.
        zone: Its availability zone.
        service: Service of its backend server; empty on entry hosts.
        node: Its daemon, or None while the process is down.
        server: The backend server, or None.
        dark: The host is without power.
        frozen: The process is stalled; events for it are queued.
        waiting: Events that are queued while the process is stalled.
        generation: Number of starts of the process; events of an earlier
            generation are dropped.
        failed_probes: Failed readiness probes of the routers in a row.
        feeder: Feeds a balancer from the store.
        link: Its network link.
        send_scheduled: The next call of the link's scheduler is scheduled.
        request_number: Number of its current request to the store; responses to
            another number are ignored.
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
    failed_probes: int = MAX_FAILED_PROBES
    feeder: StoreFeeder | None = None
    link: HostLink = attrs.Factory(make_link)
    send_scheduled: bool = False
    request_number: int = 0

    def connect_result(self) -> ConnectResult:
        """Returns the result of a connection attempt to its process."""
        if self.dark:
            return ConnectResult.SILENT
        return (
            ConnectResult.REFUSED
            if self.node is None
            else ConnectResult.ACCEPTED
        )
