"""Selects the agents that a balancer queries about an unknown flow.

The agents of the most likely service come first, then those of every service
that the route names. While any route splits, or if one did within the lifetime
of a flow, the current weights do not determine the flow's service; to a
balancer that has just started, neither do the current routes. In these cases
the agents of all other services that may have the flow are queried before it is
considered dead.
"""

from collections.abc import Iterable

from msgspec import Struct

from notchhoist.flows.balancer.absence import AbsenceChecker
from notchhoist.flows.boards.balancer_board import BalancerBoard, Search
from notchhoist.flows.decisions import server_selection
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment
from notchhoist.flows.published.reroutings import (
    has_rerouted,
    knows_reroutes,
)

WIDE_QUERIES_MAX = 100_000
"""Maximum number of flow headers in pending queries to agents of services that
the flows' routes do not name. At 34 bytes each, 100,000 headers occupy a
100 Mbit/s link for 0.3 s. With 4,300 servers they cover about 23 flows; further
flows are searched for again on the caller's next retransmission."""


class SearchScope(Struct, eq=False):
    """Selects the agents to query.

    Attributes:
        board: State of the balancer.
        absence: Knows which agents may have flows of a service.
        wide_queries: Number of pending headers limited by
            ``WIDE_QUERIES_MAX``.
    """

    board: BalancerBoard
    absence: AbsenceChecker
    wide_queries: int = 0

    def candidate_services(
        self, likely: str, segment: Segment
    ) -> tuple[str, ...]:
        """Returns the services of a packet's route, the most likely one first.

        Args:
            likely: The service that most likely holds the flow. If the route
                does not name it, that service has taken over the address of
                the flow's server, or the route named it earlier.
            segment: The packet.
        """
        table = self.board.table
        route = table.routes.get(segment.service_key) if table else None
        if route is None or not self.board.uses.splits:
            return (likely,)
        named = route.services
        first = likely if likely in named else named[0]
        return tuple(dict.fromkeys((first, *named)))

    def likely_hosts(self, service: str, flow: bytes) -> set[str]:
        """Returns the hosts of the servers that a flow was likely placed at."""
        board = self.board
        known = board.by_service.get(service, [])
        likely = server_selection.candidates(flow, known, board.zone)
        if board.view.evacuated:
            others = server_selection.outside_evacuated_zones(
                known, board.view.evacuated
            )
            likely += server_selection.candidates(flow, others, board.zone)
        return {item.entry.host for item in likely if not item.lost}

    def tags_of(self, hosts: Iterable[str]) -> dict[str, int]:
        """Returns the service tags for queries to agents, by host.

        Each is the tag of the service on that host. Under any other tag, an
        agent that has started recently would report flows absent that its
        server holds.
        """
        by_host = self.board.by_host
        return {host: by_host[host].tag for host in hosts if host in by_host}

    def unqueried_agents(self, search: Search, now: float) -> dict[str, int]:
        """Returns the agents of a search still to be queried, with tags."""
        tags = self.tags_of(self.absence.hosts_to_query(search, now))
        asked = search.asked
        return {
            host: tag for host, tag in tags.items() if asked.get(host) != tag
        }

    def is_out_of_scope(self, search: Search, host: str, now: float) -> bool:
        """Tells whether an agent that was queried need not answer any more.

        It is lost, or its server may have belonged to a former service of the
        route and has left.
        """
        server = self.board.by_host.get(host)
        if server is None or server.lost:
            return True
        service = server.entry.service
        if not search.former_services or service in search.services:
            return False
        return host not in self.absence.former_hosts(now).get(service, ())

    def widen(self, search: Search, now: float) -> dict[str, int]:
        """Extends a search to all other services that may have the flow.

        Returns:
            Their agents to query, with their tags.
        """
        board = self.board
        if search.is_truncated or not board.uses.splits:
            return {}
        former: tuple[str, ...] = ()
        if not has_rerouted(board, now):
            former = self._former_services(search, now)
            if not former:
                return {}
        # An upper bound: listing the agents of a large platform for each of
        # many searches would block the process.
        most = len(board.by_host) - len(search.asked)
        if self.wide_queries + most > WIDE_QUERIES_MAX:
            search.is_truncated = True
            return {}
        if former:
            search.former_services = former
        else:
            every = (*search.services, *board.by_service)
            search.services = tuple(dict.fromkeys(every))
        fresh = self.unqueried_agents(search, now)
        if fresh:
            board.records.counters[Count.ASKED_WIDELY] += 1
        self.wide_queries += len(fresh)
        search.widened_by += len(fresh)
        return fresh

    def _former_services(self, search: Search, now: float) -> tuple[str, ...]:
        """Returns services that an earlier route may have named.

        There are none while a named service may have the flow: an agent has not
        answered, or its server has not returned the sample.
        """
        if search.unanswered or search.silent:
            return ()
        if knows_reroutes(self.board, now):
            return ()
        if self.absence.presumes_power_loss(search.services, now):
            return ()
        return tuple(self.absence.former_hosts(now))

    def on_ended(self, search: Search) -> None:
        """Releases the query budget of a search that has ended."""
        self.wide_queries -= search.widened_by
