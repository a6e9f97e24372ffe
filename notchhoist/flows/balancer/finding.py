"""Searches for flows that a balancer does not know.

A backend server knows its flows, and the agent on its host sees their packets.
So the balancer queries agents by the header of a packet: first those of the
servers that the flow may have been placed at, then all others that may have the
flow. The flow is reset only after every one of them has reported it absent.
"""

from collections.abc import Mapping

from msgspec import Struct

from notchhoist.flows.balancer import search_records
from notchhoist.flows.balancer.absence import AbsenceChecker
from notchhoist.flows.balancer.confirming import ViewConfirmer
from notchhoist.flows.balancer.flow_queries import FlowQueries
from notchhoist.flows.balancer.health import AgentHealthMonitor
from notchhoist.flows.balancer.resetting import FlowResetter
from notchhoist.flows.balancer.resuming import FlowResumer
from notchhoist.flows.balancer.sample_packets import SampleSender
from notchhoist.flows.balancer.scope import SearchScope
from notchhoist.flows.boards.balancer_board import BalancerBoard, Search
from notchhoist.flows.model.messages import FlowsTell
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import Segment, SegmentCodec

WAITING_PACKETS_MAX = 16
"""Maximum number of packets that wait for one search; a caller has no more of
them in flight."""

BUFFERED_SEARCHES_MAX = 2_000
"""With more searches than this, only the first packet of each one waits: 16
packets of 1.2 KB for each would take 40 MB on a host with 120 MB of memory."""

CHECK_INTERVAL_S = 0.1
"""Time between two checks for silent agents, seconds; when some are silent, the
remaining agents are queried too."""

SEARCH_TIMEOUT_S = 4.0
"""Time after which a search is given up when agents have not answered, seconds.
A caller's retransmissions arrive up to 3 s after a packet, and a restarted
agent is back by then. Waiting is cheap, since queries are repeated with
back-off; a search given up earlier would query all agents again on the next
retransmission."""

UNCONFIRMED_RESET_DELAY_S = 0.7
"""Delay before the reset of a flow that every agent reported absent, seconds,
without a confirmation of the platform that every server is known. Another
balancer may have placed the flow at a server that is not known here yet: its
entry takes up to 0.25 s because changes are batched, and 0.4 s over a saturated
5 Mbit/s link."""

SEARCHES_MAX = 20_000
"""Maximum number of concurrent searches; further flows are searched for on the
caller's next retransmission."""


class FlowFinder(Struct, eq=False):
    """Searches for unknown flows by querying agents.

    Attributes:
        board: State of the balancer.
        codec: Codec of the packets.
        health: Monitors the agents.
        resetter: Resets flows.
        confirmer: Confirms the server list with the platform.
        queries: Sends the queries to agents.
        sample_sender: Sends sample packets to unsure agents.
        resumer: Resumes flows that were found.
        absence: Decides when a flow is proven absent.
        scope: Selects the agents to query.
        next_check_at: When a search next needs a check, or earlier, seconds.
            Cached, since it is read after each packet.
    """

    board: BalancerBoard
    codec: SegmentCodec
    health: AgentHealthMonitor
    resetter: FlowResetter
    confirmer: ViewConfirmer
    queries: FlowQueries
    sample_sender: SampleSender
    resumer: FlowResumer
    absence: AbsenceChecker
    scope: SearchScope
    next_check_at: float = float("inf")

    def on_unknown(
        self, service: str, segment: Segment, now: float, absent_at: str = ""
    ) -> None:
        """Starts a search for the flow of a packet, or joins the current one.

        Args:
            service: The service that most likely holds the flow.
            segment: The packet; it is kept until the search ends.
            now: Runtime clock, seconds.
            absent_at: Host of an agent that has already reported the flow
                absent.
        """
        board = self.board
        search = board.searches.get(segment.flow)
        if search is not None:
            overloaded = len(board.searches) > BUFFERED_SEARCHES_MAX
            if len(search.waiting) < (1 if overloaded else WAITING_PACKETS_MAX):
                search.waiting.append(segment)
            return
        if segment.resets or len(board.searches) >= SEARCHES_MAX:
            return
        services = self.scope.candidate_services(service, segment)
        hosts = self.scope.likely_hosts(services[0], segment.flow)
        hosts.discard(absent_at)
        reported_absent = self.scope.tags_of([absent_at])
        search = Search(
            services, [segment], set(), [], since=now, asked=reported_absent
        )
        board.searches[segment.flow] = search
        board.records.counters[Count.FINDS] += 1
        self._query(search, self.scope.tags_of(hosts), now)
        self._schedule_check(search)
        if not hosts:
            self._advance(segment.flow, search, now)

    def _query(
        self, search: Search, tags: Mapping[str, int], now: float
    ) -> bool:
        """Queries agents under their tags; returns whether there are any."""
        if not tags:
            return False
        search.all_absent_at = None
        search.sent_at = now
        search.rounds += 1
        search.unanswered.update(tags)
        flow = search.waiting[0].flow
        for host in tags.keys() & search.asked.keys():
            self.queries.forget(flow, {host}, search.asked[host])
        search.asked.update(tags)
        for host in sorted(search.unanswered):
            tag = search.asked[host]
            self.queries.query([host], tag, search.waiting[0], now)
            server = self.board.by_host.get(host)
            if server is not None:
                self.health.on_packet_sent(server, now)
        return True

    def _query_remaining(self, search: Search, now: float) -> bool:
        """Queries all other possible agents; returns whether there are any."""
        fresh = self.scope.unqueried_agents(search, now) or self.scope.widen(
            search, now
        )
        return self._query(search, fresh, now)

    def on_answer(
        self, host: str, kind: NoteKind, segment: Segment, now: float
    ) -> None:
        """Handles an agent's answer about the flow of one packet."""
        if segment.flow in self.board.searches:
            self._handle_answer(host, kind, segment.flow, now)
        elif kind is NoteKind.PRESENT:
            self.resumer.record_late_answer(host, segment, now)

    def on_tell(self, host: str, tell: FlowsTell, now: float) -> None:
        """Handles an agent's answer about several flows."""
        load = Load(tell.flows, tell.running, tell.pace_ms)
        self.health.on_heard(host, load, now)
        asked = self.queries.on_answer(host, tell.number, now)
        for flow in tell.present:
            self._handle_answer(host, NoteKind.PRESENT, flow, now)
        for flow in tell.absent:
            search = self.board.searches.get(flow)
            sampled = search is not None and host in search.sampled
            if flow in asked or (sampled and not tell.number):
                self._handle_answer(host, NoteKind.ABSENT, flow, now)
        unsure = self.absence.interpret_unsure(host, tell, now)
        for flow in tell.unsure:
            search = self.board.searches.get(flow)
            if search is None or flow not in asked:
                continue
            if unsure is NoteKind.ABSENT:
                search.presumed[host] = now - tell.age_ms / 1000
            self._handle_answer(host, unsure, flow, now)

    def _handle_answer(
        self, host: str, kind: NoteKind, flow: bytes, now: float
    ) -> None:
        search = self.board.searches.get(flow)
        if search is None:
            return
        if kind is NoteKind.PRESENT:
            self._on_found(flow, search, host, now)
        elif host in search.sampled:
            self._on_sample_returned(flow, search, host, now)
        elif host in search.unanswered:
            search.unanswered.discard(host)
            if kind is NoteKind.UNSURE:
                search.unsure.append(host)
            if not search.unanswered:
                self._advance(flow, search, now)

    def _on_sample_returned(
        self, flow: bytes, search: Search, host: str, now: float
    ) -> None:
        """Handles an agent's report that its server returned the sample."""
        search.sampled.discard(host)
        if not search.sampled:
            self._advance(flow, search, now)

    def _end(self, flow: bytes, search: Search) -> None:
        """Removes a search and its queries, whatever its outcome."""
        del self.board.searches[flow]
        self.scope.on_ended(search)
        for host, tag in search.asked.items():
            self.queries.forget(flow, {host}, tag)

    def on_returned(self, host: str, segment: Segment, now: float) -> None:
        """Handles a packet returned because its flow is not at the server."""
        flow = segment.flow
        search = self.board.searches.get(flow)
        if search is not None:
            if host in search.sampled:
                self._on_sample_returned(flow, search, host, now)
            return
        placement = self.board.flows.get(flow)
        if placement is None or placement.server.entry.host != host:
            return
        del self.board.flows[flow]
        service = placement.server.entry.service
        self.on_unknown(service, segment, now, absent_at=host)

    def _on_found(
        self, flow: bytes, search: Search, host: str, now: float
    ) -> None:
        server = self.board.by_host.get(host)
        self._end(flow, search)
        if server is None:
            return
        search_records.record_duration(self.board, search, "found", now)
        self.resumer.resume(flow, search, server, now)

    def _advance(self, flow: bytes, search: Search, now: float) -> None:
        """Queries more agents, samples unsure ones, or ends the search."""
        self.absence.retract_presumptions(search, now)
        more = (
            self._query(search, self.scope.unqueried_agents(search, now), now)
            or self.sample_sender.send_to_unsure(search, now)
            or self._query(search, self.scope.widen(search, now), now)
        )
        if more:
            self._schedule_check(search)
            return
        if search.silent or search.is_truncated:
            # Silent sampled agents and agents not queried may have the flow,
            # so it must not be reset.
            reason = "tried agents" if search.silent else "agents not asked"
            self._give_up(flow, search, reason, now)
            return
        search.all_absent_at = now
        self._conclude_if_confirmed(flow, search, now)
        self._schedule_check(search)

    def _conclude_if_confirmed(
        self, flow: bytes, search: Search, now: float
    ) -> None:
        """Ends a search once the flow's absence is proven and confirmed."""
        if not self.board.uses.confirming or search.all_absent_at is None:
            return
        if not self.absence.is_complete(search, now):
            return
        if self.confirmer.confirmed_up_to >= search.since:
            self._conclude_absent(flow, search, now)
        else:
            self.confirmer.request_confirmation(now)

    def on_view_confirmed(self, now: float) -> None:
        """Handles a confirmation of the server list by the platform."""
        self.confirmer.on_confirmed()
        for flow, search in list(self.board.searches.items()):
            self._conclude_if_confirmed(flow, search, now)
        self._update_next_check()

    def _give_up(
        self, flow: bytes, search: Search, reason: str, now: float
    ) -> None:
        """Ends a search without a reset.

        The caller's next retransmission starts a new search.
        """
        self._end(flow, search)
        search_records.record_given_up(self.board, flow, search, reason, now)

    def _conclude_absent(self, flow: bytes, search: Search, now: float) -> None:
        """Queries agents that became known meanwhile, or resets the flow."""
        if self.absence.retract_presumptions(search, now):
            search.all_absent_at = None
            self._advance(flow, search, now)
            return
        if self._query_remaining(search, now):
            return
        if search.is_truncated:
            self._give_up(flow, search, "agents not asked", now)
            return
        self._end(flow, search)
        self.board.records.counters[Count.FOUND_NOWHERE] += 1
        search_records.record_duration(self.board, search, "found nowhere", now)
        confirmed_up_to = self.confirmer.confirmed_up_to
        self.resetter.reset(
            search.waiting[-1],
            "found nowhere",
            **search_records.absence_inputs(search, confirmed_up_to, now),
            revision=self.board.view.revision,
        )

    def tick(self, now: float) -> None:
        """Repeats queries and handles searches whose agents are silent."""
        self._search_unlocated(now)
        self.queries.tick(now)
        for flow, search in list(self.board.searches.items()):
            if search.all_absent_at is not None:
                if now - search.all_absent_at >= UNCONFIRMED_RESET_DELAY_S:
                    self._conclude_absent(flow, search, now)
                else:
                    self._conclude_if_confirmed(flow, search, now)
            elif search.sampled:
                if now - search.sent_at >= search.sample_wait_s:
                    search.silent |= search.sampled
                    search.sampled.clear()
                    self._advance(flow, search, now)
            elif now - search.sent_at >= CHECK_INTERVAL_S:
                self._check_unanswered(flow, search, now)
        self._update_next_check()

    def _search_unlocated(self, now: float) -> None:
        unlocated, self.board.unlocated = self.board.unlocated, {}
        for flow, (service, segment) in unlocated.items():
            if flow not in self.board.flows:
                self.on_unknown(service, segment, now)

    def _check_unanswered(
        self, flow: bytes, search: Search, now: float
    ) -> None:
        """Drops agents that left, then queries remaining ones or gives up."""
        search.sent_at = now
        for host in list(search.unanswered):
            if self.scope.is_out_of_scope(search, host, now):
                # It is queried anew if it is heard again before the end.
                search.unanswered.discard(host)
                self.queries.forget(flow, {host}, search.asked.pop(host))
        if not search.unanswered:
            self._advance(flow, search, now)
        elif now - search.since >= SEARCH_TIMEOUT_S:
            # A restarting agent may have the flow, so it must not be reset.
            self._give_up(flow, search, "silent agents", now)
        else:
            self._query_remaining(search, now)

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        if self.board.unlocated:
            return float("-inf")
        return min(self.next_check_at, self.queries.due())

    def _update_next_check(self) -> None:
        """Computes when a search next needs a check."""
        next_confirmation = self.confirmer.due()
        self.next_check_at = min(
            (
                _check_time(item, next_confirmation)
                for item in self.board.searches.values()
            ),
            default=float("inf"),
        )

    def _schedule_check(self, search: Search) -> None:
        """Moves the next check forward if a search needs one earlier."""
        due = _check_time(search, self.confirmer.due())
        self.next_check_at = min(self.next_check_at, due)


def _check_time(search: Search, next_confirmation: float) -> float:
    """Returns when a search next needs a check, seconds."""
    if search.all_absent_at is not None:
        return min(
            search.all_absent_at + UNCONFIRMED_RESET_DELAY_S, next_confirmation
        )
    return search.sent_at + (
        search.sample_wait_s if search.sampled else CHECK_INTERVAL_S
    )
