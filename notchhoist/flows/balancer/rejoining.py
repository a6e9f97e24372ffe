"""A balancer's controller that takes up flows which were found."""

from msgspec import Struct

from notchhoist.flows.balancer.health import HealthKeeper
from notchhoist.flows.balancer.search_records import services_text
from notchhoist.flows.balancer.trying import request_note
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


class FlowRejoiner(Struct, eq=False):
    """Remembers where a flow was found and sends on what waited for that.

    Attributes:
        board: What the balancer knows.
        codec: Codec of the packets.
        health: Watches over the agents.
    """

    board: BalancerBoard
    codec: SegmentCodec
    health: HealthKeeper

    def rejoin(
        self, flow: bytes, search: Search, server: Server, now: float
    ) -> None:
        """Takes up a flow whose search has ended at a server."""
        counters = self.board.records.counters
        counters[Count.FOUND] += 1
        if server.entry.service != search.services[0]:
            counters[Count.FOUND_ELSEWHERE] += 1
        self.board.records.decide(
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
        note = request_note(self.board, search, NoteKind.HELD, server.tag, now)
        for segment in search.waiting:
            datagram = self.codec.with_note(segment, note)
            self.board.outbox.append(
                SendAgent(
                    server.entry.host, datagram, segment.flow, segment.seq
                )
            )
        self.health.expect(server, now)

    def learn(self, host: str, segment: Segment, now: float) -> None:
        """Takes word of a flow after its search has ended."""
        server = self.board.by_host.get(host)
        if server is not None and segment.flow not in self.board.flows:
            placement = Placement(server, True, now, segment)
            self.board.flows[segment.flow] = placement
