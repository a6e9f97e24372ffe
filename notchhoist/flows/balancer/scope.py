"""Whom a balancer asks for a flow that it does not know.

First the agents of the likely service, then of every service that the route
names. Where routes split, or did while a flow may live, a flow's service cannot
be told from today's weights, nor from today's routes by a balancer that has
just started: then all agents of the platform are asked before a flow is dead.
"""

from collections.abc import Iterable

from msgspec import Struct

from notchhoist.flows.balancer.evidence import Evidence
from notchhoist.flows.boards.balancer_board import BalancerBoard, Search
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment
from notchhoist.flows.published.reroutings import may_hold_others

WIDE_HEADS_MAX = 100_000
"""Questions under way about single flows to agents of services that their
routes do not name. At 34 bytes each they take a link of 100 Mbit/s 0.3 s; with
4,300 servers they are about 23 flows, and more are left to the caller's next
copy."""


class SearchScope(Struct, eq=False):
    """Chooses the agents that are asked.

    Attributes:
        board: What the balancer knows.
        evidence: Says which agents may hold flows of a service.
        wide_heads: Questions under way that ``WIDE_HEADS_MAX`` bounds.
    """

    board: BalancerBoard
    evidence: Evidence
    wide_heads: int = 0

    def services(self, likely: str, segment: Segment) -> tuple[str, ...]:
        """Returns the services that a packet's route names, one first.

        Args:
            likely: The service that most likely holds its flow. One that the
                route does not name has taken over the address of the flow's
                server, or was named before.
            segment: The packet.
        """
        table = self.board.table
        route = table.routes.get(segment.service_key) if table else None
        if route is None or not self.board.uses.splits:
            return (likely,)
        named = route.services
        first = likely if likely in named else named[0]
        return tuple(dict.fromkeys((first, *named)))

    def tags_of(self, hosts: Iterable[str]) -> dict[str, int]:
        """Returns the tags that agents are asked under, by host.

        Each is that of the service beside it: under another an agent that has
        started lately would deny flows that its server holds.
        """
        by_host = self.board.by_host
        return {host: by_host[host].tag for host in hosts if host in by_host}

    def unasked(self, search: Search) -> dict[str, int]:
        """Returns agents of the search's services to ask, with their tags."""
        tags = self.tags_of(self.evidence.hosts_of(search.services))
        asked = search.asked
        return {
            host: tag for host, tag in tags.items() if asked.get(host) != tag
        }

    def widen(self, search: Search, now: float) -> dict[str, int]:
        """Adds the other services of the platform where they may hold a flow.

        Returns:
            Their agents to ask, with their tags.
        """
        if search.partial or not self._may_be_elsewhere(now):
            return {}
        # An upper bound: to list the agents of a large platform for each of
        # many searches would hold the process up.
        most = len(self.board.by_host) - len(search.asked)
        if self.wide_heads + most > WIDE_HEADS_MAX:
            search.partial = True
            return {}
        every = (*search.services, *self.board.by_service)
        search.services = tuple(dict.fromkeys(every))
        fresh = self.unasked(search)
        if fresh:
            self.board.records.counters[Count.ASKED_WIDELY] += 1
        self.wide_heads += len(fresh)
        search.wide += len(fresh)
        return fresh

    def _may_be_elsewhere(self, now: float) -> bool:
        return self.board.uses.splits and may_hold_others(self.board, now)

    def on_ended(self, search: Search) -> None:
        """Takes account of a search that has ended."""
        self.wide_heads -= search.wide
