"""Test double of the network fabric: sends datagrams to random balancers.

It keeps one socket towards the balancers for each caller. The balancers see
the endpoint of that socket as the caller's endpoint.
"""

import random
from collections.abc import Sequence

import anyio
import anyio.abc
import attrs

from notchhoist import model
from notchhoist.daemon.sockets import UdpPort, open_udp

ANY_PORT = 0


@attrs.define(eq=False)
class Fabric:
    """Spreads the datagrams of the callers of one service over balancers.

    Attributes:
        entry: UDP port to which callers send.
        targets: Endpoint of the service at each balancer.
        rng: Source of the random choice of a balancer.
        tasks: Task group in which the callers' sockets are read.
        callers: Socket towards the balancers, by endpoint of the caller.
    """

    entry: UdpPort
    targets: Sequence[model.Endpoint]
    rng: random.Random
    tasks: anyio.abc.TaskGroup
    callers: dict[model.Endpoint, UdpPort] = attrs.Factory(dict)

    async def run(self) -> None:
        """Forwards datagrams until cancelled."""
        await self.entry.run(self._on_caller)

    def _on_caller(self, data: bytes, caller: model.Endpoint) -> None:
        port = self.callers.get(caller)
        if port is None:
            port = open_udp(model.Endpoint(self.entry.endpoint.host, ANY_PORT))
            self.callers[caller] = port
            self.tasks.start_soon(self._carry_back, caller, port)
        port.send(data, self.rng.choice(list(self.targets)))

    async def _carry_back(self, caller: model.Endpoint, port: UdpPort) -> None:
        await port.run(lambda data, _: self.entry.send(data, caller))
