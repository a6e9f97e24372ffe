"""A balancer's controller for what becomes of its offers."""

from msgspec import Struct

from notchhoist.flows.balancer.distances import Distances
from notchhoist.flows.boards.balancer_board import BalancerBoard, Opening
from notchhoist.flows.model.records import Count, Timing
from notchhoist.flows.model.segments import Segment


class OfferOutcomes(Struct, eq=False):
    """Takes account of answers to offers.

    Attributes:
        board: What the balancer knows.
        distances: Is told what answers take.
    """

    board: BalancerBoard
    distances: Distances

    def on_accepted(self, host: str, segment: Segment, now: float) -> None:
        """Takes word that a backend server accepted a flow."""
        self.record_round_trip(host, segment.flow, now)
        self._accept(host, segment, now)
        placement = self.board.flows.get(segment.flow)
        if placement is not None and placement.server.entry.host == host:
            placement.inferred = False

    def on_data_before_acceptance(self, segment: Segment, now: float) -> None:
        """Takes a packet that a caller sends once its flow is accepted.

        Where only one server can have accepted, word of that may be lost, and
        an offer to another one would open the flow there too.
        """
        board = self.board
        opening = board.openings.get(segment.flow)
        placement = board.flows.get(segment.flow)
        if opening is None or placement is None or segment.resets:
            return
        if not board.uses.distances:
            return
        may_have_accepted = set(opening.tried) - set(opening.busy)
        may_have_accepted.add(placement.server.entry.server_id)
        if len(may_have_accepted) == 1:
            placement.inferred = True
            self._accept(placement.server.entry.host, segment, now)

    def _accept(self, host: str, segment: Segment, now: float) -> None:
        board = self.board
        opening = board.openings.pop(segment.flow, None)
        if opening is not None:
            self.end_offer(opening)
            self.record_duration(opening, "accepted", now)
            if opening.if_free:
                board.busy_shares.note(opening.service, busy=False)
        placement = board.flows.get(segment.flow)
        if placement is None:
            return
        if placement.server.entry.host == host:
            placement.accepted = True
            return
        server = board.by_host.get(host)
        if opening is None:
            board.records.counters[Count.ACCEPTED_IN_VAIN] += 1
        elif server is not None:
            placement.server = server
            placement.accepted = True

    def record_round_trip(self, host: str, flow: bytes, now: float) -> None:
        """Takes the time of an agent's answer to the last offer of a flow."""
        opening = self.board.openings.get(flow)
        placement = self.board.flows.get(flow)
        if opening is None or placement is None:
            return
        if placement.server.entry.host == host:
            self.distances.note(placement.server, opening.sent_at, now)

    def record_duration(
        self, opening: Opening, outcome: str, now: float
    ) -> None:
        """Counts what the last offer of a flow took."""
        self.board.records.observe(
            Timing.OPENING, opening.service, outcome, now - opening.sent_at
        )

    def end_offer(self, opening: Opening) -> None:
        """Counts the last offer of a flow no longer."""
        if not opening.tried:
            return
        server = self.board.servers.get(opening.tried[-1])
        if server is not None:
            server.note_offer_ended()
