"""A balancer's controller for what balancers tell each other.

A few of them read the platform's store, chosen alike by all from those that
are alive; the others hear of changes from these. Nobody publishes who they
are: a process knows a few from its settings and hears of more by asking.
"""

import zlib
from collections.abc import Iterable

from msgspec import Struct, field
from msgspec.structs import replace

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import Member, ViewAsk, ViewTell
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.published.fleet_keeper import FleetKeeper

READERS = 2
"""Balancers that read the store, so that one may be lost unnoticed."""

MEMBERS_A_READER = 64
"""One more reader for each so many balancers: each asks twice a second, and
130 questions a second take a reader 1% of a core."""

ASK_S = 0.5
"""Time between two questions, to the first two readers in turn, seconds."""

ALIVE_S = 2.2
"""A balancer that was heard within this time is alive: each reader is asked
once a second, and one answer may be lost."""

FRESH_S = 2.7
"""What was confirmed within this time need not be read again, seconds, where a
change must be in force within 3 s: above the 2 s that a reader's watch may
last and the half second until it is asked."""

FRESH_SHARE = 0.9
"""The same as a share of the bound."""

ASKED_WIDELY = 6
"""Balancers that are asked at once by one that hears no agent."""

MEMBERS_TOLD = 16
RECORDS_A_PART = 12
"""Routes and servers in one message: about 1,100 bytes at 90 bytes each."""

MEND_EVERY_S = 5.0
"""Least time between two questions for everything because views differ,
seconds: a configuration of 1,600 routes fills a link of 5 Mbit/s for 0.7 s."""

RECORDS = (
    "evacuated",
    "returned",
    "cold_bounds",
    "routes",
    "servers",
    "removed_routes",
    "removed_servers",
)
"""Fields of a change that hold records."""

PARTS_KEPT_S = 1.0
FORGET_S = 60.0
"""A balancer that was not heard for so long is forgotten."""


class _Parts(Struct, eq=False):
    """The parts of one view that have come so far."""

    total: int
    since: float
    by_number: dict[int, ViewChange] = field(default_factory=dict)


class ViewSharer(Struct, eq=False):
    """Asks, answers and pushes what the platform has published.

    Attributes:
        board: What the balancer knows.
        fleet: Takes what is new.
        seeds: Hosts of some balancers, from the settings.
        link_mbps: What this host's link carries, Mbit/s.
        fresh_s: What was confirmed within this time need not be read again.
        members: When each balancer was last heard, by host.
        links: What their links carry.
        askers: When each balancer last asked, and the revision it has.
        confirmed_at: When the platform last confirmed what is known, seconds.
        pushed: Revision that the askers were last told.
        ask_due: When to ask next, seconds.
        turn: Counts the questions.
        mend_due: When a whole view may be asked for again, seconds.
        heard_at: When any other balancer was last heard, seconds.
        incoming: Parts of views, by sender and revision.
    """

    board: BalancerBoard
    fleet: FleetKeeper
    seeds: tuple[str, ...]
    link_mbps: int = 0
    fresh_s: float = FRESH_S
    members: dict[str, float] = field(default_factory=dict)
    links: dict[str, int] = field(default_factory=dict)
    askers: dict[str, tuple[float, int]] = field(default_factory=dict)
    confirmed_at: float = float("-inf")
    pushed: int = 0
    ask_due: float = 0.0
    turn: int = 0
    mend_due: float = float("-inf")
    heard_at: float = float("-inf")
    incoming: dict[tuple[str, int], _Parts] = field(default_factory=dict)

    def alive(self, now: float) -> list[str]:
        """Returns the balancers that are alive, the readers first."""
        hosts = {
            host for host, at in self.members.items() if now - at < ALIVE_S
        }
        hosts.add(self.board.host)
        return sorted(hosts, key=self._rank)

    def _rank(self, host: str) -> tuple[int, int, str]:
        """Orders balancers alike everywhere, those with wide links first.

        A whole configuration takes 0.7 s over a link of 5 Mbit/s, and packets
        of flows wait behind it.
        """
        own = host == self.board.host
        link = self.link_mbps if own else self.links.get(host, 0)
        return (-link, zlib.crc32(host.encode()), host)

    def is_reader(self, now: float) -> bool:
        """Tells whether this balancer is one of those that read the store."""
        alive = self.alive(now)
        count = READERS + len(alive) // MEMBERS_A_READER
        return self.board.host in alive[:count]

    def must_read(self, now: float) -> bool:
        """Tells whether to read the store now."""
        fresh = now - self.confirmed_at < self.fresh_s
        few = self.board.uses.few_readers and self.board.fleet_known
        return not fresh or not few or self.is_reader(now)

    def on_confirmed(self, now: float) -> None:
        """Notes that the platform has just confirmed what is known."""
        self.confirmed_at = now
        self._push(now)

    def on_ask(self, host: str, ask: ViewAsk, now: float) -> None:
        """Answers another balancer."""
        self.members[host] = self.heard_at = now
        self.links[host] = ask.link_mbps
        self.askers[host] = (now, ask.revision)
        self._tell(host, ask.revision, now)

    def _tell(self, host: str, revision: int, now: float) -> None:
        members = tuple(
            self._member(member, now)
            for member in self.alive(now)[:MEMBERS_TOLD]
        )
        age_s = now - self.confirmed_at
        if not self.board.fleet_known:
            return
        pieces = split(self.board.view.since(revision))
        for number, piece in enumerate(pieces):
            tell = ViewTell(piece, age_s, members, number, len(pieces))
            self.board.outbox.append(SendPeer(host, tell))

    def _member(self, host: str, now: float) -> Member:
        if host == self.board.host:
            return Member(host, self.link_mbps)
        age_ms = int((now - self.members[host]) * 1000)
        return Member(host, self.links.get(host, 0), age_ms)

    def _push(self, now: float) -> None:
        """Tells the askers of a change before they ask again."""
        if self.board.view.revision == self.pushed:
            return
        self.pushed = self.board.view.revision
        for host, (asked_at, revision) in list(self.askers.items()):
            if now - asked_at < ALIVE_S:
                self._tell(host, revision, now)
                self.askers[host] = (asked_at, self.pushed)
            else:
                del self.askers[host]

    def on_tell(self, host: str, tell: ViewTell, now: float) -> None:
        """Takes what another balancer knows."""
        self.members[host] = self.heard_at = now
        for member in tell.members:
            heard_at = now - member.age_ms / 1000
            known = self.members.get(member.host, float("-inf"))
            self.members[member.host] = max(known, heard_at)
            self.links[member.host] = member.link_mbps
        change = self._whole(host, tell, now)
        if change is None:
            return
        before = self.board.view.revision
        self.fleet.on_change(change, now)
        if change.base <= before:
            at = now - tell.age_s
            self.confirmed_at = max(self.confirmed_at, at)
            self._check(host, change, now)
        self.board.records.counters[Count.VIEWS_TOLD] += 1
        self._push(now)

    def _check(self, host: str, change: ViewChange, now: float) -> None:
        """Asks for everything where differences have not led to the same."""
        view = self.board.view
        if view.revision != change.revision or now < self.mend_due:
            return
        routes = len(view.table.routes) if view.table else 0
        if (routes, len(view.servers), len(view.evacuated)) == (
            change.routes_total,
            change.servers_total,
            change.evacuated_total,
        ):
            return
        self.mend_due = now + MEND_EVERY_S
        self.board.records.decide(
            "view differs",
            b"",
            "asked for everything",
            teller=host,
            revision=change.revision,
            routes=routes,
            routes_there=change.routes_total,
            servers=len(view.servers),
            servers_there=change.servers_total,
            zones=len(view.evacuated),
            zones_there=change.evacuated_total,
        )
        message = ViewAsk(0, self.link_mbps)
        self.board.outbox.append(SendPeer(host, message))

    def _whole(
        self, host: str, tell: ViewTell, now: float
    ) -> ViewChange | None:
        """Returns a view once all its parts have come."""
        if tell.parts == 1:
            return tell.change
        key = (host, tell.change.revision)
        parts = self.incoming.setdefault(key, _Parts(tell.parts, now))
        parts.by_number[tell.part] = tell.change
        if len(parts.by_number) < parts.total:
            return None
        del self.incoming[key]
        return join([parts.by_number[n] for n in range(parts.total)])

    def tick(self, now: float) -> None:
        """Asks one of the readers; forgets what is old."""
        if now < self.ask_due:
            return
        self.ask_due = now + ASK_S
        self.turn += 1
        alive = [host for host in self.alive(now) if host != self.board.host]
        # Before anybody was heard, the settings name some.
        unheard = [host for host in self.seeds if host not in alive]
        seeds = [host for host in unheard if host != self.board.host]
        asked = alive[:READERS] or seeds
        hosts = [asked[self.turn % len(asked)]] if asked else []
        if seeds and self.turn % 4 == 0:
            # Parts of the fleet that have lost each other meet there again.
            hosts.append(seeds[self.turn // 4 % len(seeds)])
        if not self.board.fleet_known:
            hosts = [*asked, *seeds]
        self._ask(hosts)
        for host in [
            h for h, at in self.members.items() if now - at > FORGET_S
        ]:
            del self.members[host]
            self.links.pop(host, None)
        for key, parts in list(self.incoming.items()):
            if now - parts.since > PARTS_KEPT_S:
                del self.incoming[key]

    def _ask(self, hosts: Iterable[str]) -> None:
        for host in dict.fromkeys(hosts):
            message = ViewAsk(self.board.view.revision, self.link_mbps)
            self.board.outbox.append(SendPeer(host, message))

    def _others(self) -> list[str]:
        """Returns every balancer that was heard of lately or is a seed."""
        hosts = [*self.members, *self.seeds]
        return [host for host in hosts if host != self.board.host]

    def knows_others(self) -> bool:
        """Tells whether there are other balancers at all."""
        return bool(self._others())

    def ask_widely(self) -> None:
        """Asks several balancers at once; any answer shows a path."""
        self._ask(self._others()[:ASKED_WIDELY])

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        return self.ask_due


def split(change: ViewChange) -> list[ViewChange]:
    """Cuts a change into parts that fit a datagram each.

    Examples:
        >>> [part.removed_servers for part in split(
        ...     ViewChange(9, removed_servers=("a", "b"))
        ... )]
        [('a', 'b')]
    """
    left = {name: list(getattr(change, name)) for name in RECORDS}
    parts: list[ViewChange] = []
    while any(left.values()) or not parts:
        taken: dict[str, tuple] = {}
        room = RECORDS_A_PART
        for name, records in left.items():
            taken[name] = tuple(records[:room])
            del records[:room]
            room -= len(taken[name])
        parts.append(replace(change, **taken))
    return parts


def join(parts: list[ViewChange]) -> ViewChange:
    """Puts the parts of a change together again."""
    whole = {
        name: tuple(item for part in parts for item in getattr(part, name))
        for name in RECORDS
    }
    return replace(parts[0], **whole)
