"""Which balancers there are, and which of them read the platform's store.

Nobody publishes who they are: a process knows a few from its settings and hears
of more by asking. All choose the readers alike, from those that are alive and
that the store answers.
"""

import zlib
from collections.abc import Sequence

from msgspec import Struct, field

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.messages import Member
from notchhoist.flows.published.asking import READERS

MEMBERS_A_READER = 64
"""One more reader for each so many balancers: each asks twice a second, and
130 questions a second take a reader 1% of a core."""

ALIVE_S = 2.2
"""A balancer that was heard within this time is alive: each reader is asked
once a second, and one answer may be lost."""

MEMBERS_TOLD = 16
READERS_TOLD = 4
"""Members told of because they read or are the next to: where the store answers
few, these are not among the first by rank."""

FORGET_S = 60.0
"""A balancer that was not heard for so long is forgotten."""


class Membership(Struct, eq=False):
    """The balancers that are known, and how each of them fares.

    Attributes:
        board: What this balancer knows.
        link_mbps: What its host's link carries, Mbit/s.
        heard: When each other balancer was last heard, by host.
        links: What their links carry.
        unserved: Those whose last call the store has not answered.
    """

    board: BalancerBoard
    link_mbps: int = 0
    heard: dict[str, float] = field(default_factory=dict)
    links: dict[str, int] = field(default_factory=dict)
    unserved: set[str] = field(default_factory=set)

    def on_heard(self, member: Member, now: float) -> None:
        """Takes what a balancer says of itself, or what another says of it."""
        if member.host == self.board.host:
            return
        heard_at = now - member.age_ms / 1000
        if heard_at < self.heard.get(member.host, float("-inf")):
            return
        self.heard[member.host] = heard_at
        self.links[member.host] = member.link_mbps
        if member.unserved:
            self.unserved.add(member.host)
        else:
            self.unserved.discard(member.host)

    def on_message(self, host: str, now: float) -> None:
        """Takes account of a message of another balancer."""
        self.heard[host] = now

    def alive(self, now: float) -> list[str]:
        """Returns the balancers that are alive, the readers first."""
        return sorted(self._alive(now), key=self._reading_rank)

    def _alive(self, now: float) -> set[str]:
        heard = self.heard.items()
        hosts = {host for host, at in heard if now - at < ALIVE_S}
        return {*hosts, self.board.host}

    def is_unserved(self, host: str) -> bool:
        """Tells whether the store has not answered a balancer's last call."""
        if host == self.board.host:
            return self.board.store_failed_at > self.board.store_answered_at
        return host in self.unserved

    def _reading_rank(self, host: str) -> tuple[bool, int, int, str]:
        return (self.is_unserved(host), *self._rank(host))

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

    def told(self, now: float) -> tuple[Member, ...]:
        """Returns what others are told: this balancer, and the first others.

        By their rank alone but for the readers, so that word of those that
        cannot read gets round.
        """
        readers = self.alive(now)[:READERS_TOLD]
        others = sorted(self._alive(now), key=self._rank)
        hosts = dict.fromkeys([self.board.host, *readers, *others])
        told = list(hosts)[:MEMBERS_TOLD]
        return tuple(self._member(host, now) for host in told)

    def _member(self, host: str, now: float) -> Member:
        unserved = self.is_unserved(host)
        if host == self.board.host:
            return Member(host, self.link_mbps, unserved=unserved)
        age_ms = int((now - self.heard[host]) * 1000)
        return Member(host, self.links.get(host, 0), age_ms, unserved)

    def others(self, seeds: Sequence[str]) -> list[str]:
        """Returns every other balancer that was heard of lately or is a seed.

        Args:
            seeds: Those that the settings name.
        """
        hosts = [*self.heard, *seeds]
        return [host for host in hosts if host != self.board.host]

    def sweep(self, now: float) -> None:
        """Forgets balancers that have long been silent."""
        heard = list(self.heard.items())
        for host in [host for host, at in heard if now - at > FORGET_S]:
            del self.heard[host]
            self.links.pop(host, None)
            self.unserved.discard(host)
