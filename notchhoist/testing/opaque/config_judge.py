"""What must hold of the configuration at every balancer, at every moment."""

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
"""A configuration is in force so long after its acknowledgement, seconds."""

LOOK_EVERY_S = 0.02


@attrs.frozen
class Published:
    """A configuration that the store has acknowledged.

    Attributes:
        at: When, seconds.
        version: Its version.
        digest: Digest of its routes.
    """

    at: float
    version: int
    digest: int


@attrs.define(eq=False)
class ConfigurationJudge:
    """Looks at every balancer's configuration.

    Attributes:
        world: The world.
        published: The configurations, in their order.
        disturbed: Until when each host was disturbed, seconds.
        newest: Newest version in force in each life of a process.
        broken: What was broken, each fault of a life once.
        oldest_s: How late a configuration came into force at most in calm.
    """

    world: OpaqueWorld
    published: list[Published] = attrs.Factory(list)
    disturbed: dict[str, float] = attrs.Factory(dict)
    newest: dict[tuple[str, int], int] = attrs.Factory(dict)
    broken: dict[tuple[object, ...], str] = attrs.Factory(dict)
    oldest_s: float = 0.0

    def start(self) -> None:
        """Begins to look, again and again."""
        self._look()
        self.world.later(LOOK_EVERY_S, self.start)

    def publish(self, document: dict[str, object]) -> None:
        """Writes a configuration into the store."""
        table = decode_configuration(json.dumps(document).encode())
        self.world.store.put("op/config", document)
        digest = routes_digest(table.routes.values())
        known = Published(self.world.now, table.version, digest)
        self.published.append(known)

    def disturb(self, ip: str, for_s: float = 0.0) -> None:
        """Notes that a host is disturbed for a time."""
        until = self.world.now + for_s
        self.disturbed[ip] = max(self.disturbed.get(ip, until), until)

    def is_in_touch(self, ip: str) -> bool:
        """Tells whether bounds of time hold for a host."""
        since = self.world.now - self.disturbed.get(ip, float("-inf"))
        return since >= CONTACT_S

    def _look(self) -> None:
        for host in self.world.hosts.values():
            if isinstance(host.node, BalancerNode) and not host.frozen:
                for fault, subject, detail in self._faults(host, host.node):
                    key = (fault, host.ip, host.generation, subject)
                    text = f"{self.world.now:.3f} {fault} {host.ip}: {detail}"
                    self.broken.setdefault(key, text)

    def _faults(
        self, host: Host, node: BalancerNode
    ) -> Iterator[tuple[str, int, str]]:
        """Yields the faults that show now: kind, version and detail."""
        board, now = node.board, self.world.now
        version = board.table.version if board.table else 0
        newest = self._newest_at(board.confirmed_at)
        if newest is not None and newest.version > version:
            detail = f"{newest.version} was published when {version} was sure"
            yield "UNTRUE", newest.version, detail
        life = (host.ip, host.generation)
        if version < self.newest.get(life, 0):
            yield "BACK", version, f"{version} after {self.newest[life]}"
        self.newest[life] = max(version, self.newest.get(life, 0))
        if not version:
            return
        [same] = [item for item in self.published if item.version == version]
        if board.view.digest != same.digest:
            yield "OTHER", version, f"{version} has other routes"
        if not self.is_in_touch(host.ip):
            return
        place = self.published.index(same) + 1
        if place < len(self.published):
            late_s = now - self.published[place].at
            self.oldest_s = max(self.oldest_s, late_s)
            if late_s > APPLY_S:
                missed = self.published[place].version
                yield "LATE", missed, f"{missed} after {late_s:.3f} s"

    def _newest_at(self, when: float) -> Published | None:
        """Returns the newest configuration that was published by a time."""
        place = bisect.bisect_left(self.published, when, key=lambda p: p.at)
        return self.published[place - 1] if place else None
