"""Resumes the forwarding of flows after a search has found them."""

from msgspec import Struct

from notchhoist.flows.balancer.health import AgentHealthMonitor
from notchhoist.flows.balancer.sample_packets import request_note
from notchhoist.flows.balancer.search_records import services_text
from notchhoist.flows.boards.balancer_board import (
    BalancerBoard,
    Placement,
    Search,
)
from notchhoist.flows.model.effects import SendAgent
from notchhoist.flows.model.fleet import Server
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec


class FlowResumer(Struct, eq=False):
    """Records where a flow was found and forwards its waiting packets.

    Attributes:
        board: State of the balancer.
        codec: Codec of the packets.
        health: Monitors the agents.
    """

    board: BalancerBoard
    codec: SegmentCodec
    health: AgentHealthMonitor

    def resume(
        self, flow: bytes, search: Search, server: Server, now: float
    ) -> None:
        """Resumes a flow that a search has found at a server."""
        counters = self.board.records.counters
        counters[Count.FOUND] += 1
        if server.entry.service != search.services[0]:
            counters[Count.FOUND_ELSEWHERE] += 1
        self.board.records.record_decision(
            "find",
            flow,
            server.entry.server_id,
            service=server.entry.service,
            services=services_text(search),
            asked=len(search.asked),
            rounds=search.rounds,
        )
        last = search.waiting[-1]
        self.board.flows[flow] = Placement(server, True, now, last)
        note = request_note(
            self.board, search, NoteKind.FORWARD, server.tag, now
        )
        for segment in search.waiting:
            datagram = self.codec.with_note(segment, note)
            self.board.outbox.append(
                SendAgent(
                    server.entry.host, datagram, segment.flow, segment.seq
                )
            )
        self.health.on_packet_sent(server, now)

    def record_late_answer(
        self, host: str, segment: Segment, now: float
    ) -> None:
        """Records the server of a flow reported after its search ended."""
        server = self.board.by_host.get(host)
        if server is not None and segment.flow not in self.board.flows:
            placement = Placement(server, True, now, segment)
            self.board.flows[segment.flow] = placement
