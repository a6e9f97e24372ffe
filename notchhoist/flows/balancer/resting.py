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
"""How often a resting flow is tried for one reason; words get lost."""

COPY_PAUSE_S = 1.0
"""Time between two such tries, seconds."""

BATCH = 50
"""Flows tried in one look at the most; a link of 5 Mbit/s carries 50 packets of
1.2 KB in 0.1 s."""

FLOWS_A_LOOK = 5_000
"""Flows walked in one look at the most, so that the process is not held up; a
walk of more goes on at the next look."""

VANISHED = "entry vanished"
"""Reason of a doubt that holds until the entry is back; it brings copies once,
while each replacement of a server does so anew."""


class Doubt(Struct, eq=False):
    """Flows of one server that may have ended.

    Attributes:
        reason: Why, for the log.
        since: What rests there is known by a walk that began then or later,
            seconds.
        due: When they are tried next, seconds.
        copies: How often they were tried.
        untried: Flows of this round that are yet to be tried.
    """

    reason: str
    since: float
    due: float
    copies: int = 0
    untried: list[bytes] = field(default_factory=list)


class Rest(Struct, eq=False):
    """What rests at one server.

    Attributes:
        server: The server.
        flows: The flows.
        used_at: When any of them was last used, seconds.
    """

    server: Server
    flows: list[bytes] = field(default_factory=list)
    used_at: float = float("-inf")


class Walk(Struct, eq=False):
    """A walk over all flows, in slices.

    Attributes:
        began_at: When it began, seconds.
        left: Flows that are yet to be looked at.
        found: What rests, by id of the server.
    """

    began_at: float = float("-inf")
    left: list[bytes] = field(default_factory=list)
    found: dict[str, Rest] = field(default_factory=dict)


class RestingKeeper(Struct, eq=False):
    """Finds out about flows that rest.

    Attributes:
        board: What the balancer knows.
        codec: Codec of the packets.
        health: Watches over the agents.
        finder: Finds flows.
        doubts: Servers that may have ended, by id.
        walk: The walk under way, or the last one.
        resting: What the last walk that has ended found, by id of the server.
        known_at: When that walk began, seconds.
        look_due: When servers are next looked at, seconds.
    """

    board: BalancerBoard
    codec: SegmentCodec
    health: HealthKeeper
    finder: FlowFinder
    doubts: dict[str, Doubt] = field(default_factory=dict)
    walk: Walk = field(default_factory=Walk)
    resting: dict[str, Rest] = field(default_factory=dict)
    known_at: float = float("-inf")
    look_due: float = 0.0

    def tick(self, now: float) -> None:
        """Looks after the servers where flows rest."""
        if not self.board.uses.resting:
            return
        self._search_displaced(now)
        if now < self.look_due:
            return
        self.look_due = now + LOOK_EVERY_S
        if self._walk_on(now):
            self._note_doubts(now)
        self._probe_unheard(now)
        for server_id, rest in list(self.resting.items()):
            doubt = self.doubts.get(server_id)
            if has_ended(rest.server, self.board.store_failed_at, now):
                del self.resting[server_id]
                self._give_up(rest.server, now)
            elif doubt is not None and self._is_due(doubt, now):
                self._try(rest, doubt, now)

    def _is_due(self, doubt: Doubt, now: float) -> bool:
        return now >= doubt.due and doubt.since <= self.known_at

    def _search_displaced(self, now: float) -> None:
        """Looks for flows whose server has given its host to another."""
        board = self.board
        displaced, board.displaced = board.displaced, {}
        for flow, former in displaced.items():
            placement = board.flows.get(flow)
            if placement is None or not _is_open(placement):
                continue
            if placement.server.entry.service == former:
                if now - board.known_since >= STALE_S:
                    server_id = placement.server.entry.server_id
                    self._doubt(server_id, "server replaced", now, now)
                continue
            del board.flows[flow]
            board.records.counters[Count.SEARCHED_AT_REST] += 1
            self.finder.on_unknown(former, placement.last, now)

    def _walk_on(self, now: float) -> bool:
        """Looks at some more flows; tells whether a walk has ended."""
        board, walk = self.board, self.walk
        if not walk.left:
            walk = self.walk = Walk(now, list(board.flows))
        for flow in walk.left[-FLOWS_A_LOOK:]:
            placement = board.flows.get(flow)
            if placement is None or not _is_open(placement):
                continue
            server_id = placement.server.entry.server_id
            rest = walk.found.get(server_id)
            if rest is None or rest.server is not placement.server:
                rest = walk.found[server_id] = Rest(placement.server)
            rest.flows.append(flow)
            rest.used_at = max(rest.used_at, placement.last_at)
        del walk.left[-FLOWS_A_LOOK:]
        if walk.left:
            return False
        self.resting, self.known_at = walk.found, walk.began_at
        return True

    def _note_doubts(self, now: float) -> None:
        """Takes account of a walk that has ended."""
        for server_id, doubt in list(self.doubts.items()):
            if server_id not in self.resting and doubt.since <= self.known_at:
                del self.doubts[server_id]
        for server_id, rest in self.resting.items():
            known = self.doubts.get(server_id)
            if not rest.server.listed and not has_announced(rest.server):
                # One that leaves closes its flows; its agent sees the rest.
                self._doubt(server_id, VANISHED, self.known_at, now)
            elif known is not None and known.reason == VANISHED:
                del self.doubts[server_id]

    def _doubt(
        self, server_id: str, reason: str, since: float, now: float
    ) -> None:
        """Has the flows of a server tried."""
        known = self.doubts.get(server_id)
        spent = known is not None and known.copies >= COPIES
        renewed = spent and reason != VANISHED
        if known is None or known.reason != reason or renewed:
            self.doubts[server_id] = Doubt(reason, since, now)
            self.look_due = now

    def _probe_unheard(self, now: float) -> None:
        """Asks agents that were not heard lately for a sign of life."""
        pause_s = max(UNHEARD_S, len(self.resting) / PROBES_PER_S)
        silent = 0
        for rest in self.resting.values():
            server = rest.server
            if now - rest.used_at <= UNHEARD_S:
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

    def _try(self, rest: Rest, doubt: Doubt, now: float) -> None:
        """Sends the last packets of flows once more, some at each look."""
        if not doubt.untried:
            doubt.copies += 1
            doubt.untried = list(rest.flows)
        batch, doubt.untried = doubt.untried[:BATCH], doubt.untried[BATCH:]
        if doubt.untried:
            doubt.due = now
        else:
            last_copy = doubt.copies >= COPIES
            doubt.due = float("inf") if last_copy else now + COPY_PAUSE_S
        server = rest.server
        batch = [flow for flow in batch if self._is_at(flow, server)]
        if batch:
            self._send_copies(server, batch, doubt, now)

    def _is_at(self, flow: bytes, server: Server) -> bool:
        """Tells whether a flow is still open at a server."""
        placement = self.board.flows.get(flow)
        if placement is None or placement.server is not server:
            return False
        return _is_open(placement)

    def _send_copies(
        self, server: Server, batch: list[bytes], doubt: Doubt, now: float
    ) -> None:
        note = notes.to_agent(NoteKind.HELD, server.tag, notes.NO_WISH)
        for flow in batch:
            last = self.board.flows[flow].last
            datagram = self.codec.with_note(last, note)
            self.board.outbox.append(
                SendAgent(server.entry.host, datagram, flow, last.seq)
            )
        self.health.expect(server, now)
        self.board.records.counters[Count.SEARCHED_AT_REST] += len(batch)
        self.board.records.decide(
            "try resting flows",
            b"",
            server.entry.server_id,
            reason=doubt.reason,
            flows=len(batch),
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


def _is_open(placement: Placement) -> bool:
    """Tells whether a flow is open as far as its balancer knows.

    Where only the opening packet came through here, its caller may have chosen
    another server that another balancer had offered the flow to.
    """
    opening = placement.last.opens or not placement.accepted
    return not opening and not placement.closing
