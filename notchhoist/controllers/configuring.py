"""Configuration and host list: read by a few, relayed to all.

In each availability zone a few balancers, the watchers, hold reads at the
platform. A watcher pushes what is new to the balancers of its zone and to the
agents of the changed services there. Everybody also asks one balancer every
now and then for what came after its own revision, which repairs lost pushes
and cuts. The highest revision wins everywhere.
"""

import random
from collections.abc import Callable, Iterable

import attrs
from returns.result import Success

from notchhoist import documents, model, parts
from notchhoist.blackboards import ConfigBoard, Count, Counters

WATCHERS_PER_ZONE = 2
WATCH_S = 30.0
READ_PAUSE_S = 0.5
"""Time between two reads of one watcher at the least, seconds."""

ASK_S = 1.5
"""Time between two questions to peers, seconds, give or take a half."""

START_ASK_S = 0.2
"""The same for a process that has no configuration yet, seconds."""

HOSTS_S = 2.0
LEAVING_LEASE_S = 20.0
"""Word that a host is leaving is void when nobody repeats it this long."""

LONELY_S = 8.0
"""A process that hears from nobody this long reads the platform itself."""

START_READ_SPREAD_S = 2.0
"""Where peers are known, first reads are spread over this time, seconds."""

ZONE_PREFERENCE = 0.8


@attrs.define
class ConfigKeeper:
    """Keeps the configuration in force at one process.

    Attributes:
        board: What the process knows of configuration and platform.
        counters: The process's counters.
        outbox: Where effects go.
        peer: The process's own peer endpoint.
        host: Name of the process's host.
        may_watch: The process is a balancer.
        rng: Source of every draw.
        on_change: Called after a revision came into force.
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
        """Spreads first reads where peers can be asked meanwhile."""
        if self.board.seeds:
            delay = self.rng.uniform(0.0, START_READ_SPREAD_S)
            self.board.next_read_at = self.board.started_at + delay

    def tick(self, now: float) -> None:
        """Does what is due: reads, questions and refreshes."""
        self._expire_leaving(now)
        self._read_if_due(now)
        if self.is_watcher() and not self.board.hosts_pending:
            self._read_hosts_if_due(now)
        if now >= self.board.next_ask_at:
            gap = ASK_S if self.board.store.revision else START_ASK_S
            self.board.next_ask_at = now + gap * self.rng.uniform(0.5, 1.5)
            self._ask_somebody()

    def is_watcher(self) -> bool:
        """Tells whether this process holds reads at the platform."""
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
            self._read(now, wait_s=WATCH_S)
        elif now - board.fresh_at > LONELY_S:
            board.next_read_at = now + LONELY_S * self.rng.uniform(0.5, 1.5)
            self._read(now, wait_s=0.0)

    def _read(self, now: float, wait_s: float) -> None:
        board = self.board
        board.read_pending = True
        board.next_read_at = max(board.next_read_at, now + READ_PAUSE_S)
        self.counters[Count.PLATFORM_READS] += 1
        self.outbox.append(
            model.ReadConfiguration(board.store.revision, wait_s)
        )

    def _read_hosts_if_due(self, now: float) -> None:
        if now < self.board.next_hosts_at:
            return
        self.board.next_hosts_at = now + HOSTS_S
        self.board.hosts_pending = True
        self.counters[Count.PLATFORM_READS] += 1
        self.outbox.append(model.ReadHosts())

    def _ask_somebody(self) -> None:
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
        near = [host.peer for host in hosts if host.zone == self.board.zone]
        everywhere = [host.peer for host in hosts]
        prefer_near = near and self.rng.random() < ZONE_PREFERENCE
        candidates = near if prefer_near else everywhere
        others = [peer for peer in candidates if peer != self.peer]
        others = others or [s for s in self.board.seeds if s != self.peer]
        return self.rng.choice(others) if others else None

    def on_read(self, event: model.ConfigurationRead, now: float) -> None:
        """Takes the platform's answer."""
        self.board.read_pending = False
        if event.failed:
            self.counters[Count.PLATFORM_FAILURES] += 1
            self.board.next_read_at = now + self.rng.uniform(0.5, 1.5)
            return
        self.board.fresh_at = now
        if event.document:
            self._take_document(event.document, now)

    def _take_document(self, text: bytes, now: float) -> None:
        result = documents.parse_configuration(text)
        if not isinstance(result, Success):
            self._refuse(result.failure())
            return
        document = self._scoped(result.unwrap())
        before = self.board.store.revision
        if document.revision == before and self._differs(document):
            self._refuse(_conflict(document))
        if not self.board.store.adopt(document):
            return
        self._note_change(before, now)

    def _scoped(self, document: model.Configuration) -> model.Configuration:
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

    def _refuse(self, refused: model.ConfigurationRefusedError) -> None:
        self.board.refused = refused
        self.counters[Count.CONFIG_REFUSED] += 1

    def _note_change(self, before: int, now: float) -> None:
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
        whole = self._difference(before, "", "")
        for host in store.balancers:
            if host.zone == self.board.zone and host.peer != self.peer:
                self.outbox.append(model.SendPeer(host.peer, whole))
        for service in store.since(before).services:
            self._push_service(service, before)

    def _push_service(self, service: model.Service, before: int) -> None:
        watched = {host.zone for host in self.board.store.balancers}
        for server in service.servers:
            if server.zone == self.board.zone or server.zone not in watched:
                message = self._difference(before, service.name, server.zone)
                self.outbox.append(model.SendPeer(server.agent, message))

    def _difference(
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

    def on_ask(
        self, sender: model.Endpoint, ask: model.ConfigAsk, now: float
    ) -> None:
        """Answers a peer that asks for what came after its revision."""
        mine = self.board.store.revision
        if self.board.service not in ("", ask.service):
            return
        if ask.revision > mine and not ask.service:
            self._ask_back(sender, mine)
        reply = self._difference(min(ask.revision, mine), ask.service, ask.zone)
        self.outbox.append(model.SendPeer(sender, reply))

    def _ask_back(self, sender: model.Endpoint, mine: int) -> None:
        ask = model.ConfigAsk(mine, self.board.service, "")
        self.outbox.append(model.SendPeer(sender, ask))

    def on_difference(self, message: model.ConfigDiff, now: float) -> None:
        """Takes what a peer says has changed."""
        if message.service not in ("", self.board.service):
            self.counters[Count.MISDIRECTED] += 1
            return
        self.board.fresh_at = now
        if message.revision <= self.board.store.revision:
            return
        difference = self._decoded(message)
        before = self.board.store.revision
        if difference is not None and self.board.store.apply(difference):
            self._note_change(before, now)

    def _decoded(self, message: model.ConfigDiff) -> parts.Difference | None:
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
            self._refuse(
                model.ConfigurationRefusedError(message.revision, problems)
            )
            return None
        return parts.Difference(
            revision=message.revision,
            base=message.base,
            services=tuple(self._in_scope(s.unwrap() for s in services)),
            removed=tuple(message.removed),
            balancers=balancers.unwrap(),
        )

    def _in_scope(
        self, services: Iterable[model.Service]
    ) -> Iterable[model.Service]:
        wanted = self.board.service
        return (item for item in services if wanted in ("", item.name))

    def on_hosts(self, event: model.HostsRead, now: float) -> None:
        """Takes the platform's host list, which lags and may mislead."""
        self.board.hosts_pending = False
        if event.failed:
            self.counters[Count.PLATFORM_FAILURES] += 1
            return
        self._note_leaving(event.leaving, now)
        if event.leaving:
            self._tell_leaving(event.leaving)

    def _tell_leaving(self, names: frozenset[str]) -> None:
        for service in self.board.store.services.values():
            concerned = sorted(
                server.name
                for server in service.servers
                if server.name in names
            )
            if not concerned:
                continue
            for agent in service.agents():
                self.outbox.append(
                    model.SendPeer(agent, model.LeavingHosts(concerned))
                )

    def on_leaving(self, message: model.LeavingHosts, now: float) -> None:
        """Takes a watcher's word on leaving hosts."""
        self._note_leaving(message.names, now)

    def _note_leaving(self, names: Iterable[str], now: float) -> None:
        for name in names:
            self.board.leaving[name] = now

    def _expire_leaving(self, now: float) -> None:
        for name, heard in list(self.board.leaving.items()):
            if now - heard > LEAVING_LEASE_S:
                del self.board.leaving[name]


def _conflict(document: model.Configuration) -> model.ConfigurationRefusedError:
    problem = model.ConfigurationProblem(
        "revision",
        "a higher revision: another document of this revision is in force",
        str(document.revision),
    )
    return model.ConfigurationRefusedError(document.revision, (problem,))
