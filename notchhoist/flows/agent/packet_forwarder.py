"""An agent's controller that forwards packets of existing flows."""

from msgspec import Struct

from notchhoist.flows.agent.backend_watch import BackendWatch
from notchhoist.flows.agent.flow_lookup import FlowLookup
from notchhoist.flows.agent.opening_gate import OpeningGate
from notchhoist.flows.agent.refuser import Refuser
from notchhoist.flows.agent.replies import Replies
from notchhoist.flows.agent.request_gate import RequestGate
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.model import notes
from notchhoist.flows.model.backend_flows import BackendFlow, Phase
from notchhoist.flows.model.effects import SendBackend
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.segments import Segment, SegmentCodec


class PacketForwarder(Struct, eq=False):
    """Forwards packets to the backend server or returns them to balancers.

    Attributes:
        board: Shared state of the agent.
        codec: Codec of the packets.
        request_gate: Admits requests to the slots of the backend server.
        refuser: Resets flows whose requests get no slot.
        watch: Detects that the backend server has exited.
        opening_gate: Decides whether a flow may still open.
        replies: Sends replies to balancers.
        lookup: Knows which flows are at the backend server.
    """

    board: AgentBoard
    codec: SegmentCodec
    request_gate: RequestGate
    refuser: Refuser
    watch: BackendWatch
    opening_gate: OpeningGate
    replies: Replies
    lookup: FlowLookup

    def forward(
        self, host: str, segment: Segment, kind: NoteKind, now: float
    ) -> None:
        """Handles a packet whose flow the balancer believes to be here.

        Args:
            host: Host of the balancer.
            segment: The packet.
            kind: ``SAMPLE`` where the balancer does not know whether the flow
                is here.
            now: Runtime clock, seconds.
        """
        board = self.board
        held = board.flows.get(segment.flow)
        if held is None or not self.lookup.is_here(held, segment):
            if held is not None or (
                kind is not NoteKind.SAMPLE and self.lookup.knows_all_flows(now)
            ):
                self.replies.return_packet(host, segment, "flow not here", now)
                return
            held = BackendFlow(Phase.UNCONFIRMED, host, now, now)
            board.flows[segment.flow] = held
        if held.phase is Phase.REFUSED:
            held.last_at = now
            self.refuser.reset_unopened(segment)
            return
        if held.phase is Phase.UNCONFIRMED:
            # Only the backend server knows whether the flow is here. If it has
            # exited no answer comes, so its liveness is checked.
            self.watch.schedule_check(now)
            self._update_held(held, host, segment, now)
            board.outbox.append(SendBackend(self.codec.with_note(segment, 0)))
            return
        opening = held.phase is Phase.ACCEPTED
        if opening and self.opening_gate.is_past_evacuation_cutoff(now):
            held.phase = Phase.REFUSED
            self.refuser.reset_unopened(segment)
            board.records.record_decision(
                "reset", segment.flow, "zone evacuated"
            )
            return
        self._update_held(held, host, segment, now)
        hints = notes.hints_of(segment.note)
        first = opening or held.request_end is None
        if first and self.board.uses.opening_wish:
            hints = held.hints_at(hints, now)
        self.request_gate.admit(held, segment, hints, opening, now)

    def _update_held(
        self, held: BackendFlow, host: str, segment: Segment, now: float
    ) -> None:
        held.balancer = host
        held.last_at = now
        held.last_packet = segment
        if segment.size:
            held.last_data_packet = segment
        if held.phase is Phase.ACCEPTED:
            held.phase = Phase.OPEN
            held.since = now
            held.opening = None
        if segment.size and held.is_retransmission(segment, now):
            # A retransmission: the server may not have received the first.
            self.watch.schedule_check(now)
        if segment.resets:
            held.phase = Phase.CLOSED
