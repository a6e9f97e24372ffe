"""Balancer controller that forwards callers' packets of placed flows."""

from msgspec import Struct

from notchhoist.flows.balancer.health import AgentHealthMonitor
from notchhoist.flows.boards.balancer_board import BalancerBoard, Placement
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendAgent
from notchhoist.flows.model.fleet import Route
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.request_hints import RequestHints
from notchhoist.flows.model.segments import Segment, SegmentCodec


class FlowForwarder(Struct, eq=False):
    """Forwards packets to the agents of the servers that hold their flows.

    Attributes:
        board: State of the balancer.
        codec: Codec of the packets.
        health: Monitors the health of agents.
    """

    board: BalancerBoard
    codec: SegmentCodec
    health: AgentHealthMonitor

    def forward(
        self, route: Route, placement: Placement, segment: Segment, now: float
    ) -> None:
        """Forwards a packet.

        Args:
            route: Route of the flow.
            placement: Placement of the flow.
            segment: The packet.
            now: Runtime clock, seconds.
        """
        self.board.flows.move_to_end(segment.flow)
        server = placement.server
        if segment.size and segment.is_retransmission_of(placement.last):
            self.health.on_retransmission(server, now)
        placement.last_at = now
        placement.last = segment
        placement.first_forwarded_at = min(placement.first_forwarded_at, now)
        placement.closing = placement.closing or segment.closes
        hints = _hints(route, placement, segment, now)
        note = notes.to_agent(NoteKind.FORWARD, server.tag, hints)
        datagram = self.codec.with_note(segment, note)
        self.board.outbox.append(
            SendAgent(server.entry.host, datagram, segment.flow, segment.seq)
        )
        self.health.on_packet_sent(server, now)


def _hints(
    route: Route, placement: Placement, segment: Segment, now: float
) -> RequestHints:
    """Returns the request hints that the packet carries to the agent."""
    since = placement.waiting_since
    if since is None:
        return route.request_hints()
    if segment.size:
        placement.waiting_since = None
    return route.request_hints(now - since)
