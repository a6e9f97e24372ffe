"""Model of the platform's routers, which pick a balancer for each packet."""

import random
from collections.abc import Iterable, Mapping

import attrs

from notchhoist.testing.opaque.frames import Frame
from notchhoist.testing.opaque.hosts import MAX_FAILED_PROBES, Host

PROBE_S = 0.5
"""Interval of the readiness probes, seconds."""


@attrs.define(eq=False)
class Routers:
    """Forward each packet to a balancer, if possible in the caller's zone.

    Attributes:
        hosts: Hosts by IP number.
        steady: Hash consistently: when a balancer joins or leaves, only its
            flows move. Otherwise nearly all flows move.
    """

    hosts: Mapping[str, Host]
    steady: bool = False

    def _entries(self) -> Iterable[Host]:
        return (host for host in self.hosts.values() if not host.service)

    def route(self, zone: str, frame: Frame) -> Host | None:
        """Returns the balancer that gets a caller's packet.

        The ready balancers of the caller's zone share the flows. If none is
        ready, the ready ones of all zones do. If fewer than half of the zone
        are ready, all balancers of the zone do, ready or not.
        """
        entries = list(self._entries())
        local = [host for host in entries if host.zone == zone] or entries
        ready = [
            host for host in local if host.failed_probes < MAX_FAILED_PROBES
        ]
        if not ready and local is not entries:
            ready = [
                host
                for host in entries
                if host.failed_probes < MAX_FAILED_PROBES
            ]
        elif len(ready) * 2 < len(local):
            ready = local
        if not ready:
            return None
        key = f"{frame.src}{frame.dst}"
        if self.steady:
            return max(ready, key=lambda host: hash_text(key + host.ip))
        return ready[hash_text(key) % len(ready)]

    def probe(self) -> None:
        """Probes the readiness of every process."""
        for host in self.hosts.values():
            node = host.node
            passed = node is not None and not host.frozen and node.is_ready
            host.failed_probes = 0 if passed else host.failed_probes + 1


def hash_text(text: str) -> int:
    """Returns a hash that is the same in every run."""
    return random.Random(text).getrandbits(32)
