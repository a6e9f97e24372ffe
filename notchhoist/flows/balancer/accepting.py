"""Balancer controller for the outcomes of offers."""

from msgspec import Struct

from notchhoist.flows.balancer.distances import Distances
from notchhoist.flows.boards.balancer_board import BalancerBoard, Opening
from notchhoist.flows.model.records import Count, Timing
from notchhoist.flows.model.segments import Segment


class OfferOutcomes(Struct, eq=False):
    """Processes the answers to offers.

    Attributes:
        board: State of the balancer.
        distances: Gets the round-trip times of answers.
    """

    board: BalancerBoard
    distances: Distances

    def on_accepted(self, host: str, segment: Segment, now: float) -> None:
        """Handles an agent's report that its backend server accepted a flow."""
        self.record_round_trip(host, segment.flow, now)
        self._accept(host, segment, now)
        placement = self.board.flows.get(segment.flow)
        if placement is not None and placement.server.entry.host == host:
            placement.acceptance_inferred = False

    def on_data_before_acceptance(self, segment: Segment, now: float) -> None:
        """Infers an acceptance from data that the caller sends.

        A caller sends such a packet only once its flow is accepted, but the
        agent's report of that may be lost, and another offer would then open
        the flow at a second server as well. The acceptance is inferred only
        where exactly one server can have accepted.
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
            placement.acceptance_inferred = True
            self._accept(placement.server.entry.host, segment, now)

    def _accept(self, host: str, segment: Segment, now: float) -> None:
        board = self.board
        opening = board.openings.pop(segment.flow, None)
        if opening is not None:
            self.end_offer(opening)
            self.record_duration(opening, "accepted", now)
            if opening.if_free:
                board.busy_shares.record(opening.service, busy=False)
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
        """Records the round-trip time of an answer to a flow's last offer."""
        opening = self.board.openings.get(flow)
        placement = self.board.flows.get(flow)
        if opening is None or placement is None:
            return
        if placement.server.entry.host == host:
            self.distances.add_sample(placement.server, opening.sent_at, now)

    def record_duration(
        self, opening: Opening, outcome: str, now: float
    ) -> None:
        """Records how long the last offer of a flow took."""
        self.board.records.observe(
            Timing.OPENING, opening.service, outcome, now - opening.sent_at
        )

    def end_offer(self, opening: Opening) -> None:
        """Stops counting the last offer of a flow as load of its server."""
        if not opening.tried:
            return
        server = self.board.servers.get(opening.tried[-1])
        if server is not None:
            server.record_offer_end()
