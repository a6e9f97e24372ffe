"""A balancer's controller that tells agents what is published of their servers.

An agent reads nothing itself, and it is the second line of defence: it hands
back flows that come for an evacuated zone from a balancer that does not know
yet, and it alone sees how much a cold server gets. The balancers that read the
platform tell it first; the others with their questions.
"""

from msgspec import Struct, field

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.fleet import Server
from notchhoist.flows.model.messages import LoadAsk, LoadTell
from notchhoist.flows.published.sharing import ViewSharer
from notchhoist.flows.published.states import concerns_agent, state_of

RESEND_AFTER_S = 0.2
"""Time until an agent that has not confirmed is told again, seconds: 60 round
trips, and a twenty-fifth of the shortest bound of an evacuation, 5 s."""

SENDS_MAX = 10
"""How often an agent is told without a word from it; it hears the news from
whoever sends it the next flow, too."""


class PendingState(Struct, eq=False):
    """What one agent is being told.

    Attributes:
        server: Its backend server.
        due: When to tell it next, seconds.
        sends: How often it was told.
    """

    server: Server
    due: float
    sends: int = 0


class AgentInformer(Struct, eq=False):
    """Tells agents of evacuations, of cold servers and of new incarnations.

    Attributes:
        board: What the balancer knows.
        sharer: Knows whether this balancer reads the platform.
        queued_revision: View revision up to which changes have been queued.
        pending: Agents that have not confirmed, by id of the server.
    """

    board: BalancerBoard
    sharer: ViewSharer
    queued_revision: int = 0
    pending: dict[str, PendingState] = field(default_factory=dict)

    def tick(self, now: float) -> None:
        """Tells agents what has changed, again where they keep silent."""
        if self.board.view.revision != self.queued_revision:
            self._queue_changes(now)
        for server_id, update in list(self.pending.items()):
            current = self.board.servers.get(server_id) is update.server
            if not current or update.sends >= SENDS_MAX:
                del self.pending[server_id]
            elif now >= update.due:
                self._send_pending(update, now)

    def _queue_changes(self, now: float) -> None:
        """Notes which agents the newest changes concern."""
        previous, self.queued_revision = (
            self.queued_revision,
            self.board.view.revision,
        )
        if not self.sharer.membership.is_reader(now):
            return
        for server in self.board.by_host.values():
            entry = server.entry
            newest = self.board.view.state_revision(entry)
            if not server.listed or newest <= previous:
                continue
            if concerns_agent(self.board, server):
                self.pending[entry.server_id] = PendingState(server, now)

    def _send_pending(self, update: PendingState, now: float) -> None:
        update.sends += 1
        update.due = now + RESEND_AFTER_S
        self.send_state(update.server, now)

    def send_state(self, server: Server, now: float) -> None:
        """Tells an agent what is published of its server."""
        state = state_of(self.board, server, now)
        server.state_told = state.revision
        server.told_at = now
        message = LoadAsk(server.entry.slots, state)
        self.board.outbox.append(SendPeer(server.entry.host, message))

    def before_offer(self, server: Server, now: float) -> None:
        """Tells an agent what it may not know before it gets a flow.

        Only where it matters: the codec that a message needs takes a thin host
        0.2 s to load, and the first flow would wait for it.
        """
        newest = self.board.view.state_revision(server.entry)
        if server.state_told < newest and concerns_agent(self.board, server):
            self.send_state(server, now)

    def on_load_tell(self, host: str, message: LoadTell, now: float) -> None:
        """Takes account of what an agent knows; tells it what it does not."""
        server = self.board.by_host.get(host)
        if server is None or not concerns_agent(self.board, server):
            return
        newest = self.board.view.state_revision(server.entry)
        if message.state_revision >= newest:
            self.pending.pop(server.entry.server_id, None)
        elif (
            now - server.told_at >= RESEND_AFTER_S or server.state_told < newest
        ):
            # An agent of an earlier version never says what it knows.
            self.send_state(server, now)

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        if self.board.view.revision != self.queued_revision:
            return float("-inf")
        return min(
            (update.due for update in self.pending.values()),
            default=float("inf"),
        )
