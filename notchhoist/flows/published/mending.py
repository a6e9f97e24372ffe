"""A balancer's controller for views that differ though they should not."""

from msgspec import Struct

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.messages import ViewAsk
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.published.membership import Membership

MEND_FIRST_S = 0.5
MEND_MOST_S = 8.0
"""Bounds of the time between two mends, seconds. It doubles while views go on
differing: 1,600 routes fill a link of 5 Mbit/s for 0.7 s."""


class ViewMender(Struct, eq=False):
    """Has everything told or read anew where views differ.

    Attributes:
        board: What the balancer knows.
        membership: Knows this host's link.
        due: When the next mend may begin, seconds.
        pause_s: Time until then after the next one, seconds.
        doubtful: Another balancer has other routes with the same version; the
            platform is to be read.
    """

    board: BalancerBoard
    membership: Membership
    due: float = float("-inf")
    pause_s: float = MEND_FIRST_S
    doubtful: bool = False

    def check(self, host: str, change: ViewChange, now: float) -> None:
        """Looks whether a change has led to what its teller has."""
        view = self.board.view
        if view.revision != change.revision:
            return
        digests = (view.told_digest, change.routes_digest)
        routes = len(view.table.routes) if view.table else 0
        same = (routes, len(view.servers), len(view.evacuated)) == (
            change.routes_total,
            change.servers_total,
            change.evacuated_total,
        )
        if None not in digests and digests[0] != digests[1]:
            self._read_all(host, change, now)
        elif not same:
            self.ask_for_all(host, change, now)
        else:
            self.pause_s = MEND_FIRST_S

    def _read_all(self, host: str, change: ViewChange, now: float) -> None:
        """Has the platform read: either of the two views may be wrong."""
        if self._begins("reading everything", host, change, now):
            self.doubtful = True

    def on_listed(self) -> None:
        """Takes account of a whole list of the platform."""
        self.doubtful = False

    def ask_for_all(self, host: str, change: ViewChange, now: float) -> None:
        """Asks a balancer for everything that it knows."""
        if self._begins("asked for everything", host, change, now):
            reads = self.board.uses.pieces
            link_mbps = self.membership.link_mbps
            message = ViewAsk(0, link_mbps, reads_pieces=reads)
            self.board.outbox.append(SendPeer(host, message))

    def _begins(
        self, outcome: str, host: str, change: ViewChange, now: float
    ) -> bool:
        """Tells whether a mend may begin now, and logs it."""
        if now < self.due:
            return False
        self.due = now + self.pause_s
        self.pause_s = min(2 * self.pause_s, MEND_MOST_S)
        view = self.board.view
        self.board.records.decide(
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
