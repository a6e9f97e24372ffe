"""Balancer controller that routes the packets of callers."""

from msgspec import Struct

from notchhoist.flows.balancer.finding import FlowFinder
from notchhoist.flows.balancer.forwarding import FlowForwarder
from notchhoist.flows.balancer.opening import FlowOpener
from notchhoist.flows.balancer.resetting import FlowResetter
from notchhoist.flows.balancer.targeting import service_for
from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.decisions.early_packets import EarlyPackets
from notchhoist.flows.model.fleet import Route
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment


class CallerPackets(Struct, eq=False):
    """Opens, forwards, searches for or rejects the flow of a packet.

    Attributes:
        board: State of the balancer.
        resetter: Resets flows.
        opener: Places new flows.
        forwarder: Forwards packets of placed flows.
        finder: Searches for flows that are not known here.
        early: Buffers packets that arrive before routes and servers are known.
    """

    board: BalancerBoard
    resetter: FlowResetter
    opener: FlowOpener
    forwarder: FlowForwarder
    finder: FlowFinder
    early: EarlyPackets

    def handle(self, segment: Segment, now: float) -> None:
        """Handles a packet of a caller."""
        board = self.board
        if board.table is None or not board.fleet_known:
            self._keep_early(segment, now)
            return
        route = board.table.routes.get(segment.service_key)
        if route is None:
            self._reject_unrouted(segment, board.table.version, now)
        elif segment.opens:
            self.opener.on_opening(route, segment, now)
        else:
            self._forward(route, segment, now)

    def _keep_early(self, segment: Segment, now: float) -> None:
        counters = self.board.records.counters
        kept = self.board.uses.early and self.early.keep(segment, now)
        counters[Count.KEPT_EARLY if kept else Count.NO_CONFIGURATION] += 1

    def replay_early(self, now: float) -> None:
        """Processes packets that came before routes and servers were known."""
        board = self.board
        if not self.early.by_flow or board.table is None:
            return
        if not board.fleet_known:
            return
        kept = len(self.early.by_flow)
        segments = self.early.take(now)
        board.records.record_decision(
            "serve early packets",
            b"",
            "served",
            kept=kept,
            served=len(segments),
            version=board.table.version,
        )
        for segment in segments:
            self.handle(segment, now)

    def _reject_unrouted(
        self, segment: Segment, version: int, now: float
    ) -> None:
        if segment.resets:
            return
        self.board.records.counters[Count.NO_ROUTE] += 1
        self.board.flows.pop(segment.flow, None)
        confirmed = self.board.confirmed_clock
        self.resetter.reset(
            segment, "no route", version=version, confirmed_clock=confirmed
        )

    def _forward(self, route: Route, segment: Segment, now: float) -> None:
        placement = self.board.flows.get(segment.flow)
        if placement is None:
            service = service_for(self.board, route, segment.flow, now)
            self.finder.on_unknown(service, segment, now)
            return
        if not placement.accepted:
            self.opener.outcomes.on_data_before_acceptance(segment, now)
        self.forwarder.forward(route, placement, segment, now)
