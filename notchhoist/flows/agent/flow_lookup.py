"""An agent's controller that answers searches for flows."""

from msgspec import Struct, field

from notchhoist.base.errors import CodecError
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.model.backend_flows import BackendFlow, Phase
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import FlowsAsk, FlowsTell
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec

UNSEEN_FLOW_MAX_AGE_S = 60.0
"""How long after its start an agent may meet flows that opened before it,
seconds; the platform guarantees nothing for flows that are older."""

OUTCOME_DELAY_S = 0.005
"""Outcomes of sample packets are collected for this time and reported together,
seconds; the backend server returns a packet in less than that."""

_LOCAL_PHASES = (Phase.OPEN, Phase.CLOSED, Phase.UNCONFIRMED, Phase.REFUSED)


class FlowLookup(Struct, eq=False):
    """Answers balancers that search for flows.

    Attributes:
        board: Shared state of the agent.
        codec: Codec of the packets.
        absent: Flows that sample packets have shown to be absent, by balancer.
        outcomes_due: When these are reported, seconds.
    """

    board: AgentBoard
    codec: SegmentCodec
    absent: dict[str, list[bytes]] = field(default_factory=dict)
    outcomes_due: float = float("inf")

    def is_here(self, held: BackendFlow, segment: Segment) -> bool:
        """Tells whether a flow is here, judged by a packet of its caller."""
        if held.phase is Phase.ACCEPTED:
            return held.is_chosen_by(segment)
        return held.phase in _LOCAL_PHASES

    def knows_all_flows(self, now: float) -> bool:
        """Tells whether every flow of the backend server is known."""
        board = self.board
        old = now - board.started_at >= UNSEEN_FLOW_MAX_AGE_S
        return board.knows_all_flows or board.backend_gone or old

    def presence_of(self, segment: Segment, tag: int, now: float) -> NoteKind:
        """Returns whether a flow is present, absent or unsure."""
        held = self.board.flows.get(segment.flow)
        unconfirmed = held is not None and held.phase is Phase.UNCONFIRMED
        if held is not None and not unconfirmed and self.is_here(held, segment):
            return NoteKind.PRESENT
        if tag != self.board.tag or self.knows_all_flows(now):
            return NoteKind.ABSENT
        return NoteKind.UNSURE

    def on_query(
        self, host: str, query: FlowsAsk, load: Load, now: float
    ) -> None:
        """Answers a balancer's query about the flows of packet headers."""
        flows_by_kind: dict[NoteKind, list[bytes]] = {}
        for segment in self.decode(query.heads):
            kind = self.presence_of(segment, query.tag, now)
            flows_by_kind.setdefault(kind, []).append(segment.flow)
        answer = FlowsTell(
            number=query.number,
            present=tuple(flows_by_kind.get(NoteKind.PRESENT, ())),
            absent=tuple(flows_by_kind.get(NoteKind.ABSENT, ())),
            unsure=tuple(flows_by_kind.get(NoteKind.UNSURE, ())),
            flows=load.flows,
            running=load.running,
            pace_ms=load.service_time_ms,
            age_ms=self._age_ms(now) if NoteKind.UNSURE in flows_by_kind else 0,
        )
        self.board.outbox.append(SendPeer(host, answer))

    def _age_ms(self, now: float) -> int:
        return max(1, int(self.board.age_s(now) * 1000))

    def decode(self, packets: tuple[bytes, ...]) -> list[Segment]:
        """Decodes the packets of a query; counts and skips malformed ones."""
        segments = []
        for raw in packets:
            try:
                segments.append(self.codec.decode_request(raw))
            except CodecError as error:
                self.board.records.counters[Count.MALFORMED] += 1
                self.board.records.record_decision("malformed", b"", str(error))
        return segments

    def note_absent(self, host: str, flow: bytes, now: float) -> None:
        """Records that the flow of a sample packet is absent."""
        self.absent.setdefault(host, []).append(flow)
        self.outcomes_due = min(self.outcomes_due, now + OUTCOME_DELAY_S)

    def tick(self, load: Load, now: float) -> None:
        """Reports the outcomes of sample packets to the balancers."""
        if now < self.outcomes_due:
            return
        self.outcomes_due = float("inf")
        for host, flows in self.absent.items():
            answer = FlowsTell(
                number=0,
                absent=tuple(flows),
                flows=load.flows,
                running=load.running,
                pace_ms=load.service_time_ms,
            )
            self.board.outbox.append(SendPeer(host, answer))
        self.absent.clear()
