"""A balancer's controller that binds waiting flows to servers."""

from msgspec import Struct

from notchhoist.base.draws import Draw
from notchhoist.flows.balancer.choosing import ServerChooser
from notchhoist.flows.balancer.health import HealthKeeper
from notchhoist.flows.balancer.informing import AgentInformer
from notchhoist.flows.balancer.opening import FlowOpener
from notchhoist.flows.balancer.parking import ASK_AGAIN_S, FlowParking
from notchhoist.flows.balancer.resetting import FlowResetter
from notchhoist.flows.boards.balancer_board import (
    BalancerBoard,
    Opening,
    ParkedFlow,
)
from notchhoist.flows.decisions import placing
from notchhoist.flows.decisions.early import EarlyPackets
from notchhoist.flows.model.fleet import Server
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec


class FlowBinder(Struct, eq=False):
    """Gives waiting flows to servers that call, and to others at the end.

    The load it answers is that of ``decisions.parking``.

    Attributes:
        board: What the balancer knows.
        parking: Keeps the flows that wait.
        opener: Offers them.
    """

    board: BalancerBoard
    parking: FlowParking
    opener: FlowOpener

    def on_call(self, host: str, segment: Segment, now: float) -> None:
        """Takes an agent's call for a flow that waits here."""
        server = self.board.by_host.get(host)
        if server is None:
            return
        server.reserves = True
        parked = None
        if self._takes_new(server, now):
            parked = self.parking.next_for(server, segment.flow, now)
        if parked is None:
            self.board.records.counters[Count.CALLED_IN_VAIN] += 1
            self.parking.tell_none(server, segment, now)
            return
        self.board.records.counters[Count.CALLED] += 1
        opening = self._release(parked, "called", now)
        opening.called_by = host
        self.opener.place(opening, server, now)
        # The agent's other calls are in vain where this was the last flow.
        self.parking.end_reservations(opening, "", now)

    def _takes_new(self, server: Server, now: float) -> bool:
        """Tells whether a server gets new flows, as far as is known here."""
        evacuated = self.board.view.evacuated
        return bool(
            placing.usable(placing.open_to_new([server], evacuated), now)
        )

    def _release(self, parked: ParkedFlow, outcome: str, now: float) -> Opening:
        self.parking.release(parked.flow, outcome, now)
        opening = parked.opening
        self.board.openings[parked.flow] = opening
        return opening

    def on_accepted(self, host: str, segment: Segment, now: float) -> None:
        """Takes word of a server that accepted a flow while it waits here."""
        parked = self.board.parked.get(segment.flow)
        server = self.board.by_host.get(host)
        if parked is None or server is None:
            return
        opening = self._release(parked, "accepted elsewhere", now)
        self.opener.remember(opening, server, now)
        self.parking.end_reservations(opening, "", now)

    def on_opened(self, flow: bytes, now: float) -> None:
        """Takes account of a flow that has opened through another balancer."""
        opening = self.parking.release(flow, "opened elsewhere", now)
        if opening is not None:
            self.parking.end_reservations(opening, "", now)

    def tick(self, now: float) -> None:
        """Binds flows whose callers are about to give up."""
        if now < self.parking.look_due:
            return
        for parked in list(self.board.parked.values()):
            if now >= parked.bind_at:
                self._bind(parked, now)
            elif now - parked.asked_at >= ASK_AGAIN_S:
                self._ask_again(parked, now)
        self.parking.note_looked()

    def _ask_again(self, parked: ParkedFlow, now: float) -> None:
        if not self.parking.ask_again(parked, now):
            self._bind(parked, now)

    def _bind(self, parked: ParkedFlow, now: float) -> None:
        """Lets a flow wait at a server, whichever agents tell the least load.

        They are asked anew: what is known of them is as old as its wait here.
        """
        self.board.records.counters[Count.BOUND_AT_END] += 1
        opening = self._release(parked, "bound at the end", now)
        opening.called_by = ""
        opening.tried.clear()
        opening.busy.clear()
        self.opener.offer(opening, now)
        self.parking.end_reservations(opening, "", now)


def make_binder(
    board: BalancerBoard,
    codec: SegmentCodec,
    health: HealthKeeper,
    resetter: FlowResetter,
    draw: Draw,
    early: EarlyPackets,
    informer: AgentInformer,
) -> FlowBinder:
    """Makes the controllers of new flows; see their attributes."""
    parking = FlowParking(board, codec, health)
    chooser = ServerChooser(board, draw)
    opener = FlowOpener(
        *(board, codec, health, resetter, chooser, early, informer, parking)
    )
    return FlowBinder(board, parking, opener)
