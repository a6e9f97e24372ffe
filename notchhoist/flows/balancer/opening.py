"""Balancer controller that places new flows."""

from msgspec import Struct

from notchhoist.base.draws import Draw
from notchhoist.flows.balancer.accepting import OfferOutcomes
from notchhoist.flows.balancer.health import AgentHealthMonitor
from notchhoist.flows.balancer.informing import AgentInformer
from notchhoist.flows.balancer.locality import ZoneLocality
from notchhoist.flows.balancer.offer_choice import OfferChooser
from notchhoist.flows.balancer.resetting import FlowResetter
from notchhoist.flows.balancer.targeting import count_new_flow, service_for
from notchhoist.flows.boards.balancer_board import (
    BalancerBoard,
    Opening,
    Placement,
)
from notchhoist.flows.decisions.early_packets import EarlyPackets
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendAgent
from notchhoist.flows.model.fleet import Route, Server
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.request_hints import (
    ATTEMPT_TIMEOUT_S,
    RequestHints,
)
from notchhoist.flows.model.segments import Segment, SegmentCodec
from notchhoist.flows.model.service_names import with_service
from notchhoist.flows.published.states import cold_bound_of

PLACEMENTS_MAX = 200_000
"""Maximum number of placements. At 600 bytes each they would take about 120 MB,
too much for a host with 128 MB, but 14 million flows over 580 hosts are only
24,000 per host."""


class FlowOpener(Struct, eq=False):
    """Places new flows, and offers a flow elsewhere if a server declines it.

    Attributes:
        board: State of the balancer.
        codec: Codec of the packets.
        health: Monitors the health of agents.
        resetter: Resets flows.
        early: Tells whether an opening packet may belong to a retry.
        informer: Sends agents the state that they need before they get a flow.
        chooser: Chooses the servers that flows are offered to.
        outcomes: Processes the outcomes of offers.
    """

    board: BalancerBoard
    codec: SegmentCodec
    health: AgentHealthMonitor
    resetter: FlowResetter
    early: EarlyPackets
    informer: AgentInformer
    chooser: OfferChooser
    outcomes: OfferOutcomes

    def on_opening(self, route: Route, segment: Segment, now: float) -> None:
        """Handles an opening packet or a retransmission of one."""
        flow = segment.flow
        placement = self.board.flows.get(flow)
        if placement is not None and placement.accepted:
            # The server's acceptance may have been lost; the server repeats it.
            hints = route.request_hints(segment.waited_s)
            self._send(placement.server, segment, hints, now)
            return
        opening = self.board.openings.get(flow)
        if opening is not None and _is_expired(opening, now):
            self._expire(opening)
            opening = None
        if opening is None:
            opening = self._begin(route, segment, now)
            self.board.openings[flow] = opening
        elif self._awaits_answer(opening, now):
            # A second server would open the flow too, one of them in vain.
            return
        self.offer(opening, now)

    def _awaits_answer(self, opening: Opening, now: float) -> bool:
        """Tells whether an agent may still answer the last offer of a flow."""
        is_pending = now < opening.sent_at + opening.wait_s
        return self.board.uses.distances and is_pending

    def _begin(self, route: Route, segment: Segment, now: float) -> Opening:
        since = now - segment.waited_s
        service = service_for(self.board, route, segment.flow, now)
        count_new_flow(self.board, route, service)
        return Opening(
            waiting_since=since,
            may_be_retry=self.early.may_be_retry(since),
            segment=segment,
            service=service,
            route=route,
            sent_at=now,
            tried=[],
        )

    def offer(self, opening: Opening, now: float) -> None:
        """Offers a flow to the best server; see ``OfferChooser``.

        Once its caller has given up, it is offered no more: a server would open
        it in vain, though its caller may have opened it elsewhere.
        """
        if _is_expired(opening, now):
            self._expire(opening)
            return
        choice = self.chooser.choose(opening, now)
        server = choice.server
        if server is None:
            self._reject(opening, choice.willing, now)
            return
        self.outcomes.end_offer(opening)
        bound = cold_bound_of(self.board, server)
        opening.if_free = choice.if_free and bound.per_s == 0
        self._record_offer(opening, server, choice.choices, now)
        opening.tried.append(server.entry.server_id)
        opening.sent_at = now
        opening.wait_s = self.chooser.locality.accept_wait_s(server)
        server.record_offer()
        self.informer.before_offer(server, now)
        self._record_placement(opening, server, now)
        self._send_offer(opening, server, now)

    def _send_offer(self, opening: Opening, server: Server, now: float) -> None:
        age_s = now - opening.waiting_since
        hints = opening.route.request_hints(age_s, opening.may_be_retry)
        self._send(server, opening.segment, hints, now, opening.if_free)

    def _record_offer(
        self, opening: Opening, server: Server, choices: int, now: float
    ) -> None:
        again = len(opening.tried)
        count = Count.PLACED_AGAIN if again else Count.PLACED
        self.board.records.counters[count] += 1
        self.board.records.record_decision(
            "place",
            opening.segment.flow,
            server.entry.server_id,
            service=opening.service,
            flows=server.flows,
            running=server.running,
            pace_ms=server.service_time_ms,
            load_age_s=round(now - server.heard_at, 3),
            choices=choices,
            again=again,
            if_free=opening.if_free,
            found_busy=len(opening.busy),
        )

    def _record_placement(
        self, opening: Opening, server: Server, now: float
    ) -> None:
        flows = self.board.flows
        segment = opening.segment
        flows[segment.flow] = Placement(
            server,
            False,
            now,
            segment,
            waiting_since=opening.waiting_since,
            first_forwarded_at=float("inf"),
        )
        if len(flows) > PLACEMENTS_MAX:
            flows.popitem(last=False)

    def _send(
        self,
        server: Server,
        segment: Segment,
        hints: RequestHints,
        now: float,
        if_free: bool = False,
    ) -> None:
        kind = NoteKind.PLACE
        if cold_bound_of(self.board, server).per_s > 0:
            kind = NoteKind.PLACE_BOUNDED
        elif if_free:
            kind = NoteKind.PLACE_IF_FREE
            self.board.records.counters[Count.OFFERED_IF_FREE] += 1
        note = notes.to_agent(kind, server.tag, hints)
        datagram = self.codec.with_note(segment, note)
        if server.reads_names:
            datagram = with_service(datagram, server.entry.service)
        self.board.outbox.append(SendAgent(server.entry.host, datagram))
        self.health.on_packet_sent(server, now)

    def _expire(self, opening: Opening) -> None:
        """Forgets a flow whose caller no longer waits for its opening."""
        board = self.board
        self.outcomes.end_offer(opening)
        board.openings.pop(opening.segment.flow, None)
        board.flows.pop(opening.segment.flow, None)
        board.records.counters[Count.OPENINGS_EXPIRED] += 1

    def _reject(self, opening: Opening, willing: int, now: float) -> None:
        """Gives up placing a flow; nothing has run, so the caller may retry."""
        board = self.board
        flow = opening.segment.flow
        self.outcomes.end_offer(opening)
        board.openings.pop(flow, None)
        board.flows.pop(flow, None)
        if self.health.are_all_agents_silent(now):
            # The caller's retransmissions go to another balancer once routers
            # see that this one is not ready.
            board.records.counters[Count.LEFT_TO_OTHERS] += 1
            board.records.record_decision(
                "leave to others",
                flow,
                "no agent is heard",
                tried=len(opening.tried),
                silent_s=round(now - self.health.heard_at, 3),
            )
            return
        board.records.counters[Count.REFUSED] += 1
        self.resetter.reset(
            opening.segment,
            "no server takes it",
            service=opening.service,
            willing=willing,
            tried=len(opening.tried),
        )

    def on_refused(self, host: str, segment: Segment, now: float) -> None:
        """Handles a flow that a backend server did not take."""
        opening = self.board.openings.get(segment.flow)
        placement = self.board.flows.get(segment.flow)
        is_current = placement is None or placement.server.entry.host == host
        if opening is not None and is_current:
            self.outcomes.record_duration(opening, "refused", now)
            self.offer(opening, now)
        elif placement is not None and is_current:
            self._on_accepted_refused(placement, segment, now)

    def _on_accepted_refused(
        self, placement: Placement, segment: Segment, now: float
    ) -> None:
        """Handles a refusal of a flow that its server has accepted.

        If it is an opening packet that is refused and the caller has sent more
        since, it was a late copy, and its flow is open.
        """
        flows, table = self.board.flows, self.board.table
        if not segment.opens:
            # It never got a slot; nothing has run.
            del flows[segment.flow]
            host = placement.server.entry.host
            self.resetter.reset(segment, "no slot in time", server_host=host)
            return
        route = table.routes.get(segment.service_key) if table else None
        if placement.last.opens and route is not None:
            del flows[segment.flow]
            self.on_opening(route, segment, now)

    def on_busy(self, host: str, segment: Segment, now: float) -> None:
        """Handles a conditional offer that came back without a free slot."""
        opening = self.board.openings.get(segment.flow)
        placement = self.board.flows.get(segment.flow)
        if opening is None or not opening.if_free:
            return
        if placement is None or placement.server.entry.host != host:
            return
        counters = self.board.records.counters
        counters[Count.FOUND_BUSY] += 1
        self.board.busy_shares.record(opening.service, busy=True)
        opening.busy.append(placement.server.entry.server_id)
        self.outcomes.record_duration(opening, "busy", now)
        self.outcomes.record_round_trip(host, segment.flow, now)
        self.offer(opening, now)
        if not opening.if_free:
            counters[Count.FOUND_NONE_FREE] += 1

    def on_full(self, host: str, segment: Segment, now: float) -> None:
        """Handles a flow returned by a server that takes none for a while."""
        server = self.board.by_host.get(host)
        if server is not None:
            server.at_cold_bound_until = now + notes.pause_of(segment.note)
        self.on_refused(host, segment, now)

    def repeat_offers(self, server: Server, now: float) -> None:
        """Repeats the offers that a server's agent has not answered."""
        for opening in list(self.board.openings.values()):
            placement = self.board.flows.get(opening.segment.flow)
            if placement is not None and placement.server is server:
                age_s = now - opening.waiting_since
                hints = opening.route.request_hints(age_s, opening.may_be_retry)
                self._send(server, opening.segment, hints, now, opening.if_free)

    def tick(self, now: float) -> None:
        """Offers a flow elsewhere if its agent has not answered in time."""
        overdue = [
            opening
            for opening in self.board.openings.values()
            if now >= opening.sent_at + opening.wait_s
        ]
        for opening in overdue:
            placement = self.board.flows.get(opening.segment.flow)
            if placement is not None:
                self.health.suspect(placement.server, now, "no acceptance")
            self.outcomes.record_duration(opening, "silent", now)
            self.offer(opening, now)

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        return min(
            (
                opening.sent_at + opening.wait_s
                for opening in self.board.openings.values()
            ),
            default=float("inf"),
        )


def _is_expired(opening: Opening, now: float) -> bool:
    """Tells whether the caller of a new flow no longer waits for it."""
    return now - opening.waiting_since >= ATTEMPT_TIMEOUT_S


def make_opener(
    board: BalancerBoard,
    codec: SegmentCodec,
    health: AgentHealthMonitor,
    resetter: FlowResetter,
    draw: Draw,
    early: EarlyPackets,
    informer: AgentInformer,
) -> FlowOpener:
    """Creates the controller that places a balancer's new flows.

    Args:
        board: State of the balancer.
        codec: Codec of the packets.
        health: Monitors the health of agents.
        resetter: Resets flows.
        draw: Random numbers in [0, 1).
        early: Tells whether an opening packet may belong to a retry.
        informer: Sends agents the state that they need before they get a flow.
    """
    return FlowOpener(
        board=board,
        codec=codec,
        health=health,
        resetter=resetter,
        early=early,
        informer=informer,
        chooser=OfferChooser(
            board, draw, ZoneLocality(board, health.distances)
        ),
        outcomes=OfferOutcomes(board, health.distances),
    )
