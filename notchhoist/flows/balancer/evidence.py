"""What a balancer may conclude from what agents and the platform have told."""

from collections.abc import Iterable

from msgspec import Struct, field

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.decisions.completeness import (
    is_complete,
    is_settled,
    saw_all_since_power,
)
from notchhoist.flows.model.messages import FlowsTell
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.records import Count


class Evidence(Struct, eq=False):
    """Judges whether a flow that nobody names can still be somewhere.

    Attributes:
        board: What the balancer knows.
        complete: By service, whether every living server is known; kept for
            one moment, in which hundreds of searches may ask.
        complete_at: When that was found out, seconds.
        settled_for: The ``whole_since`` for which the list has settled.
    """

    board: BalancerBoard
    complete: dict[str, bool] = field(default_factory=dict)
    complete_at: float = float("-inf")
    settled_for: float = float("-inf")

    def hosts_of(self, services: Iterable[str]) -> set[str]:
        """Returns the hosts whose agents may hold a flow of some services."""
        by_service = self.board.by_service
        return {
            server.entry.host
            for service in services
            for server in by_service.get(service, ())
            if not server.lost
        }

    def is_complete(self, services: Iterable[str], now: float) -> bool:
        """Tells whether every living server of some services is known."""
        return all(self._is_complete(service, now) for service in services)

    def _is_complete(self, service: str, now: float) -> bool:
        if now != self.complete_at:
            self.complete_at = now
            self.complete.clear()
        known = self.complete.get(service)
        if known is None:
            board = self.board
            known = self.complete[service] = is_complete(
                board.by_service.get(service, []),
                self.is_settled(now),
                board.store_failed_at,
                now,
            )
        return known

    def is_settled(self, now: float) -> bool:
        """Tells whether the list has settled since it was last read whole.

        It has to be asked regularly: a later failure does not undo it.
        """
        board = self.board
        if is_settled(board.whole_since, board.store_failed_at, now):
            self.settled_for = board.whole_since
        elif not board.uses.resting:
            return False
        return self.settled_for == board.whole_since

    def meaning_of_unsure(
        self, host: str, tell: FlowsTell, now: float
    ) -> NoteKind:
        """Returns what it means that an agent cannot tell of a flow."""
        board = self.board
        server = board.by_host.get(host)
        if not tell.age_ms or server is None or not board.uses.anew:
            return NoteKind.UNSURE
        servers = board.by_service.get(server.entry.service, [])
        started_at = now - tell.age_ms / 1000
        if not saw_all_since_power(servers, started_at, board.placing_since):
            return NoteKind.UNSURE
        board.records.counters[Count.RULED_OUT_BY_AGE] += len(tell.unsure)
        return NoteKind.ABSENT
