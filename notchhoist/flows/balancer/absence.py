"""Decides when the absence of a flow is proven.

The proof rests on the answers of agents and on what the platform publishes.
"""

from collections.abc import Iterable

from msgspec import Struct, field

from notchhoist.flows.boards.balancer_board import BalancerBoard, Search
from notchhoist.flows.decisions.completeness import (
    began_after,
    has_left,
    have_restarted,
    is_complete,
    is_list_stable,
    is_unpromised,
    presumably_saw_all_flows,
)
from notchhoist.flows.model.messages import FlowsTell
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.records import Count


class AbsenceChecker(Struct, eq=False):
    """Decides whether an unlocated flow may still be at an unknown server.

    Attributes:
        board: State of the balancer.
        complete_by_service: Whether every running server of a service is known.
            Cached for one value of the clock, since hundreds of searches may
            ask at the same time.
        checked_at: Clock value that the cache is valid for, seconds.
        stable_list_since: The ``list_complete_since`` for which the server list
            has become stable; see ``is_list_stable``.
        former_hosts_by_service: Result of ``former_hosts``, cached likewise.
        former_hosts_at: Clock value that this result is valid for, seconds.
    """

    board: BalancerBoard
    complete_by_service: dict[str, bool] = field(default_factory=dict)
    checked_at: float = float("-inf")
    stable_list_since: float = float("-inf")
    former_hosts_by_service: dict[str, set[str]] = field(default_factory=dict)
    former_hosts_at: float = float("-inf")

    def hosts_of(self, services: Iterable[str]) -> set[str]:
        """Returns the hosts whose agents may have flows of some services."""
        by_service = self.board.by_service
        return {
            server.entry.host
            for service in services
            for server in by_service.get(service, ())
            if not server.lost
        }

    def is_complete(self, search: Search, now: float) -> bool:
        """Tells whether every running server is known that may have a flow."""
        services = (*search.services, *search.former_services)
        return all(self._is_complete(service, now) for service in services)

    def _is_complete(self, service: str, now: float) -> bool:
        if now != self.checked_at:
            self.checked_at = now
            self.complete_by_service.clear()
        known = self.complete_by_service.get(service)
        if known is None:
            board = self.board
            known = self.complete_by_service[service] = is_complete(
                board.by_service.get(service, []),
                self.is_list_stable(now),
                board.store_failed_at,
                now,
            )
        return known

    def is_list_stable(self, now: float) -> bool:
        """Tells whether the server list is stable since its last full read.

        A list that was stable once remains so when the store fails later. This
        must be called regularly, since only a call records the stable state.
        """
        board = self.board
        if is_list_stable(
            board.list_complete_since, board.store_failed_at, now
        ):
            self.stable_list_since = board.list_complete_since
        elif not board.uses.resting:
            return False
        return self.stable_list_since == board.list_complete_since

    def presumes_power_loss(self, services: Iterable[str], now: float) -> bool:
        """Tells whether all hosts have presumably just lost power.

        This process has just started, and all servers of some services too. It
        may be wrong, but nothing is promised for flows that pass this process
        yet.
        """
        board = self.board
        if not board.uses.anew:
            return False
        if not is_unpromised(board.started_at, now, board.contact_s):
            return False
        return all(
            have_restarted(board.by_service.get(service, ()))
            for service in services
        )

    def former_hosts(self, now: float) -> dict[str, set[str]]:
        """Returns hosts that may have flows placed by earlier configurations.

        A flow was placed after its server's entry had been created, and so by
        the configuration in force if that is older than the entry. Servers that
        have left hold no flow.

        Returns:
            The hosts by service; services without such a host are left out.
        """
        if now == self.former_hosts_at:
            return self.former_hosts_by_service
        board = self.board
        self.former_hosts_at = now
        written_at = board.view.changed_at.get(None, 0)
        by_service: dict[str, set[str]] = {}
        for service, servers in board.by_service.items():
            hosts = {
                server.entry.host
                for server in servers
                if not server.lost
                and not began_after(server, written_at)
                and not has_left(server, board.store_failed_at, now)
            }
            if hosts:
                by_service[service] = hosts
        self.former_hosts_by_service = by_service
        return by_service

    def hosts_to_query(self, search: Search, now: float) -> set[str]:
        """Returns the hosts whose agents may have the flow of a search."""
        hosts = self.hosts_of(search.services)
        if search.former_services:
            former = self.former_hosts(now)
            for service in search.former_services:
                hosts |= former.get(service, set())
        return hosts

    def interpret_unsure(
        self, host: str, tell: FlowsTell, now: float
    ) -> NoteKind:
        """Returns what an agent's answer that it is unsure of flows proves.

        ``ABSENT`` if the whole service has just restarted and the agent has
        been running since flows could first be placed, so that it has
        presumably seen every flow of its server; otherwise ``UNSURE``.
        """
        board = self.board
        server = board.by_host.get(host)
        if not tell.age_ms or server is None or not board.uses.anew:
            return NoteKind.UNSURE
        started_at = now - tell.age_ms / 1000
        if not self._saw_all_flows(server.entry.service, started_at, now):
            return NoteKind.UNSURE
        board.records.counters[Count.RULED_OUT_BY_AGE] += len(tell.unsure)
        return NoteKind.ABSENT

    def _saw_all_flows(
        self, service: str, started_at: float, now: float
    ) -> bool:
        board = self.board
        return presumably_saw_all_flows(
            board.by_service.get(service, ()),
            started_at,
            board.first_placement_at,
            now,
            board.contact_s,
        )

    def retract_presumptions(self, search: Search, now: float) -> bool:
        """Makes agents unsure again if they are no longer presumed to know.

        A search may last longer than the presumption, and a balancer may learn
        of earlier placements meanwhile.

        Returns:
            Whether there were any such agents.
        """
        if not search.presumed:
            return False
        by_host = self.board.by_host
        hosts = search.presumed.keys() & by_host.keys()
        services = {by_host[host].entry.service for host in hosts}
        starts = search.presumed.values()
        if all(
            self._saw_all_flows(service, started_at, now)
            for service in services
            for started_at in (min(starts), max(starts))
        ):
            return False
        search.unsure += search.presumed
        search.presumed.clear()
        return True
