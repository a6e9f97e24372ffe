"""What an agent sends back to balancers, each with its load."""

from msgspec import Struct

from notchhoist.flows.agent.load_counting import LoadCounter
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendBalancer, SendPeer
from notchhoist.flows.model.messages import LoadTell
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec


class Replies(Struct, eq=False):
    """Answers balancers.

    Attributes:
        board: What the agent knows.
        codec: Codec of the packets.
        counter: Counts the load.
    """

    board: AgentBoard
    codec: SegmentCodec
    counter: LoadCounter

    def tell(
        self, host: str, kind: NoteKind, segment: Segment, now: float
    ) -> None:
        """Tells a balancer something about the flow of a packet."""
        note = notes.to_balancer(kind, self.counter.load(now))
        datagram = self.codec.head_with_note(segment, note)
        self.board.outbox.append(SendBalancer(host, datagram))

    def give_back(
        self, host: str, segment: Segment, reason: str, now: float
    ) -> None:
        """Sends a packet back whose flow is not, or will not be, here.

        Without a reason it is not logged: the balancer that tries one agent
        after the other logs the outcome.
        """
        kind = NoteKind.REFUSED if segment.opens else NoteKind.RETURNED
        note = notes.to_balancer(kind, self.counter.load(now))
        datagram = self.codec.with_note(segment, note)
        self.board.outbox.append(SendBalancer(host, datagram))
        self.board.records.counters[Count.RETURNED] += 1
        if reason:
            self.board.records.decide(
                "give back", segment.flow, kind.name.lower(), reason=reason
            )

    def turn_away(
        self, host: str, segment: Segment, pause_s: float, now: float
    ) -> None:
        """Sends a new flow back that the backend server is not to get yet."""
        note = notes.full(self.counter.load(now), pause_s)
        datagram = self.codec.with_note(segment, note)
        self.board.outbox.append(SendBalancer(host, datagram))
        self.board.records.counters[Count.TURNED_AWAY] += 1

    def tell_busy(self, host: str, segment: Segment, now: float) -> None:
        """Sends a new flow back that would have to wait for a slot."""
        load = self.counter.load(now)
        reserves = self.board.uses.parking
        note = notes.to_balancer(NoteKind.BUSY, load, reserves)
        datagram = self.codec.with_note(segment, note)
        self.board.outbox.append(SendBalancer(host, datagram))
        self.board.records.counters[Count.FOUND_BUSY] += 1

    def tell_load(self, host: str, now: float) -> None:
        """Tells a balancer the load, and what is known of the server."""
        load = self.counter.load(now)
        state = self.board.state
        message = LoadTell(
            load.flows,
            load.running,
            load.pace_ms,
            self.board.stopping,
            state.revision if state else 0,
        )
        self.board.outbox.append(SendPeer(host, message))
