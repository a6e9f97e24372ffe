"""Ownership of flows, and routing of datagrams to the owner.

Each flow is owned by one agent. Its home agent is the first agent alive in its
rendezvous order. The home agent keeps a pointer to the owner, places new
flows, and relays datagrams that arrive at another agent than the owner. It may
take a flow without a pointer for a new one only after it has been home agent
for a whole idle timeout; before that it queries the other agents.
"""

import random
from collections.abc import Callable

import attrs

from notchhoist import model, parts
from notchhoist.blackboards import AgentBoard, Count, Flow, OwnerQuery
from notchhoist.controllers.load_tracker import LoadTracker
from notchhoist.controllers.pointers import MS_PER_S, PointerReplicator

MAX_HOPS = 4
"""Hops after which an agent places a flow even if it is not the home agent.

A datagram with more hops is not relayed but dropped.
"""

OWNER_QUERY_TIMEOUT_S = 0.15
"""Time after which a query for an owner ends without all replies, seconds."""

REFERRAL_LIFETIME_S = 5.0
"""Time for which an agent refers a flow to another home agent, seconds.

That home agent queried for the flow's owner with the same or a newer revision
of the configuration; meanwhile this agent does not place the flow itself.
"""

RESTART_GRACE_S = 15.0
"""Time that a silent owner has to restart and keep pinned flows, seconds."""

SWEEP_INTERVAL_S = 1.0
STREAM_IDLE_TIMEOUT_S = 300.0
UPLOAD_IDLE_TIMEOUT_S = 30.0


@attrs.define
class FlowRouter:
    """Routes datagrams to the owners of flows, and places new flows.

    Attributes:
        board: State of the agent.
        loads: Load and liveness of the peers.
        pointers: Replicates pointers to the home agents.
        rng: Random number generator.
        on_datagram: Processes a datagram of a flow that this agent owns.
    """

    board: AgentBoard
    loads: LoadTracker
    pointers: PointerReplicator
    rng: random.Random
    on_datagram: Callable[[Flow, bytes, float], None] = attrs.field(init=False)

    def on_forward(
        self, sender: model.Endpoint, forward: model.Forward, now: float
    ) -> None:
        """Handles a caller's datagram from a balancer or another agent."""
        flow = self.board.flows.get(forward.caller)
        moved_to = self._moved_to(forward.caller, now)
        if flow is None and moved_to not in (None, sender):
            self._forward_to(forward, moved_to or sender, True, now)
            return
        if flow is None and forward.placed:
            flow = self.adopt(forward.caller, now)
        if flow is not None:
            self._process(flow, forward, now)
            return
        self._route(forward, now)

    def _moved_to(
        self, caller: model.Endpoint, now: float
    ) -> model.Endpoint | None:
        """Returns the agent that a flow was recently moved to, if any.

        Peers that have not heard of the move yet still relay its datagrams to
        this agent, and mark them as placed here.
        """
        moved = self.board.moved.get(caller)
        if moved is None:
            return None
        target, moved_at = moved
        pointer = self.board.directory.find(caller, now)
        if pointer is not None and pointer.heard_at > moved_at:
            target = pointer.owner
        if target == self.board.identity.peer:
            return None
        return target if self.loads.is_alive(target, now) else None

    def _process(self, flow: Flow, forward: model.Forward, now: float) -> None:
        flow.balancer = forward.balancer
        flow.last_seen = now
        self.on_datagram(flow, forward.datagram, now)

    def adopt(self, caller: model.Endpoint, now: float) -> Flow:
        """Creates a flow that this agent owns from now on."""
        self.board.counters[Count.FLOWS_ADOPTED] += 1
        self.board.moved.pop(caller, None)
        flow = Flow(caller=caller, last_seen=now)
        self.board.flows[caller] = flow
        self.board.directory.forget(caller)
        return flow

    def _route(self, forward: model.Forward, now: float) -> None:
        owner = self._known_owner(forward.caller, now)
        if owner is not None:
            self._forward_to(forward, owner, True, now)
        elif self._is_home(forward.caller, now) or forward.hops >= MAX_HOPS:
            self._find_or_place(forward, now)
        else:
            home = self.home_agent(forward.caller, now)
            self._forward_to(forward, home, False, now)

    def _known_owner(
        self, caller: model.Endpoint, now: float
    ) -> model.Endpoint | None:
        pointer = self.board.directory.find(caller, now)
        if pointer is None:
            return None
        if pointer.pinned and self._may_be_restarting(pointer.owner, now):
            return pointer.owner
        if not self.loads.is_alive(pointer.owner, now):
            self.board.counters[Count.OWNER_LOST] += 1
            self.board.directory.forget(caller)
            return None
        state = self.board.peers.get(pointer.owner)
        is_leaving = state is not None and state.report.leaving
        return None if is_leaving and not pointer.pinned else pointer.owner

    def _may_be_restarting(self, owner: model.Endpoint, now: float) -> bool:
        state = self.board.peers.get(owner)
        return state is None or now - state.heard_at < RESTART_GRACE_S

    def home_agent(self, caller: model.Endpoint, now: float) -> model.Endpoint:
        """Returns the first agent alive in a flow's rendezvous order."""
        ranked = self.pointers.ranked_agents(caller)
        alive = (agent for agent in ranked if self.loads.is_alive(agent, now))
        return next(alive, self.board.identity.peer)

    def _is_home(self, caller: model.Endpoint, now: float) -> bool:
        return self.home_agent(caller, now) == self.board.identity.peer

    def _forward_to(
        self,
        forward: model.Forward,
        to: model.Endpoint,
        placed: bool,
        now: float,
    ) -> None:
        if to == self.board.identity.peer:
            flow = self.board.flows.get(forward.caller)
            flow = flow or self.adopt(forward.caller, now)
            self._process(flow, forward, now)
            return
        if forward.hops > MAX_HOPS:
            self.board.counters[Count.HOPS_EXHAUSTED] += 1
            return
        passed = attrs.evolve(forward, hops=forward.hops + 1, placed=placed)
        self.board.send(to, passed)

    def _find_or_place(self, forward: model.Forward, now: float) -> None:
        caller = forward.caller
        referred = self.board.referred.get(caller)
        if referred is not None and now - referred[1] < REFERRAL_LIFETIME_S:
            self._forward_to(forward, referred[0], False, now)
        elif caller in self.board.asks:
            self.board.asks[caller].forwards.append(forward)
        elif self.board.tenure.is_long_enough(now):
            self._place(caller, [forward], now)
        else:
            self._query_peers(forward, now)

    def _query_peers(self, forward: model.Forward, now: float) -> None:
        """Queries all known agents for the owner of a flow.

        The queries wait until enough is known of the earlier sets of agents.
        """
        query = OwnerQuery(
            [forward], set(), now + OWNER_QUERY_TIMEOUT_S, asked=False
        )
        self.board.asks[forward.caller] = query
        if self.board.sets_known:
            self._send_queries(forward, query, now)

    def _send_queries(
        self, forward: model.Forward, query: OwnerQuery, now: float
    ) -> None:
        query.asked = True
        query.until = now + OWNER_QUERY_TIMEOUT_S
        query.awaited = {
            agent
            for agent in self.board.known_agents()
            if self.loads.may_be_alive(agent, now)
        }
        if not query.awaited:
            self._complete_query(forward.caller, query, now)
            return
        self.board.counters[Count.OWNER_ASKED] += 1
        message = model.AskOwner(
            service=forward.service,
            caller=forward.caller,
            revision=self.board.config.store.revision,
        )
        for agent in sorted(query.awaited):
            self.board.send(agent, message)

    def _complete_query(
        self, caller: model.Endpoint, query: OwnerQuery, now: float
    ) -> None:
        """Ends a query: forwards to the newest owner, or places the flow."""
        self.board.asks.pop(caller, None)
        if query.heard is None:
            self._place(caller, query.forwards, now)
            return
        self.board.directory.set_pointer(caller, query.heard, query.heard_at)
        for forward in query.forwards:
            self._forward_to(forward, query.heard, True, now)

    def on_owner_query(
        self, sender: model.Endpoint, query: model.AskOwner, now: float
    ) -> None:
        """Tells a home agent which owner of a flow this agent knows, if any.

        If this agent knows none and the home agent's configuration is not
        older than its own, it refers the flow to that home agent for
        ``REFERRAL_LIFETIME_S``.
        """
        owner = None
        age_ms = 0
        if query.caller in self.board.flows:
            owner = self.board.identity.peer
        else:
            owner = self._known_owner(query.caller, now)
            age_ms = self._age_ms(query.caller, now)
        if owner is None and query.revision >= self.board.config.store.revision:
            self.board.referred[query.caller] = (sender, now)
        answer = model.TellOwner(query.service, query.caller, owner, age_ms)
        self.board.send(sender, answer)

    def _age_ms(self, caller: model.Endpoint, now: float) -> int:
        pointer = self.board.directory.find(caller, now)
        if pointer is None:
            return 0
        return int((now - pointer.heard_at) * MS_PER_S)

    def on_owner_reply(
        self, sender: model.Endpoint, reply: model.TellOwner, now: float
    ) -> None:
        """Handles a peer's reply to a query for the owner of a flow.

        The query ends with the reply of the owner itself, or with the last
        reply.
        """
        query = self.board.asks.get(reply.caller)
        if query is None or not query.asked:
            return
        heard_at = now - reply.age_ms / MS_PER_S
        is_newer = query.heard is None or heard_at > query.heard_at
        if reply.owner is not None and is_newer:
            query.heard = reply.owner
            query.heard_at = heard_at
        query.awaited.discard(sender)
        if reply.owner == sender or not query.awaited:
            self._complete_query(reply.caller, query, now)

    def _place(
        self,
        caller: model.Endpoint,
        forwards: list[model.Forward],
        now: float,
    ) -> None:
        self.board.counters[Count.FLOWS_PLACED] += 1
        chosen = self.choose_owner(now)
        self.board.directory.set_pointer(caller, chosen, now)
        self.loads.record_sent(chosen)
        for forward in forwards:
            self._forward_to(forward, chosen, True, now)

    def choose_owner(self, now: float) -> model.Endpoint:
        """Chooses the owner of a new flow; without candidates this agent."""
        candidates = self.loads.flow_candidates(now)
        chosen = parts.two_choices(candidates, self.rng)
        return chosen.agent if chosen else self.board.identity.peer

    def move(self, flow: Flow, to: model.Endpoint, now: float) -> None:
        """Makes another agent the owner of an unpinned flow."""
        self.board.counters[Count.FLOWS_MOVED] += 1
        del self.board.flows[flow.caller]
        self.board.outbox.append(model.CloseFlowSocket(flow.caller))
        self.board.moved[flow.caller] = (to, now)
        self.board.directory.set_pointer(flow.caller, to, now)
        self.pointers.announce_move(flow, to)

    def tick(self, now: float) -> None:
        """Ends overdue queries, announces flows, and drops what has expired."""
        for caller, query in list(self.board.asks.items()):
            if not query.asked and self.board.sets_known:
                self._send_queries(query.forwards[0], query, now)
            elif query.asked and now > query.until:
                self._complete_query(caller, query, now)
        if now >= self.board.next_announce_at:
            self.board.next_announce_at = now + self.board.identity.idle_s
            self.pointers.announce(self.pointers.pinned_flows())
        if now >= self.board.next_sweep_at:
            self.board.next_sweep_at = now + SWEEP_INTERVAL_S
            self._sweep(now)

    def _sweep(self, now: float) -> None:
        board = self.board
        board.directory.expire(now)
        for caller, (_, at) in list(board.referred.items()):
            if now - at > REFERRAL_LIFETIME_S:
                del board.referred[caller]
        for caller, (_, at) in list(board.moved.items()):
            if now - at > board.directory.lease_s:
                del board.moved[caller]
        for flow in list(board.flows.values()):
            self._sweep_flow(flow, now)
        for caller, at in list(board.guests.items()):
            if now - at > board.identity.idle_s:
                del board.guests[caller]
                self._close(caller)

    def _sweep_flow(self, flow: Flow, now: float) -> None:
        for token, at in list(flow.streams.items()):
            if now - at > STREAM_IDLE_TIMEOUT_S:
                del flow.streams[token]
        for upload, at in list(flow.uploads.items()):
            if now - at > UPLOAD_IDLE_TIMEOUT_S:
                del flow.uploads[upload]
                flow.delegates.pop(upload, None)
        idle = now - flow.last_seen
        if idle > STREAM_IDLE_TIMEOUT_S:
            flow.restored = False
        if idle > self.board.identity.idle_s and not flow.is_pinned():
            del self.board.flows[flow.caller]
            self._close(flow.caller)

    def _close(self, caller: model.Endpoint) -> None:
        if caller not in self.board.flows and caller not in self.board.guests:
            self.board.outbox.append(model.CloseFlowSocket(caller))
