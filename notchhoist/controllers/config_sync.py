"""Distribution of the configuration and the host list to all processes.

In each availability zone a few balancers, the watchers, read from the
platform by long polling. A watcher pushes each change to the balancers of its
zone, and to the agents of the changed services in its zone and in zones
without a balancer. Every process also queries one balancer periodically for
changes after its own revision; this makes up for lost pushes and for network
partitions. The highest revision wins everywhere.
"""

import random
from collections.abc import Callable, Iterable

import attrs
from returns.result import Success

from notchhoist import documents, model, parts
from notchhoist.blackboards import ConfigBoard, Count, Counters

WATCHERS_PER_ZONE = 2
READ_WAIT_S = 30.0
"""Time that a watcher's read waits at the platform for a change, seconds."""

MIN_READ_INTERVAL_S = 0.5
"""Shortest time between two reads of one process, seconds."""

QUERY_INTERVAL_S = 1.5
"""Mean time between two queries to peers, seconds; it varies by a half."""

START_QUERY_INTERVAL_S = 0.2
"""The same for a process without a configuration, seconds."""

HOSTS_READ_INTERVAL_S = 2.0

LEAVING_LEASE_S = 20.0
"""Time after which an unrepeated report of a leaving host expires, seconds."""

ISOLATED_AFTER_S = 8.0
"""Time without an answer after which a process is isolated, seconds.

It then reads from the platform itself.
"""

START_READ_SPREAD_S = 2.0
"""Time over which first reads are spread if peers are known, seconds."""

LOCAL_ZONE_SHARE = 0.8
"""Share of queries that go to a balancer of the local zone."""


@attrs.define
class ConfigSynchronizer:
    """Keeps the configuration of one process up to date.

    Attributes:
        board: Configuration in force and state of its synchronization.
        counters: Counters of the process.
        outbox: Receives the effects to perform.
        peer: Peer endpoint of the process.
        host: Name of the process's host.
        may_watch: The process is a balancer and may become a watcher.
        rng: Random number generator.
        on_change: Called with the runtime clock after a revision is adopted.
    """

    board: ConfigBoard
    counters: Counters
    outbox: list[model.Effect]
    peer: model.Endpoint
    host: str
    may_watch: bool
    rng: random.Random
    on_change: Callable[[float], None]

    def __attrs_post_init__(self) -> None:
        """Delays the first read at random if peers can be queried meanwhile."""
        if self.board.seeds:
            delay = self.rng.uniform(0.0, START_READ_SPREAD_S)
            self.board.next_read_at = self.board.started_at + delay

    def tick(self, now: float) -> None:
        """Reads from the platform and queries peers when it is time."""
        self._expire_leaving(now)
        self._read_if_due(now)
        if self.is_watcher() and not self.board.hosts_pending:
            self._read_hosts_if_due(now)
        if now >= self.board.next_ask_at:
            interval = (
                QUERY_INTERVAL_S
                if self.board.store.revision
                else START_QUERY_INTERVAL_S
            )
            self.board.next_ask_at = now + interval * self.rng.uniform(0.5, 1.5)
            self._query_peer()

    def is_watcher(self) -> bool:
        """Returns whether this process is a watcher of its zone."""
        return self.may_watch and self.peer in self._watchers()

    def _watchers(self) -> list[model.Endpoint]:
        hosts = [
            host.peer
            for host in self.board.store.balancers
            if host.zone == self.board.zone
            and host.name not in self.board.leaving
        ]
        ranked = parts.rank_nodes(self.board.zone.encode(), hosts)
        return ranked[:WATCHERS_PER_ZONE]

    def _read_if_due(self, now: float) -> None:
        board = self.board
        if board.read_pending or now < board.next_read_at:
            return
        if board.store.revision == 0:
            self._read(now, wait_s=0.0)
        elif self.is_watcher():
            self._read(now, wait_s=READ_WAIT_S)
        elif now - board.fresh_at > ISOLATED_AFTER_S:
            board.next_read_at = now + ISOLATED_AFTER_S * self.rng.uniform(
                0.5, 1.5
            )
            self._read(now, wait_s=0.0)

    def _read(self, now: float, wait_s: float) -> None:
        board = self.board
        board.read_pending = True
        board.next_read_at = max(board.next_read_at, now + MIN_READ_INTERVAL_S)
        self.counters[Count.PLATFORM_READS] += 1
        self.outbox.append(
            model.ReadConfiguration(board.store.revision, wait_s)
        )

    def _read_hosts_if_due(self, now: float) -> None:
        if now < self.board.next_hosts_at:
            return
        self.board.next_hosts_at = now + HOSTS_READ_INTERVAL_S
        self.board.hosts_pending = True
        self.counters[Count.PLATFORM_READS] += 1
        self.outbox.append(model.ReadHosts())

    def _query_peer(self) -> None:
        peer = self._choose_peer()
        if peer is None:
            return
        zone = self.board.zone if self.board.service else ""
        self.outbox.append(
            model.SendPeer(
                peer,
                model.ConfigAsk(
                    self.board.store.revision, self.board.service, zone
                ),
            )
        )

    def _choose_peer(self) -> model.Endpoint | None:
        hosts = self.board.store.balancers
        local = [host.peer for host in hosts if host.zone == self.board.zone]
        all_zones = [host.peer for host in hosts]
        prefer_local = local and self.rng.random() < LOCAL_ZONE_SHARE
        candidates = local if prefer_local else all_zones
        others = [peer for peer in candidates if peer != self.peer]
        others = others or [s for s in self.board.seeds if s != self.peer]
        return self.rng.choice(others) if others else None

    def on_read(self, event: model.ConfigurationRead, now: float) -> None:
        """Handles the result of a configuration read."""
        self.board.read_pending = False
        if event.failed:
            self.counters[Count.PLATFORM_FAILURES] += 1
            self.board.next_read_at = now + self.rng.uniform(0.5, 1.5)
            return
        self.board.fresh_at = now
        if event.document:
            self._adopt_document(event.document, now)

    def _adopt_document(self, text: bytes, now: float) -> None:
        result = documents.parse_configuration(text)
        if not isinstance(result, Success):
            self._record_refusal(result.failure())
            return
        document = self._restrict_to_scope(result.unwrap())
        before = self.board.store.revision
        if document.revision == before and self._differs(document):
            self._record_refusal(_revision_conflict(document))
        if not self.board.store.adopt(document):
            return
        self._on_adopted(before, now)

    def _restrict_to_scope(
        self, document: model.Configuration
    ) -> model.Configuration:
        if not self.board.service:
            return document
        return attrs.evolve(
            document,
            services=tuple(
                service
                for service in document.services
                if service.name == self.board.service
            ),
            balancers=parts.balancers_for(self.board.zone, document.balancers),
        )

    def _differs(self, document: model.Configuration) -> bool:
        in_force = self.board.store.services
        return {item.name: item for item in document.services} != in_force

    def _record_refusal(self, refused: model.ConfigurationRefusedError) -> None:
        self.board.refused = refused
        self.counters[Count.CONFIG_REFUSED] += 1

    def _on_adopted(self, before: int, now: float) -> None:
        self.counters[Count.CONFIG_ADOPTED] += 1
        self.board.revision_at = now
        refused = self.board.refused
        if refused and refused.revision < self.board.store.revision:
            self.board.refused = None
        self.on_change(now)
        if self.is_watcher():
            self._push(before)

    def _push(self, before: int) -> None:
        store = self.board.store
        full = self._encode_difference(before, "", "")
        for host in store.balancers:
            if host.zone == self.board.zone and host.peer != self.peer:
                self.outbox.append(model.SendPeer(host.peer, full))
        for service in store.since(before).services:
            self._push_service(service, before)

    def _push_service(self, service: model.Service, before: int) -> None:
        watched = {host.zone for host in self.board.store.balancers}
        for server in service.servers:
            if server.zone == self.board.zone or server.zone not in watched:
                message = self._encode_difference(
                    before, service.name, server.zone
                )
                self.outbox.append(model.SendPeer(server.agent, message))

    def _encode_difference(
        self, revision: int, service: str, zone: str
    ) -> model.ConfigDiff:
        difference = self.board.store.since(revision, service, zone)
        balancers = difference.balancers
        return model.ConfigDiff(
            revision=difference.revision,
            base=difference.base,
            changed=[documents.write_service(s) for s in difference.services],
            removed=list(difference.removed),
            balancers=(
                b""
                if balancers is None
                else documents.write_balancers(balancers)
            ),
            service=service,
        )

    def on_query(
        self, sender: model.Endpoint, query: model.ConfigAsk, now: float
    ) -> None:
        """Sends a peer the changes after its revision.

        An agent answers for its own service only. A balancer whose revision
        is newer than the local one is queried in turn.
        """
        own_revision = self.board.store.revision
        if self.board.service not in ("", query.service):
            return
        if query.revision > own_revision and not query.service:
            self._query_back(sender, own_revision)
        reply = self._encode_difference(
            min(query.revision, own_revision), query.service, query.zone
        )
        self.outbox.append(model.SendPeer(sender, reply))

    def _query_back(self, sender: model.Endpoint, own_revision: int) -> None:
        query = model.ConfigAsk(own_revision, self.board.service, "")
        self.outbox.append(model.SendPeer(sender, query))

    def on_difference(self, message: model.ConfigDiff, now: float) -> None:
        """Applies the changes that a peer sends."""
        if message.service not in ("", self.board.service):
            self.counters[Count.MISDIRECTED] += 1
            return
        self.board.fresh_at = now
        if message.revision <= self.board.store.revision:
            return
        difference = self._decode_difference(message)
        before = self.board.store.revision
        if difference is not None and self.board.store.apply(difference):
            self._on_adopted(before, now)

    def _decode_difference(
        self, message: model.ConfigDiff
    ) -> parts.Difference | None:
        services = [documents.parse_service(text) for text in message.changed]
        balancers = (
            documents.parse_balancers(message.balancers)
            if message.balancers
            else Success(None)
        )
        failures = [
            item.failure()
            for item in (*services, balancers)
            if not isinstance(item, Success)
        ]
        if failures:
            problems = tuple(p for group in failures for p in group)
            self._record_refusal(
                model.ConfigurationRefusedError(message.revision, problems)
            )
            return None
        return parts.Difference(
            revision=message.revision,
            base=message.base,
            services=tuple(
                self._services_in_scope(s.unwrap() for s in services)
            ),
            removed=tuple(message.removed),
            balancers=balancers.unwrap(),
        )

    def _services_in_scope(
        self, services: Iterable[model.Service]
    ) -> Iterable[model.Service]:
        scope = self.board.service
        return (item for item in services if scope in ("", item.name))

    def on_hosts(self, event: model.HostsRead, now: float) -> None:
        """Handles the result of a host list read.

        The list lags and may be wrong, so it only marks hosts as leaving, and
        each mark expires unless it is repeated.
        """
        self.board.hosts_pending = False
        if event.failed:
            self.counters[Count.PLATFORM_FAILURES] += 1
            return
        self._record_leaving(event.leaving, now)
        if event.leaving:
            self._relay_leaving(event.leaving)

    def _relay_leaving(self, names: frozenset[str]) -> None:
        for service in self.board.store.services.values():
            leaving_names = sorted(
                server.name
                for server in service.servers
                if server.name in names
            )
            if not leaving_names:
                continue
            for agent in service.agents():
                self.outbox.append(
                    model.SendPeer(agent, model.LeavingHosts(leaving_names))
                )

    def on_leaving(self, message: model.LeavingHosts, now: float) -> None:
        """Records the leaving hosts that a watcher reports."""
        self._record_leaving(message.names, now)

    def _record_leaving(self, names: Iterable[str], now: float) -> None:
        for name in names:
            self.board.leaving[name] = now

    def _expire_leaving(self, now: float) -> None:
        for name, reported_at in list(self.board.leaving.items()):
            if now - reported_at > LEAVING_LEASE_S:
                del self.board.leaving[name]


def _revision_conflict(
    document: model.Configuration,
) -> model.ConfigurationRefusedError:
    problem = model.ConfigurationProblem(
        "revision",
        "a higher revision: another document of this revision is in force",
        str(document.revision),
    )
    return model.ConfigurationRefusedError(document.revision, (problem,))
