"""Balancer controller that sends agents the published state of their servers.

Agents do not read the platform's store, yet they are the second line of
defence: an agent hands back flows that a balancer with an outdated view places
in an evacuated zone, and only the agent sees the total rate of new flows that a
cold server gets. The balancers that read the store inform the agents first;
other balancers add the state to their load probes.
"""

from msgspec import Struct, field

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.fleet import Server
from notchhoist.flows.model.messages import LoadAsk, LoadTell
from notchhoist.flows.published.states import needs_agent_update, server_state
from notchhoist.flows.published.view_sync import ViewSynchronizer

RESEND_AFTER_S = 0.2
"""Time until a state that an agent has not confirmed is sent again, seconds: 60
round trips, and a twenty-fifth of the shortest bound on an evacuation, 5 s."""

SENDS_MAX = 10
"""Maximum number of messages to an agent that does not confirm. It also gets
the state from any balancer that sends it the next flow."""


class PendingState(Struct, eq=False):
    """A published state that an agent has not confirmed.

    Attributes:
        server: The agent's backend server.
        due: When to send the state next, seconds.
        sends: How often it was sent.
    """

    server: Server
    due: float
    sends: int = 0


class AgentInformer(Struct, eq=False):
    """Informs agents of evacuations, cold servers and new incarnations.

    Attributes:
        board: State of the balancer.
        synchronizer: Tells whether this balancer reads the platform's store.
        queued_revision: View revision up to which changes have been queued.
        pending: Agents that have not confirmed, by server id.
    """

    board: BalancerBoard
    synchronizer: ViewSynchronizer
    queued_revision: int = 0
    pending: dict[str, PendingState] = field(default_factory=dict)

    def tick(self, now: float) -> None:
        """Sends changed states, and repeats those that are not confirmed."""
        if self.board.view.revision != self.queued_revision:
            self._queue_changes(now)
        for server_id, update in list(self.pending.items()):
            current = self.board.servers.get(server_id) is update.server
            if not current or update.sends >= SENDS_MAX:
                del self.pending[server_id]
            elif now >= update.due:
                self._send_pending(update, now)

    def _queue_changes(self, now: float) -> None:
        """Queues the states of agents that the newest changes concern."""
        previous, self.queued_revision = (
            self.queued_revision,
            self.board.view.revision,
        )
        if not self.synchronizer.membership.is_reader(now):
            return
        for server in self.board.by_host.values():
            entry = server.entry
            newest = self.board.view.state_revision(entry)
            if not server.listed or newest <= previous:
                continue
            if needs_agent_update(self.board, server):
                self.pending[entry.server_id] = PendingState(server, now)

    def _send_pending(self, update: PendingState, now: float) -> None:
        update.sends += 1
        update.due = now + RESEND_AFTER_S
        self.send_state(update.server, now)

    def send_state(self, server: Server, now: float) -> None:
        """Sends an agent the published state of its server."""
        state = server_state(self.board, server, now)
        server.state_sent_revision = state.revision
        server.state_sent_at = now
        message = LoadAsk(server.entry.slots, state)
        self.board.outbox.append(SendPeer(server.entry.host, message))

    def before_offer(self, server: Server, now: float) -> None:
        """Sends an agent the state that it may lack before it gets a flow.

        This is done only where the state matters: loading the message codec
        takes 0.2 s on a host with little CPU, and the first flow would wait for
        it.
        """
        newest = self.board.view.state_revision(server.entry)
        if server.state_sent_revision < newest and needs_agent_update(
            self.board, server
        ):
            self.send_state(server, now)

    def on_load_tell(self, host: str, message: LoadTell, now: float) -> None:
        """Handles an agent's report of the state revision that it has.

        An agent that once needed a state gets each newer one: it may hold the
        drain of an earlier server on its host, or one that was withdrawn.
        """
        server = self.board.by_host.get(host)
        if server is None:
            return
        newest = self.board.view.state_revision(server.entry)
        has_older = 0 < message.state_revision < newest
        if not has_older and not needs_agent_update(self.board, server):
            return
        if message.state_revision >= newest:
            self.pending.pop(server.entry.server_id, None)
        elif (
            now - server.state_sent_at >= RESEND_AFTER_S
            or server.state_sent_revision < newest
        ):
            # Agents of earlier versions never report a state revision.
            self.send_state(server, now)

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        if self.board.view.revision != self.queued_revision:
            return float("-inf")
        return min(
            (update.due for update in self.pending.values()),
            default=float("inf"),
        )
