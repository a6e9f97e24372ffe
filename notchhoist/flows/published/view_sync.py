"""A balancer's controller that synchronizes its view with other balancers.

A few balancers read the platform's store. The others query these for changes,
and each balancer pushes changes at once to those that have queried it.
"""

from collections.abc import Iterable

from msgspec import Struct, field

from notchhoist.base.errors import CodecError
from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import (
    Member,
    ViewAsk,
    ViewPiece,
    ViewTell,
)
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.revisions import era_of
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.published import reroutings
from notchhoist.flows.published.budget import PropagationBudget
from notchhoist.flows.published.fleet_updater import FleetUpdater
from notchhoist.flows.published.membership import ALIVE_TIMEOUT_S, Membership
from notchhoist.flows.published.parts import PartAssembler
from notchhoist.flows.published.pieces import PieceAssembler
from notchhoist.flows.published.query_schedule import (
    hosts_to_query,
    query_interval_s,
)
from notchhoist.flows.published.reconciliation import ViewReconciler
from notchhoist.flows.published.update_messages import (
    Query,
    UpdateBuilder,
    UpdateContext,
)

MAX_VIEW_AGE_S = PropagationBudget().max_age_s
"""Greatest age of a confirmed view that need not be read again, seconds, with
the default propagation deadline of 3 s."""

MAX_QUERIED_AT_ONCE = 6
"""Balancers that are queried at once by one that hears no agent."""

STORE_RETRY_S = 5.0
"""Time between attempts of a balancer to read a store that does not answer it,
while others keep its view up to date, seconds. Each call has a cost, also a
refused one."""

GAP_QUERY_INTERVAL_S = 0.1
"""Least time between two queries for missing changes, seconds."""

QUERY_TIMEOUT_S = 10.0
"""A query is dropped after this time, seconds; responses to it are stale."""


class ViewSynchronizer(Struct, eq=False):
    """Queries other balancers for published state, responds and pushes updates.

    Attributes:
        board: The balancer's blackboard.
        fleet: Applies changes.
        seeds: Hosts of some balancers, from the settings.
        membership: Which balancers there are, and which read the store.
        reconciler: Reconciles views that should be equal.
        max_age_s: Greatest age of a confirmed view that need not be read again,
            seconds.
        latest_queries: Latest query of each balancer, by host.
        query_sent_at: When each query that may still be answered was sent,
            seconds, by number.
        last_query_number: Number of the last query; see ``first_number``.
        pushed_revision: Revision that was last pushed.
        query_due: When to send the next query, seconds.
        query_rounds: Counts the rounds of queries.
        gap_query_due: When missing changes may be queried again, seconds.
        heard_at: When any other balancer was last heard, seconds.
        parts: Reassembles updates that arrive in parts.
        pieces: Reassembles compressed updates.
        update_builder: Builds the messages that carry changes.
    """

    board: BalancerBoard
    fleet: FleetUpdater
    seeds: tuple[str, ...]
    membership: Membership
    reconciler: ViewReconciler
    max_age_s: float = MAX_VIEW_AGE_S
    latest_queries: dict[str, Query] = field(default_factory=dict)
    query_sent_at: dict[int, float] = field(default_factory=dict)
    last_query_number: int = 0
    pushed_revision: int = 0
    query_due: float = 0.0
    query_rounds: int = 0
    gap_query_due: float = float("-inf")
    heard_at: float = float("-inf")
    parts: PartAssembler = field(default_factory=PartAssembler)
    pieces: PieceAssembler = field(default_factory=PieceAssembler)
    update_builder: UpdateBuilder = field(default_factory=UpdateBuilder)

    def stale_at(self) -> float:
        """Returns when the view becomes too old, seconds."""
        return self.board.confirmed_at + self.max_age_s

    def must_read(self, now: float) -> bool:
        """Returns whether to read the store now."""
        fresh = now < self.stale_at()
        readers_only = self.board.uses.few_readers and self.board.fleet_known
        if not fresh or not readers_only or self.reconciler.needs_store_read:
            return True
        if self.membership.is_reader(now):
            return True
        unserved = self.membership.is_unserved(self.board.host)
        return unserved and now >= self.board.store_failed_at + STORE_RETRY_S

    def on_confirmed(self, now: float, age_s: float = 0.0) -> None:
        """Records that the platform has confirmed the view.

        Args:
            now: Runtime clock, seconds.
            age_s: How long ago the platform may have confirmed it, seconds.
        """
        if self.board.confirmed_at == float("-inf"):
            # Seeds that have no view yet send a query back.
            self._send_queries(self._other_seeds(), now)
        self._set_confirmed(now - age_s, "")
        self._push_updates(now)

    def _set_confirmed(self, at: float, host: str) -> None:
        """Records up to when all published changes are known, and from whom."""
        if at > self.board.confirmed_at:
            self.board.confirmed_at = at
            self.board.confirmed_by = host

    def _other_seeds(self) -> list[str]:
        return [host for host in self.seeds if host != self.board.host]

    def on_query(self, host: str, view_query: ViewAsk, now: float) -> None:
        """Responds to a query; sends one back if this balancer has no view.

        After a power loss the first balancer that the platform answers queries
        the seeds, which all others query. All have the view three round trips
        later.
        """
        if not self.board.fleet_known and view_query.revision > 0:
            self._send_queries([host], now)
        self.heard_at = now
        requester = Member(
            host, view_query.link_mbps, unserved=view_query.unserved
        )
        self.membership.on_member(requester, now)
        query = Query(
            now, view_query.revision, view_query.number, view_query.reads_pieces
        )
        self.latest_queries[host] = query
        self._send_update(host, query, now)

    def _send_update(self, host: str, query: Query, now: float) -> None:
        if not self.board.fleet_known:
            return
        context = UpdateContext(
            age_s=now - self.board.confirmed_at,
            members=self.membership.members_to_send(now),
            asked=query.number,
            placing_for_ms=self._placing_for_ms(now),
            rerouted_for_ms=reroutings.reroute_age_ms(self.board, now),
            reroutes_known_for_ms=reroutings.history_ms(self.board, now),
        )
        change = self.board.view.changes_since(query.revision)
        in_pieces = self.board.uses.pieces and query.reads_pieces
        for message in self.update_builder.build(change, context, in_pieces):
            self.board.outbox.append(SendPeer(host, message))

    def _placing_for_ms(self, now: float) -> int:
        since = self.board.first_placement_at
        return max(1, int((now - since) * 1000)) if since <= now else 0

    def _push_updates(self, now: float) -> None:
        """Pushes a change to recent requesters before they query again."""
        if self.board.view.revision == self.pushed_revision:
            return
        self.pushed_revision = self.board.view.revision
        for host, query in list(self.latest_queries.items()):
            if now - query.received_at < ALIVE_TIMEOUT_S:
                self._send_update(host, query, now)
                query.revision = self.pushed_revision
            else:
                del self.latest_queries[host]

    def on_piece(self, host: str, piece: ViewPiece, now: float) -> None:
        """Handles a piece of a compressed update."""
        self._apply_context(host, piece, piece.revision, now)
        if self._is_redundant(piece):
            if not self._is_of_earlier_era(piece):
                self._confirm_as_of_query(host, piece)
            return
        try:
            update = self.pieces.add(host, piece, now)
        except CodecError as error:
            self.board.records.counters[Count.MALFORMED] += 1
            self.board.records.record_decision(
                "view refused", b"", str(error), teller=host
            )
            return
        if update is not None:
            self.on_update(host, update, now)

    def _is_redundant(self, piece: ViewPiece) -> bool:
        """Returns whether a full view in response to a query is known already.

        A balancer that has just started gets the same view from several others.
        A view requested without a number serves to reconcile views and is never
        redundant.
        """
        known = self.board.fleet_known and piece.asked > 0 and not piece.base
        return known and piece.revision <= self.board.view.revision

    def on_update(self, host: str, update: ViewTell, now: float) -> None:
        """Handles an update of another balancer."""
        self._apply_context(host, update, update.change.revision, now)
        change = self.parts.add(host, update, now)
        if change is None or self._is_of_earlier_era(change):
            return
        before = self.board.view.revision
        if self.fleet.on_change(change, now, host):
            self._confirm_as_of_query(host, update)
            self.reconciler.check(host, change, now)
        elif change.base > before:
            self._query_gap(host, now)
        else:
            self.reconciler.request_full_view(host, change, now)
        self.board.records.counters[Count.VIEWS_TOLD] += 1
        self._push_updates(now)

    def _apply_context(
        self,
        host: str,
        update: ViewTell | ViewPiece,
        revision: int,
        now: float,
    ) -> None:
        """Applies what is sent along with a change, even if that is ignored."""
        self.heard_at = now
        self.membership.on_message(host, now)
        for member in update.members:
            self.membership.on_member(member, now)
        if update.placing_for_ms:
            since = now - update.placing_for_ms / 1000
            self.board.first_placement_at = min(
                self.board.first_placement_at, since
            )
        sent_at = self.query_sent_at.get(update.asked, now)
        reroutings.on_report(self.board, update, revision, sent_at, now)

    def _is_of_earlier_era(self, change: ViewChange | ViewPiece) -> bool:
        """Returns whether a sender does not know of a restore of the store yet.

        Its view may have been confirmed lately, but before the restore.
        """
        return era_of(change.revision) < era_of(self.board.view.revision)

    def _confirm_as_of_query(
        self, host: str, update: ViewTell | ViewPiece
    ) -> None:
        """Records up to when an update is certainly confirmed.

        Its age is as of the sending, which came after the query that it names.
        An update may be queued for a second at a saturated link, so its arrival
        time is no measure.
        """
        sent_at = self.query_sent_at.get(update.asked)
        if sent_at is not None:
            self._set_confirmed(sent_at - update.age_s, host)

    def _query_gap(self, host: str, now: float) -> None:
        """Queries the changes between the view and the base of an update."""
        if now >= self.gap_query_due:
            self.gap_query_due = now + GAP_QUERY_INTERVAL_S
            self._send_queries([host], now)

    def tick(self, now: float) -> None:
        """Queries one of the readers and drops expired state."""
        if now < self.query_due:
            return
        view_known = self.board.fleet_known
        self.query_due = now + query_interval_s(view_known)
        self.query_rounds += 1
        alive = self.membership.alive(now)
        alive.remove(self.board.host)
        seeds = [host for host in self._other_seeds() if host not in alive]
        self._send_queries(
            hosts_to_query(self.query_rounds, alive, seeds, view_known), now
        )
        self.membership.sweep(now)
        for number, at in list(self.query_sent_at.items()):
            if now - at > QUERY_TIMEOUT_S:
                del self.query_sent_at[number]
        self.parts.sweep(now)
        self.pieces.sweep(now)

    def _send_queries(self, hosts: Iterable[str], now: float) -> None:
        for host in dict.fromkeys(hosts):
            self.last_query_number += 1
            self.query_sent_at[self.last_query_number] = now
            message = ViewAsk(
                self.board.view.revision,
                self.membership.link_mbps,
                self.last_query_number,
                self.board.uses.pieces,
                self.membership.is_unserved(self.board.host),
            )
            self.board.outbox.append(SendPeer(host, message))

    def knows_others(self) -> bool:
        """Returns whether any other balancer is known."""
        return bool(self.membership.other_hosts(self.seeds))

    def query_several(self, now: float) -> None:
        """Queries several balancers; any response shows connectivity."""
        self._send_queries(
            self.membership.other_hosts(self.seeds)[:MAX_QUERIED_AT_ONCE], now
        )

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        return self.query_due


def make_view_synchronizer(
    board: BalancerBoard,
    fleet: FleetUpdater,
    seeds: tuple[str, ...],
    link_mbps: int,
    last_query_number: int,
) -> ViewSynchronizer:
    """Creates the controller that synchronizes a balancer's view.

    Args:
        board: The balancer's blackboard.
        fleet: Applies changes.
        seeds: Hosts of some balancers.
        link_mbps: Bandwidth of the host's link, Mbit/s.
        last_query_number: Number that precedes that of the first query.
    """
    membership = Membership(board, link_mbps)
    reconciler = ViewReconciler(board, membership)
    return ViewSynchronizer(
        board,
        fleet,
        seeds,
        membership,
        reconciler,
        last_query_number=last_query_number,
    )
