"""Replies of an agent to balancers; each reports the load."""

from msgspec import Struct

from notchhoist.flows.agent.load_counter import LoadCounter
from notchhoist.flows.boards.agent_board import AgentBoard
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendBalancer, SendPeer
from notchhoist.flows.model.messages import LoadTell
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec


class Replies(Struct, eq=False):
    """Sends replies to balancers.

    Attributes:
        board: Shared state of the agent.
        codec: Codec of the packets.
        counter: Counts the load.
    """

    board: AgentBoard
    codec: SegmentCodec
    counter: LoadCounter

    def send_note(
        self, host: str, kind: NoteKind, segment: Segment, now: float
    ) -> None:
        """Sends a note about the flow of a packet, with the packet's header."""
        note = notes.to_balancer(kind, self.counter.load(now))
        datagram = self.codec.header_with_note(segment, note)
        self.board.outbox.append(SendBalancer(host, datagram))

    def return_packet(
        self, host: str, segment: Segment, reason: str, now: float
    ) -> None:
        """Returns a packet whose flow is not, or will not be, here.

        Args:
            host: Host of the balancer.
            segment: The packet.
            reason: Why, for the log. If empty nothing is logged, since a
                balancer that sends sample packets to several agents logs the
                outcome itself.
            now: Runtime clock, seconds.
        """
        kind = NoteKind.REFUSED if segment.opens else NoteKind.RETURNED
        note = notes.to_balancer(kind, self.counter.load(now))
        datagram = self.codec.with_note(segment, note)
        self.board.outbox.append(SendBalancer(host, datagram))
        self.board.records.counters[Count.RETURNED] += 1
        if reason:
            self.board.records.record_decision(
                "give back", segment.flow, kind.name.lower(), reason=reason
            )

    def send_full(
        self, host: str, segment: Segment, pause_s: float, now: float
    ) -> None:
        """Returns an opening packet with the pause until the next may come."""
        note = notes.at_cold_bound(self.counter.load(now), pause_s)
        datagram = self.codec.with_note(segment, note)
        self.board.outbox.append(SendBalancer(host, datagram))
        self.board.records.counters[Count.TURNED_AWAY] += 1

    def send_busy(self, host: str, segment: Segment, now: float) -> None:
        """Returns the opening packet of a flow that would wait for a slot."""
        note = notes.to_balancer(NoteKind.BUSY, self.counter.load(now))
        datagram = self.codec.with_note(segment, note)
        self.board.outbox.append(SendBalancer(host, datagram))
        self.board.records.counters[Count.FOUND_BUSY] += 1

    def send_load(self, host: str, now: float) -> None:
        """Sends the load and the revision of the known server state."""
        load = self.counter.load(now)
        state = self.board.state
        message = LoadTell(
            load.flows,
            load.running,
            load.service_time_ms,
            self.board.stopping,
            state.revision if state else 0,
            self.board.service,
        )
        self.board.outbox.append(SendPeer(host, message))
