"""Membership of the balancers and selection of those that read the store.

The platform does not publish which balancers there are. A process knows a few
seeds from its settings and learns of others by gossip. All balancers select the
readers by the same rule, from those that are alive and that the store answers.
"""

import zlib
from collections.abc import Sequence

from msgspec import Struct, field

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.messages import Member
from notchhoist.flows.published.query_schedule import MIN_READERS

MEMBERS_PER_READER = 64
"""One more reader for each so many balancers: each sends two queries a second,
and 130 queries a second take a reader 1% of a core."""

ALIVE_TIMEOUT_S = 2.2
"""A balancer that was heard within this time counts as alive, seconds. Each
reader is queried once a second, and one response may be lost."""

MAX_MEMBERS_SENT = 16
READERS_SENT = 4
"""Members that are always sent as they read the store or are the next to do so.
If the store answers few balancers, these are not among the first by rank."""

FORGET_AFTER_S = 60.0
"""A balancer that was not heard for so long is removed, seconds."""


class Membership(Struct, eq=False):
    """The known balancers and their state.

    Attributes:
        board: This balancer's blackboard.
        link_mbps: Bandwidth of its host's link, Mbit/s.
        last_heard: When each other balancer was last heard, seconds, by host.
        link_mbps_by_host: Bandwidth of their hosts' links, Mbit/s, by host.
        unserved: Hosts of those whose last call the store has not answered.
    """

    board: BalancerBoard
    link_mbps: int = 0
    last_heard: dict[str, float] = field(default_factory=dict)
    link_mbps_by_host: dict[str, int] = field(default_factory=dict)
    unserved: set[str] = field(default_factory=set)

    def on_member(self, member: Member, now: float) -> None:
        """Applies what a balancer reports of itself or of another one."""
        if member.host == self.board.host:
            return
        heard_at = now - member.age_ms / 1000
        if heard_at < self.last_heard.get(member.host, float("-inf")):
            return
        self.last_heard[member.host] = heard_at
        self.link_mbps_by_host[member.host] = member.link_mbps
        if member.unserved:
            self.unserved.add(member.host)
        else:
            self.unserved.discard(member.host)

    def on_message(self, host: str, now: float) -> None:
        """Records that a message of another balancer has arrived."""
        self.last_heard[host] = now

    def alive(self, now: float) -> list[str]:
        """Returns the hosts of the balancers that are alive, readers first."""
        return sorted(self._alive(now), key=self._reader_rank)

    def _alive(self, now: float) -> set[str]:
        heard = self.last_heard.items()
        hosts = {host for host, at in heard if now - at < ALIVE_TIMEOUT_S}
        return {*hosts, self.board.host}

    def is_unserved(self, host: str) -> bool:
        """Returns whether the store has not answered a balancer's last call."""
        if host == self.board.host:
            return self.board.store_failed_at > self.board.store_answered_at
        return host in self.unserved

    def _reader_rank(self, host: str) -> tuple[bool, int, int, str]:
        return (self.is_unserved(host), *self._rank(host))

    def _rank(self, host: str) -> tuple[int, int, str]:
        """Returns a sort key that is the same everywhere, fast links first.

        A full configuration takes a link of 5 Mbit/s 0.7 s, and packets of
        flows are queued behind it.
        """
        own = host == self.board.host
        link = self.link_mbps if own else self.link_mbps_by_host.get(host, 0)
        return (-link, zlib.crc32(host.encode()), host)

    def is_reader(self, now: float) -> bool:
        """Returns whether this balancer is one of the readers of the store."""
        alive = self.alive(now)
        count = MIN_READERS + len(alive) // MEMBERS_PER_READER
        return self.board.host in alive[:count]

    def members_to_send(self, now: float) -> tuple[Member, ...]:
        """Returns the members to send: this balancer, readers, then others.

        The others are ordered by ``_rank``, which ignores whether the store
        answers them, so that members that cannot read it are reported too.
        """
        readers = self.alive(now)[:READERS_SENT]
        others = sorted(self._alive(now), key=self._rank)
        hosts = dict.fromkeys([self.board.host, *readers, *others])
        chosen = list(hosts)[:MAX_MEMBERS_SENT]
        return tuple(self._member(host, now) for host in chosen)

    def _member(self, host: str, now: float) -> Member:
        unserved = self.is_unserved(host)
        if host == self.board.host:
            return Member(host, self.link_mbps, unserved=unserved)
        age_ms = int((now - self.last_heard[host]) * 1000)
        return Member(
            host, self.link_mbps_by_host.get(host, 0), age_ms, unserved
        )

    def other_hosts(self, seeds: Sequence[str]) -> list[str]:
        """Returns the hosts of other balancers, heard of lately or seeds.

        Args:
            seeds: Hosts of the balancers that the settings name.
        """
        hosts = [*self.last_heard, *seeds]
        return [host for host in hosts if host != self.board.host]

    def sweep(self, now: float) -> None:
        """Removes balancers that were not heard for long."""
        heard = list(self.last_heard.items())
        for host in [host for host, at in heard if now - at > FORGET_AFTER_S]:
            del self.last_heard[host]
            self.link_mbps_by_host.pop(host, None)
            self.unserved.discard(host)
