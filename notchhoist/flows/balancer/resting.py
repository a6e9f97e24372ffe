"""A balancer's controller for flows that rest when their server ends.

A caller keeps a flow open between its requests, and its balancer hears nothing
of it meanwhile. Where the server may have ended, the caller's newest packet is
sent once more: the agent beside the server, or the server itself, gives it back
where the flow is no more, and what follows is what a packet of the caller would
bring about, but before the caller's next request.
"""

from msgspec import Struct, field

from notchhoist.flows.balancer.finding import FlowFinder
from notchhoist.flows.balancer.health import DOUBT_S, HealthKeeper
from notchhoist.flows.boards.balancer_board import BalancerBoard, Placement
from notchhoist.flows.decisions.ending import has_announced, has_ended
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendAgent
from notchhoist.flows.model.fleet import Server
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import SegmentCodec

LOOK_EVERY_S = 0.5
"""Time between two looks at the servers where flows rest, seconds."""

UNHEARD_S = 1.0
"""An agent with resting flows is asked for a sign of life after this silence,
seconds."""

PROBES_PER_S = 50
"""Such questions in a second at the most; half of what control may take."""

WITNESSES = 2
"""Agents elsewhere that are asked for each silent one: a host that hears fewer
others than are silent takes the silence for its own."""

STALE_S = 5.0
"""Entries of servers that had ended before are replaced for so long after the
list is first read, seconds; the flows were placed since, at the new ones."""

COPIES = 3
"""How often a resting flow is tried for one reason; datagrams get lost."""

COPY_PAUSE_S = 1.0
"""Time between two such tries, seconds."""

BATCH = 50
"""Flows tried in one look at the most; a link of 5 Mbit/s carries 50 packets of
1.2 KB in 0.1 s."""


VANISHED = "entry vanished"


class Doubt(Struct, eq=False):
    """Flows of one server that may have ended.

    Attributes:
        reason: Why, for the log.
        due: When they are tried next, seconds.
        copies: How often they were tried.
    """

    reason: str
    due: float
    copies: int = 0


class RestingKeeper(Struct, eq=False):
    """Finds out about flows that rest.

    Attributes:
        board: What the balancer knows.
        codec: Codec of the packets.
        health: Watches over the agents.
        finder: Finds flows.
        doubts: Servers that may have ended, by id.
        look_due: When servers are next looked at, seconds.
    """

    board: BalancerBoard
    codec: SegmentCodec
    health: HealthKeeper
    finder: FlowFinder
    doubts: dict[str, Doubt] = field(default_factory=dict)
    look_due: float = 0.0

    def tick(self, now: float) -> None:
        """Looks after the servers where flows rest."""
        if not self.board.uses.resting:
            return
        self._search_displaced(now)
        if now < self.look_due:
            return
        self.look_due = now + LOOK_EVERY_S
        resting = self._by_server()
        self._note_doubts(resting, now)
        self._probe_unheard(resting, now)
        for server, flows in resting.values():
            doubt = self.doubts.get(server.entry.server_id)
            if has_ended(server, self.board.store_failed_at, now):
                self._give_up(server, now)
            elif doubt is not None and now >= doubt.due:
                self._try(server, flows, doubt, now)

    def _search_displaced(self, now: float) -> None:
        """Looks for flows whose server has given its host to another."""
        board = self.board
        displaced, board.displaced = board.displaced, {}
        for flow, former in displaced.items():
            placement = board.flows.get(flow)
            if placement is None or not _rests(placement):
                continue
            if placement.server.entry.service == former:
                if now - board.known_since >= STALE_S:
                    self._doubt(placement.server, "server replaced", now)
                continue
            del board.flows[flow]
            board.records.counters[Count.SEARCHED_AT_REST] += 1
            self.finder.on_unknown(former, placement.last, now)

    def _by_server(self) -> dict[str, tuple[Server, list[bytes]]]:
        """Returns the servers where flows rest, with these flows."""
        found: dict[str, tuple[Server, list[bytes]]] = {}
        for flow, placement in self.board.flows.items():
            if not _rests(placement):
                continue
            server = placement.server
            flows = found.setdefault(server.entry.server_id, (server, []))[1]
            flows.append(flow)
        return found

    def _note_doubts(
        self, resting: dict[str, tuple[Server, list[bytes]]], now: float
    ) -> None:
        for server_id in [key for key in self.doubts if key not in resting]:
            del self.doubts[server_id]
        for server_id, (server, _) in resting.items():
            known = self.doubts.get(server_id)
            if not server.listed and not has_announced(server):
                # One that leaves closes its flows; its agent sees the rest.
                self._doubt(server, VANISHED, now)
            elif known is not None and known.reason == VANISHED:
                del self.doubts[server_id]

    def _doubt(self, server: Server, reason: str, now: float) -> None:
        """Has the flows of a server tried."""
        server_id = server.entry.server_id
        known = self.doubts.get(server_id)
        if known is None or known.reason != reason:
            self.doubts[server_id] = Doubt(reason, now)
            self.look_due = now

    def _probe_unheard(
        self, resting: dict[str, tuple[Server, list[bytes]]], now: float
    ) -> None:
        """Asks agents that were not heard lately for a sign of life."""
        pause_s = max(UNHEARD_S, len(resting) / PROBES_PER_S)
        silent = 0
        for server, flows in resting.values():
            used_at = max(self.board.flows[flow].last_at for flow in flows)
            if now - used_at <= UNHEARD_S:
                continue  # The packet asked already.
            silent += server.suspected and not server.lost
            if now - server.heard_at > pause_s:
                self._probe(server, now)
        if silent:
            self._probe_witnesses(silent, now)

    def _probe_witnesses(self, silent: int, now: float) -> None:
        """Asks agents elsewhere, to tell lost hosts from an own loss."""
        others = [
            server
            for server in self.board.by_host.values()
            if server.listed and not server.suspected
        ]
        others.sort(key=lambda server: -server.heard_at)
        for server in others[: WITNESSES * silent]:
            if now - server.heard_at > DOUBT_S:
                self._probe(server, now)

    def _probe(self, server: Server, now: float) -> None:
        if self.health.probe(server, now):
            self.board.records.counters[Count.PROBED_AT_REST] += 1

    def _try(
        self, server: Server, flows: list[bytes], doubt: Doubt, now: float
    ) -> None:
        """Sends the last packets of flows once more."""
        doubt.copies += 1
        last_copy = doubt.copies >= COPIES
        doubt.due = float("inf") if last_copy else now + COPY_PAUSE_S
        note = notes.to_agent(NoteKind.HELD, server.tag, notes.NO_WISH)
        for flow in flows[:BATCH]:
            last = self.board.flows[flow].last
            datagram = self.codec.with_note(last, note)
            self.board.outbox.append(
                SendAgent(server.entry.host, datagram, flow, last.seq)
            )
        self.health.expect(server, now)
        self.board.records.counters[Count.SEARCHED_AT_REST] += len(flows)
        self.board.records.decide(
            "try resting flows",
            b"",
            server.entry.server_id,
            reason=doubt.reason,
            flows=len(flows),
            copies=doubt.copies,
            heard_s=round(now - server.heard_at, 3),
        )

    def _give_up(self, server: Server, now: float) -> None:
        self.board.records.counters[Count.LEFT_FOR_GOOD] += 1
        refused_since = server.refused_since or now
        self.health.give_up(
            server,
            now,
            "server and agent ended",
            unlisted_s=round(now - server.unlisted_at, 3),
            refused_s=round(now - refused_since, 3),
            announced=server.entry.draining,
        )

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        board = self.board
        if not board.uses.resting or not (board.flows or board.displaced):
            return float("inf")
        return float("-inf") if board.displaced else self.look_due


def _rests(placement: Placement) -> bool:
    """Tells whether a flow is open as far as its balancer knows.

    Where only the opening packet came through here, its caller may have chosen
    another server that another balancer had offered the flow to.
    """
    opening = placement.last.opens or not placement.accepted
    return not opening and not placement.closing
