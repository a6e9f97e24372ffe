"""An agent's controller that tells which flows are at its backend server."""

from msgspec import Struct, field

from notchhoist.base.errors import CodecError
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.held import HeldFlow, Phase
from notchhoist.flows.model.messages import FlowsAsk, FlowsTell
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec

UNSURE_S = 60.0
"""How long after its start an agent may meet flows that it has not seen begin;
the platform promises nothing to flows that are older."""

GATHER_S = 0.005
"""Outcomes of samples are told together after this time, seconds; the backend
server returns a packet in less than one."""

_MINE = (Phase.OPEN, Phase.CLOSED, Phase.TRIED, Phase.REFUSED)


class FlowTeller(Struct, eq=False):
    """Answers balancers that look for flows.

    Attributes:
        board: What the agent knows.
        codec: Codec of the packets.
        absent: Flows that samples have shown not to be here, by balancer.
        tell_due: When these are told, seconds.
    """

    board: AgentBoard
    codec: SegmentCodec
    absent: dict[str, list[bytes]] = field(default_factory=dict)
    tell_due: float = float("inf")

    def is_here(self, held: HeldFlow, segment: Segment) -> bool:
        """Tells whether a flow is at the server, by a packet of its caller."""
        if held.phase is Phase.ACCEPTED:
            return held.chosen_by(segment)
        return held.phase in _MINE

    def knows_all(self, now: float) -> bool:
        """Tells whether a flow that is not known cannot be here."""
        board = self.board
        old = now - board.started_at >= UNSURE_S
        return board.sees_all or board.backend_gone or old

    def kind_of(self, segment: Segment, tag: int, now: float) -> NoteKind:
        """Returns what to tell about the flow of a packet."""
        held = self.board.flows.get(segment.flow)
        tried = held is not None and held.phase is Phase.TRIED
        if held is not None and not tried and self.is_here(held, segment):
            return NoteKind.PRESENT
        if tag != self.board.tag or self.knows_all(now):
            return NoteKind.ABSENT
        return NoteKind.UNSURE

    def on_ask(
        self, host: str, question: FlowsAsk, load: Load, now: float
    ) -> None:
        """Answers a balancer's question about heads of packets."""
        told: dict[NoteKind, list[bytes]] = {}
        for segment in self.decode(question.heads):
            kind = self.kind_of(segment, question.tag, now)
            told.setdefault(kind, []).append(segment.flow)
        answer = FlowsTell(
            number=question.number,
            present=tuple(told.get(NoteKind.PRESENT, ())),
            absent=tuple(told.get(NoteKind.ABSENT, ())),
            unsure=tuple(told.get(NoteKind.UNSURE, ())),
            flows=load.flows,
            running=load.running,
            pace_ms=load.pace_ms,
            age_ms=self._age_ms(now) if NoteKind.UNSURE in told else 0,
        )
        self.board.outbox.append(SendPeer(host, answer))

    def _age_ms(self, now: float) -> int:
        return max(1, int(self.board.age_s(now) * 1000))

    def decode(self, packets: tuple[bytes, ...]) -> list[Segment]:
        """Returns the packets of a question; bad ones are only counted."""
        segments = []
        for raw in packets:
            try:
                segments.append(self.codec.decode_request(raw))
            except CodecError as error:
                self.board.records.counters[Count.MALFORMED] += 1
                self.board.records.decide("malformed", b"", str(error))
        return segments

    def note_absent(self, host: str, flow: bytes, now: float) -> None:
        """Takes account of a sample that the backend server returned."""
        self.absent.setdefault(host, []).append(flow)
        self.tell_due = min(self.tell_due, now + GATHER_S)

    def tick(self, load: Load, now: float) -> None:
        """Tells balancers what came of their samples."""
        if now < self.tell_due:
            return
        self.tell_due = float("inf")
        for host, flows in self.absent.items():
            answer = FlowsTell(
                number=0,
                absent=tuple(flows),
                flows=load.flows,
                running=load.running,
                pace_ms=load.pace_ms,
            )
            self.board.outbox.append(SendPeer(host, answer))
        self.absent.clear()
