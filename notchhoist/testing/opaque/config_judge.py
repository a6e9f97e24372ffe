"""Checks the invariants of the configuration at every balancer."""

import bisect
import json
from collections.abc import Iterator

import attrs

from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.flows.model.digests import routes_digest
from notchhoist.platform.documents import decode_configuration
from notchhoist.testing.opaque.hosts import Host
from notchhoist.testing.opaque.judge import CONTACT_S
from notchhoist.testing.opaque.world import OpaqueWorld

APPLY_S = 3.0
"""Propagation deadline: time from the store's acknowledgement until every
balancer must have applied a configuration, seconds."""

CHECK_INTERVAL_S = 0.02


@attrs.frozen
class Published:
    """A configuration that the store has acknowledged.

    Attributes:
        at: When the store acknowledged it, seconds.
        version: Version of the configuration.
        digest: Digest of its routes.
    """

    at: float
    version: int
    digest: int


@attrs.define(eq=False)
class ConfigurationJudge:
    """Checks every balancer's configuration periodically.

    Attributes:
        world: The simulated world.
        published: The configurations in order of publication.
        disturbed: When the last disturbance of each host ends, seconds.
        newest: Newest version in force by host and process generation.
        broken: Violations, each at most once for a process generation.
        max_lag_s: Greatest age of a published version that a balancer had not
            applied yet, outside of disturbances, seconds.
    """

    world: OpaqueWorld
    published: list[Published] = attrs.Factory(list)
    disturbed: dict[str, float] = attrs.Factory(dict)
    newest: dict[tuple[str, int], int] = attrs.Factory(dict)
    broken: dict[tuple[object, ...], str] = attrs.Factory(dict)
    max_lag_s: float = 0.0

    def start(self) -> None:
        """Checks all balancers now, and again at each interval."""
        self._check()
        self.world.later(CHECK_INTERVAL_S, self.start)

    def publish(self, document: dict[str, object]) -> None:
        """Writes a configuration into the store."""
        table = decode_configuration(json.dumps(document).encode())
        self.world.store.put("op/config", document)
        digest = routes_digest(table.routes.values())
        known = Published(self.world.now, table.version, digest)
        self.published.append(known)

    def disturb(self, ip: str, for_s: float = 0.0) -> None:
        """Records that a host is disturbed for a time, seconds."""
        until = self.world.now + for_s
        self.disturbed[ip] = max(self.disturbed.get(ip, until), until)

    def is_in_touch(self, ip: str) -> bool:
        """Tells whether deadlines hold for a host."""
        since = self.world.now - self.disturbed.get(ip, float("-inf"))
        return since >= CONTACT_S

    def _check(self) -> None:
        for host in self.world.hosts.values():
            if isinstance(host.node, BalancerNode) and not host.frozen:
                for fault, subject, detail in self._violations(host, host.node):
                    key = (fault, host.ip, host.generation, subject)
                    text = f"{self.world.now:.3f} {fault} {host.ip}: {detail}"
                    self.broken.setdefault(key, text)

    def _violations(
        self, host: Host, node: BalancerNode
    ) -> Iterator[tuple[str, int, str]]:
        """Yields the current violations: rule, version and detail."""
        board, now = node.board, self.world.now
        version = board.table.version if board.table else 0
        newest = self._newest_at(board.confirmed_at)
        if newest is not None and newest.version > version:
            detail = f"{newest.version} was published when {version} was sure"
            yield "UNTRUE", newest.version, detail
        process = (host.ip, host.generation)
        if version < self.newest.get(process, 0):
            yield "BACK", version, f"{version} after {self.newest[process]}"
        self.newest[process] = max(version, self.newest.get(process, 0))
        if not version:
            return
        [current] = [item for item in self.published if item.version == version]
        if board.view.digest != current.digest:
            yield "OTHER", version, f"{version} has other routes"
        if not self.is_in_touch(host.ip):
            return
        next_index = self.published.index(current) + 1
        if next_index < len(self.published):
            late_s = now - self.published[next_index].at
            self.max_lag_s = max(self.max_lag_s, late_s)
            if late_s > APPLY_S:
                missed = self.published[next_index].version
                yield "LATE", missed, f"{missed} after {late_s:.3f} s"

    def _newest_at(self, when: float) -> Published | None:
        """Returns the newest configuration published before a time."""
        count = bisect.bisect_left(self.published, when, key=lambda p: p.at)
        return self.published[count - 1] if count else None
