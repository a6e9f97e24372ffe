"""Routers that forward callers' packets to ready balancers."""

import zlib

import attrs

from notchhoist.daemon.http_call import HttpClient
from notchhoist.daemon.loop import Loop
from notchhoist.testing.soak import addresses
from notchhoist.testing.soak.daemons import Daemon

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.4
MAX_MISSES = 2


@attrs.define(eq=False)
class _ProbedBalancer:
    """A balancer and the state of its readiness probe."""

    daemon: Daemon
    client: HttpClient
    misses: int = MAX_MISSES
    probing: bool = False


@attrs.define(eq=False)
class Routers:
    """Picks a balancer for each packet by a hash over the ready ones.

    Attributes:
        loop: The event loop.
        entries: The balancers with their probe state.
    """

    loop: Loop
    entries: list[_ProbedBalancer] = attrs.Factory(list)

    def add(self, daemon: Daemon) -> None:
        """Adds a balancer, which counts as not ready until a probe succeeds."""
        address = (daemon.bound_ip, addresses.READY_PORT)
        self.entries.append(
            _ProbedBalancer(daemon, HttpClient(self.loop, address))
        )

    def probe(self) -> None:
        """Probes the readiness of every balancer, now and periodically."""
        for entry in self.entries:
            if not entry.probing:
                self._probe_one(entry)
        self.loop.call_later(PROBE_INTERVAL_S, self.probe)

    def _probe_one(self, entry: _ProbedBalancer) -> None:
        entry.probing = True

        def on_done(status: int, _: bytes) -> None:
            entry.probing = False
            entry.misses = 0 if status == 200 else entry.misses + 1

        def on_failed(_: str) -> None:
            entry.probing = False
            entry.misses += 1

        entry.client.get("/ready", PROBE_TIMEOUT_S, on_done, on_failed)

    def all_ready(self) -> bool:
        """Tells whether the last probe of every balancer succeeded."""
        return all(entry.misses == 0 for entry in self.entries)

    def pick(self, zone: str, flow_key: str) -> Daemon | None:
        """Returns the balancer for a packet, or None if none is ready.

        Ready balancers of the caller's zone are preferred. If fewer than half
        of the zone's balancers are ready, all of the zone are used; if none is,
        the ready ones of all zones.

        Args:
            zone: Availability zone of the caller.
            flow_key: Addresses and ports of the flow, the hash key.
        """
        local = [item for item in self.entries if item.daemon.zone == zone]
        ready = [item for item in local if item.misses < MAX_MISSES]
        if not ready:
            ready = [item for item in self.entries if item.misses < MAX_MISSES]
        elif len(ready) * 2 < len(local):
            ready = local
        if not ready:
            return None
        return ready[zlib.crc32(flow_key.encode()) % len(ready)].daemon
