"""A balancer's controller for new flows that wait here for a slot."""

from collections.abc import Sequence

from msgspec import Struct, field

from notchhoist.flows.balancer.health import HealthKeeper
from notchhoist.flows.boards.balancer_board import (
    BalancerBoard,
    Opening,
    ParkedFlow,
)
from notchhoist.flows.decisions import parking, placing
from notchhoist.flows.decisions.queueing import SlotQueue
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendAgent
from notchhoist.flows.model.fleet import Server
from notchhoist.flows.model.mechanisms import ALL
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.records import Count, Timing
from notchhoist.flows.model.segments import Segment, SegmentCodec

ASK_AGAIN_S = 0.35
"""Time after which agents are asked again for a slot, seconds: a reservation or
a call may be lost, and agents drop what they keep for a balancer that did not
answer in time."""

FOREVER = float("inf")

IN_ORDER = SlotQueue(ALL.without(["late_first"]))
"""Late flows after those on time; an agent that prefers them names one."""


class FlowParking(Struct, eq=False):
    """Keeps new flows that found no free slot, and reserves for them.

    The load it answers is that of ``decisions.parking``.

    Attributes:
        board: What the balancer knows.
        codec: Codec of the packets.
        health: Watches over the agents.
        reserved: Agents that keep reservations of this balancer, by service.
        look_due: When ``tick`` is next needed, seconds.
    """

    board: BalancerBoard
    codec: SegmentCodec
    health: HealthKeeper
    reserved: dict[str, dict[str, Server]] = field(default_factory=dict)
    look_due: float = FOREVER

    def concerns(self, servers: Sequence[Server]) -> bool:
        """Tells whether flows wait here for one of some servers."""
        uses = self.board.uses.parking
        return uses and parking.calls_for_parking(servers)

    def holds(self, flow: bytes) -> bool:
        """Tells whether a flow waits here."""
        return flow in self.board.parked

    def take_in(
        self, opening: Opening, servers: Sequence[Server], now: float
    ) -> bool:
        """Lets a flow wait here that found no free slot, if that helps it.

        Args:
            opening: The flow; no offer of it is under way.
            servers: Servers of its service that may get a new flow.
            now: Runtime clock, seconds.

        Returns:
            Whether it waits; else it is to be bound.
        """
        board = self.board
        if not self.concerns(servers):
            return False
        timeout_s = opening.route.timeout_ms / 1000
        bind_at = parking.bind_at(opening.asked_since, timeout_s)
        chosen = self._choose(opening, servers)
        if now >= bind_at or not chosen:
            return False
        asked = [
            item for item in servers if item.entry.server_id in opening.busy
        ]
        if parking.is_short(asked, servers):
            return False
        segment = opening.segment
        wish = opening.route.wish(
            now - opening.asked_since, opening.may_be_retry
        )
        parked = ParkedFlow(
            segment.flow, now, wish, True, opening=opening, bind_at=bind_at
        )
        board.openings.pop(segment.flow, None)
        board.flows.pop(segment.flow, None)
        board.parked[segment.flow] = parked
        board.records.counters[Count.PARKED] += 1
        self._reserve(parked, chosen, now)
        self.look_due = min(self.look_due, bind_at, now + ASK_AGAIN_S)
        return True

    def _choose(
        self, opening: Opening, servers: Sequence[Server]
    ) -> list[Server]:
        """Returns the servers to reserve with, where searches look first."""
        few = placing.candidates(opening.segment.flow, servers, self.board.zone)
        return [item for item in few if item.reserves]

    def _reserve(
        self, parked: ParkedFlow, servers: Sequence[Server], now: float
    ) -> None:
        opening = parked.opening
        age_s = now - opening.asked_since
        wish = opening.route.wish(age_s, opening.may_be_retry)
        parked.asked = [item.entry.server_id for item in servers]
        parked.asked_at = now
        reserved = self.reserved.setdefault(opening.service, {})
        for server in servers:
            reserved[server.entry.host] = server
            self._send(server, NoteKind.RESERVE, opening.segment, now, wish)

    def _send(
        self,
        server: Server,
        kind: NoteKind,
        segment: Segment,
        now: float,
        wish: notes.Wish = notes.NO_WISH,
    ) -> None:
        note = notes.to_agent(kind, server.tag, wish)
        datagram = self.codec.head_with_note(segment, note)
        self.board.outbox.append(SendAgent(server.entry.host, datagram))
        self.health.expect(server, now)

    def next_for(
        self, server: Server, named: bytes, now: float
    ) -> ParkedFlow | None:
        """Returns the flow for a server whose agent has called, or None.

        Args:
            server: The server.
            named: The flow that its agent has named; it may have gone.
            now: Runtime clock, seconds.
        """
        service = server.entry.service
        parked = self.board.parked.get(named)
        if parked is not None and parked.opening.service == service:
            return parked
        waiting = [
            item
            for item in self.board.parked.values()
            if item.opening.service == service
        ]
        server_id = server.entry.server_id
        known = [item for item in waiting if server_id in item.asked]
        pace_s = server.pace_ms / 1000
        return IN_ORDER.pick(known or waiting, now, pace_s, 1)

    def tell_none(self, server: Server, segment: Segment, now: float) -> None:
        """Tells an agent that has called that nothing waits here."""
        reserved = self.reserved.get(server.entry.service, {})
        reserved.pop(server.entry.host, None)
        self._send(server, NoteKind.NONE_PARKED, segment, now)

    def release(self, flow: bytes, outcome: str, now: float) -> Opening | None:
        """Takes a flow out; agents hear of it when it was the last one."""
        parked = self.board.parked.pop(flow, None)
        if parked is None:
            return None
        opening = parked.opening
        waited_s = now - parked.arrived_at
        opening.parked_s += waited_s
        self.board.records.observe(
            Timing.PARKING, opening.service, outcome, waited_s
        )
        return opening

    def end_reservations(self, opening: Opening, but: str, now: float) -> None:
        """Tells agents that nothing waits here for their service any more.

        They would call in vain, and keep a slot meanwhile.

        Args:
            opening: A flow of the service that does not wait any more.
            but: Host of an agent that need not be told, or empty.
            now: Runtime clock, seconds.
        """
        service = opening.service
        if any(
            item.opening.service == service
            for item in self.board.parked.values()
        ):
            return
        for host, server in self.reserved.pop(service, {}).items():
            if host != but and self.board.by_host.get(host) is server:
                self._send(server, NoteKind.NONE_PARKED, opening.segment, now)

    def ask_again(self, parked: ParkedFlow, now: float) -> bool:
        """Asks agents again for a slot; tells whether there are any."""
        board = self.board
        service = parked.opening.service
        known = placing.open_to_new(
            board.by_service.get(service, []), board.view.evacuated
        )
        chosen = self._choose(parked.opening, placing.usable(known, now))
        if chosen:
            self._reserve(parked, chosen, now)
        return bool(chosen)

    def note_looked(self) -> None:
        """Works out when to look next."""
        self.look_due = min(
            (
                min(item.bind_at, item.asked_at + ASK_AGAIN_S)
                for item in self.board.parked.values()
            ),
            default=FOREVER,
        )
