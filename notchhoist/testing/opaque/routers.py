"""The platform's routers: which balancer gets a caller's packet."""

import random
from collections.abc import Iterable, Mapping

import attrs

from notchhoist.testing.opaque.frames import Frame
from notchhoist.testing.opaque.hosts import MISSES, Host

PROBE_S = 0.5
"""How often routers ask balancers whether they are ready, seconds."""


@attrs.define(eq=False)
class Routers:
    """Hand each packet to a balancer in its caller's availability zone.

    Attributes:
        hosts: Hosts by IP number.
        steady: Only the flows of a balancer that comes or goes move; else
            nearly all do.
    """

    hosts: Mapping[str, Host]
    steady: bool = False

    def _entries(self) -> Iterable[Host]:
        return (host for host in self.hosts.values() if not host.service)

    def route(self, zone: str, frame: Frame) -> Host | None:
        """Returns the balancer that a caller's packet goes to."""
        entries = list(self._entries())
        near = [host for host in entries if host.zone == zone] or entries
        ready = [host for host in near if host.misses < MISSES]
        if not ready and near is not entries:
            ready = [host for host in entries if host.misses < MISSES]
        elif len(ready) * 2 < len(near):
            ready = near
        if not ready:
            return None
        key = f"{frame.src}{frame.dst}"
        if self.steady:
            return max(ready, key=lambda host: hash_text(key + host.ip))
        return ready[hash_text(key) % len(ready)]

    def probe(self) -> None:
        """Asks every process whether it is ready."""
        for host in self.hosts.values():
            node = host.node
            well = node is not None and not host.frozen and node.is_ready
            host.misses = 0 if well else host.misses + 1


def hash_text(text: str) -> int:
    """Returns a hash that is the same in every run."""
    return random.Random(text).getrandbits(32)
