"""A balancer's controller that reconciles views that should be equal."""

from msgspec import Struct

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import ViewAsk
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.published.membership import Membership

MIN_RECONCILE_INTERVAL_S = 0.5
MAX_RECONCILE_INTERVAL_S = 8.0
"""Bounds of the time between two reconciliations, seconds. The time doubles
while views still differ, as 1,600 routes fill a link of 5 Mbit/s for 0.7 s."""


class ViewReconciler(Struct, eq=False):
    """Requests a full view or a read of the store where views differ.

    Attributes:
        board: The balancer's blackboard.
        membership: Knows the bandwidth of this host's link.
        next_attempt_at: When the next reconciliation may start, seconds.
        backoff_s: Least time between that one and the one after it, seconds.
        needs_store_read: Another balancer has other routes with the same
            version, so the store must be read.
    """

    board: BalancerBoard
    membership: Membership
    next_attempt_at: float = float("-inf")
    backoff_s: float = MIN_RECONCILE_INTERVAL_S
    needs_store_read: bool = False

    def check(self, host: str, change: ViewChange, now: float) -> None:
        """Checks whether a change has led to the view of its sender."""
        view = self.board.view
        if view.revision != change.revision:
            return
        digests = (view.advertised_digest, change.routes_digest)
        routes = len(view.table.routes) if view.table else 0
        same = (routes, len(view.servers), len(view.evacuated)) == (
            change.routes_total,
            change.servers_total,
            change.evacuated_total,
        )
        if None not in digests and digests[0] != digests[1]:
            self._request_store_read(host, change, now)
        elif not same:
            self.request_full_view(host, change, now)
        else:
            self.backoff_s = MIN_RECONCILE_INTERVAL_S

    def _request_store_read(
        self, host: str, change: ViewChange, now: float
    ) -> None:
        """Requests a read of the store, as either of the views may be wrong."""
        if self._try_start("reading everything", host, change, now):
            self.needs_store_read = True

    def on_listed(self) -> None:
        """Records that a full listing of the store has been read."""
        self.needs_store_read = False

    def request_full_view(
        self, host: str, change: ViewChange, now: float
    ) -> None:
        """Requests the full view of another balancer."""
        if self._try_start("asked for everything", host, change, now):
            pieces_enabled = self.board.uses.pieces
            link_mbps = self.membership.link_mbps
            message = ViewAsk(0, link_mbps, reads_pieces=pieces_enabled)
            self.board.outbox.append(SendPeer(host, message))

    def _try_start(
        self, outcome: str, host: str, change: ViewChange, now: float
    ) -> bool:
        """Returns whether a reconciliation may start now; logs its start."""
        if now < self.next_attempt_at:
            return False
        self.next_attempt_at = now + self.backoff_s
        self.backoff_s = min(2 * self.backoff_s, MAX_RECONCILE_INTERVAL_S)
        view = self.board.view
        self.board.records.record_decision(
            "view differs",
            b"",
            outcome,
            teller=host,
            revision=change.revision,
            routes=len(view.table.routes) if view.table else 0,
            routes_there=change.routes_total,
            digest=f"{view.digest:x}",
            digest_there=f"{change.routes_digest or 0:x}",
            servers=len(view.servers),
            servers_there=change.servers_total,
            zones=len(view.evacuated),
            zones_there=change.evacuated_total,
        )
        return True
