"""A balancer's controller that finds flows which it does not know.

The backend server knows which flows it holds and its agent sees them, so the
balancer asks agents by a packet's head: first those beside the servers that
the flow is placed among, then all others that may hold it. Only where every
one of them has denied is the flow reset.
"""

from collections.abc import Mapping

from msgspec import Struct

from notchhoist.flows.balancer import search_records
from notchhoist.flows.balancer.confirming import ViewConfirmer
from notchhoist.flows.balancer.evidence import Evidence
from notchhoist.flows.balancer.health import HealthKeeper
from notchhoist.flows.balancer.questions import Questions
from notchhoist.flows.balancer.rejoining import FlowRejoiner
from notchhoist.flows.balancer.resetting import FlowResetter
from notchhoist.flows.balancer.scope import SearchScope
from notchhoist.flows.balancer.trying import FlowTrier
from notchhoist.flows.boards.balancer_board import BalancerBoard, Search
from notchhoist.flows.decisions import placing
from notchhoist.flows.model.messages import FlowsTell
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec

WAITING_MAX = 16
"""Packets that wait for one search; an end has no more under way."""

MANY_SEARCHES = 2_000
"""With more searches only the first packet of each waits: 16 of 1.2 KB each
would take 40 MB of a host of 120 MB."""

LOOK_EVERY_S = 0.1
"""Time between two looks at who is silent, seconds; 30 round trips. After the
first, more agents are asked."""

SEARCH_S = 4.0
"""Time for agents to answer before a search is given up, seconds. The copies of
a caller's packet come up to 3 s after it; an agent that is restarted is back by
then. Waiting costs nothing, as questions are repeated less and less, while a
search that was given up after 1.2 s began anew with the next copy and asked
everybody again: on thin hosts half of them after a loss of power."""

DENIED_WAIT_S = 0.7
"""Time before a flow that nobody holds is reset, seconds, where the platform
has not confirmed that every server is known. Another balancer may have placed
the flow at a server that is not known here yet: word of it takes 0.25 s to be
gathered, and 0.4 s where a link of 5 Mbit/s is full."""

SEARCHES_MAX = 20_000
"""Searches at one time; more are left to the caller's next copy."""


class FlowFinder(Struct, eq=False):
    """Finds flows by asking.

    Attributes:
        board: What the balancer knows.
        codec: Codec of the packets.
        health: Watches over the agents.
        resetter: Ends flows.
        confirmer: Has the list of servers confirmed.
        questions: Asks the agents.
        trier: Lets unsure agents find out.
        rejoiner: Takes up flows that were found.
        evidence: Says what may be concluded from what was told.
        scope: Chooses the agents that are asked.
        look_due: When a search next needs attention, or earlier, seconds. Kept,
            since it is asked for after each packet.
    """

    board: BalancerBoard
    codec: SegmentCodec
    health: HealthKeeper
    resetter: FlowResetter
    confirmer: ViewConfirmer
    questions: Questions
    trier: FlowTrier
    rejoiner: FlowRejoiner
    evidence: Evidence
    scope: SearchScope
    look_due: float = float("inf")

    def on_unknown(
        self, service: str, segment: Segment, now: float, absent_at: str = ""
    ) -> None:
        """Looks for the flow of a packet.

        Args:
            service: The service that most likely holds it.
            segment: The packet; it waits for the outcome.
            now: Runtime clock, seconds.
            absent_at: Host of an agent that has denied already.
        """
        board = self.board
        search = board.searches.get(segment.flow)
        if search is not None:
            many = len(board.searches) > MANY_SEARCHES
            if len(search.waiting) < (1 if many else WAITING_MAX):
                search.waiting.append(segment)
            return
        if segment.resets or len(board.searches) >= SEARCHES_MAX:
            return
        services = self.scope.services(service, segment)
        known = board.by_service.get(services[0], [])
        few = placing.candidates(segment.flow, known, board.zone)
        if board.view.evacuated:
            others = placing.open_to_new(known, board.view.evacuated)
            few += placing.candidates(segment.flow, others, board.zone)
        hosts = {item.entry.host for item in few if not item.lost}
        hosts.discard(absent_at)
        denied = self.scope.tags_of([absent_at])
        search = Search(services, [segment], set(), [], since=now, asked=denied)
        board.searches[segment.flow] = search
        board.records.counters[Count.FINDS] += 1
        self._ask(search, self.scope.tags_of(hosts), now)
        self._note_due(search)
        if not hosts:
            self._next(segment.flow, search, now)

    def _ask(
        self, search: Search, fresh: Mapping[str, int], now: float
    ) -> bool:
        """Asks agents, each under its tag; tells whether there are any."""
        if not fresh:
            return False
        search.denied_at = None
        search.sent_at = now
        search.rounds += 1
        search.unanswered.update(fresh)
        search.asked.update(fresh)
        for host in sorted(search.unanswered):
            tag = search.asked[host]
            self.questions.ask([host], tag, search.waiting[0], now)
            server = self.board.by_host.get(host)
            if server is not None:
                self.health.expect(server, now)
        return True

    def _ask_rest(self, search: Search, now: float) -> bool:
        """Asks all others that may hold the flow; tells whether any are."""
        fresh = self.scope.unasked(search) or self.scope.widen(search, now)
        return self._ask(search, fresh, now)

    def on_answer(
        self, host: str, kind: NoteKind, segment: Segment, now: float
    ) -> None:
        """Takes an agent's word on the flow of one packet."""
        if segment.flow in self.board.searches:
            self._take_answer(host, kind, segment.flow, now)
        elif kind is NoteKind.PRESENT:
            self.rejoiner.learn(host, segment, now)

    def on_tell(self, host: str, tell: FlowsTell, now: float) -> None:
        """Takes an agent's answer about several flows."""
        load = Load(tell.flows, tell.running, tell.pace_ms)
        self.health.on_heard(host, load, now)
        asked = self.questions.on_answer(host, tell.number, now)
        for flow in tell.present:
            self._take_answer(host, NoteKind.PRESENT, flow, now)
        for flow in tell.absent:
            search = self.board.searches.get(flow)
            tried = search is not None and host in search.trying
            if flow in asked or (tried and not tell.number):
                self._take_answer(host, NoteKind.ABSENT, flow, now)
        unsure = self.evidence.meaning_of_unsure(host, tell, now)
        for flow in tell.unsure:
            if flow in asked:
                self._take_answer(host, unsure, flow, now)

    def _take_answer(
        self, host: str, kind: NoteKind, flow: bytes, now: float
    ) -> None:
        search = self.board.searches.get(flow)
        if search is None:
            return
        if kind is NoteKind.PRESENT:
            self._found(flow, search, host, now)
        elif host in search.trying:
            self._on_tried(flow, search, host, now)
        elif host in search.unanswered:
            search.unanswered.discard(host)
            if kind is NoteKind.UNSURE:
                search.unsure.append(host)
            if not search.unanswered:
                self._next(flow, search, now)

    def _on_tried(
        self, flow: bytes, search: Search, host: str, now: float
    ) -> None:
        """Takes word that a flow is not at a server that was tried."""
        search.trying.discard(host)
        if not search.trying:
            self._next(flow, search, now)

    def _end(self, flow: bytes, search: Search) -> None:
        """Ends a search, whatever came of it."""
        del self.board.searches[flow]
        self.scope.on_ended(search)
        for host, tag in search.asked.items():
            self.questions.forget(flow, {host}, tag)

    def on_returned(self, host: str, segment: Segment, now: float) -> None:
        """Takes a packet back whose flow is not at an agent's server."""
        flow = segment.flow
        search = self.board.searches.get(flow)
        if search is not None:
            if host in search.trying:
                self._on_tried(flow, search, host, now)
            return
        placement = self.board.flows.get(flow)
        if placement is None or placement.server.entry.host != host:
            return
        del self.board.flows[flow]
        service = placement.server.entry.service
        self.on_unknown(service, segment, now, absent_at=host)

    def _found(
        self, flow: bytes, search: Search, host: str, now: float
    ) -> None:
        server = self.board.by_host.get(host)
        self._end(flow, search)
        if server is None:
            return
        search_records.observe(self.board, search, "found", now)
        self.rejoiner.rejoin(flow, search, server, now)

    def _next(self, flow: bytes, search: Search, now: float) -> None:
        """Asks more agents, tries unsure ones, or ends the search."""
        more = (
            self._ask(search, self.scope.unasked(search), now)
            or self.trier.try_unsure(search, now)
            or self._ask(search, self.scope.widen(search, now), now)
        )
        if more:
            self._note_due(search)
            return
        if search.silent or search.partial:
            # Whoever was tried or not asked may hold the flow: leave it alone.
            reason = "tried agents" if search.silent else "agents not asked"
            self._give_up(flow, search, reason, now)
            return
        search.denied_at = now
        self._settle_if_known(flow, search, now)
        self._note_due(search)

    def _settle_if_known(self, flow: bytes, search: Search, now: float) -> None:
        """Ends a search that every agent has denied, once it may."""
        if not self.board.uses.confirming or search.denied_at is None:
            return
        if not self.evidence.is_complete(search.services, now):
            return
        if self.confirmer.known_at >= search.since:
            self._settle(flow, search, now)
        else:
            self.confirmer.want(now)

    def on_view_confirmed(self, now: float) -> None:
        """Takes account of a confirmation by the platform."""
        self.confirmer.on_confirmed()
        for flow, search in list(self.board.searches.items()):
            self._settle_if_known(flow, search, now)
        self._look_again()

    def _give_up(
        self, flow: bytes, search: Search, reason: str, now: float
    ) -> None:
        """Ends a search without a reset; the caller's next copy starts anew."""
        self._end(flow, search)
        search_records.note_given_up(self.board, flow, search, reason, now)

    def _settle(self, flow: bytes, search: Search, now: float) -> None:
        """Asks servers that have become known meanwhile, or resets."""
        if self._ask_rest(search, now):
            return
        if search.partial:
            self._give_up(flow, search, "agents not asked", now)
            return
        self._end(flow, search)
        self.board.records.counters[Count.FOUND_NOWHERE] += 1
        search_records.observe(self.board, search, "found nowhere", now)
        known_at = self.confirmer.known_at
        self.resetter.reset(
            search.waiting[-1],
            "found nowhere",
            **search_records.nowhere_inputs(search, known_at, now),
            revision=self.board.view.revision,
        )

    def tick(self, now: float) -> None:
        """Decides where an agent keeps silent."""
        self.questions.tick(now)
        for flow, search in list(self.board.searches.items()):
            if search.denied_at is not None:
                if now - search.denied_at >= DENIED_WAIT_S:
                    self._settle(flow, search, now)
                else:
                    self._settle_if_known(flow, search, now)
            elif search.trying:
                if now - search.sent_at >= search.try_s:
                    search.silent |= search.trying
                    search.trying.clear()
                    self._next(flow, search, now)
            elif now - search.sent_at >= LOOK_EVERY_S:
                self._look(flow, search, now)
        self._look_again()

    def _look(self, flow: bytes, search: Search, now: float) -> None:
        """Looks at the agents that have not answered yet."""
        search.sent_at = now
        for host in list(search.unanswered):
            server = self.board.by_host.get(host)
            if server is None or server.lost:
                search.unanswered.discard(host)
        if not search.unanswered:
            self._next(flow, search, now)
        elif now - search.since >= SEARCH_S:
            # An agent that restarts may hold the flow: leave it alone.
            self._give_up(flow, search, "silent agents", now)
        else:
            self._ask_rest(search, now)

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        return min(self.look_due, self.questions.due())

    def _look_again(self) -> None:
        """Works out which search needs attention next."""
        next_call = self.confirmer.due()
        self.look_due = min(
            (_due(item, next_call) for item in self.board.searches.values()),
            default=float("inf"),
        )

    def _note_due(self, search: Search) -> None:
        """Takes account of a search that may need attention before others."""
        due = _due(search, self.confirmer.due())
        self.look_due = min(self.look_due, due)


def _due(search: Search, next_call: float) -> float:
    """Returns when a search next needs attention, seconds."""
    if search.denied_at is not None:
        return min(search.denied_at + DENIED_WAIT_S, next_call)
    return search.sent_at + (search.try_s if search.trying else LOOK_EVERY_S)
