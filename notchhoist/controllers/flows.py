"""Flows: which agent owns which, and how everybody finds it.

The home of a flow is the first agent in its rendezvous order. The home keeps
a pointer to the owner, places new flows, and passes on what comes astray.
"Unknown, so new" is sound only after a whole idle timeout as home; before
that the home asks the other agents.
"""

import random
from collections.abc import Callable

import attrs

from notchhoist import model, parts
from notchhoist.blackboards import AgentBoard, Count, Flow, PendingAsk
from notchhoist.controllers.loads import LoadKeeper
from notchhoist.controllers.pointers import MILLISECONDS, PointerKeeper

MAX_HOPS = 4
ASK_S = 0.15
"""Time to wait for peers that are asked for an owner, seconds."""

REFERRED_S = 5.0
"""How long a newer home's question keeps this agent from placing a flow."""

RESTART_GRACE_S = 15.0
"""A pinned flow of an agent that fell silent is kept for it, seconds."""

SWEEP_S = 1.0
STREAM_IDLE_S = 300.0
UPLOAD_IDLE_S = 30.0


@attrs.define
class FlowKeeper:
    """Owns flows and is home of flows.

    Attributes:
        board: Everything that the agent knows.
        loads: The load of the peers.
        pointers: How the homes hear of owners.
        rng: Source of every draw.
        on_datagram: Takes a datagram of a flow that this agent owns.
    """

    board: AgentBoard
    loads: LoadKeeper
    pointers: PointerKeeper
    rng: random.Random
    on_datagram: Callable[[Flow, bytes, float], None] = attrs.field(init=False)

    def on_forward(
        self, sender: model.Endpoint, forward: model.Forward, now: float
    ) -> None:
        """Takes a caller's datagram from a balancer or another agent."""
        flow = self.board.flows.get(forward.caller)
        moved_to = self._moved_to(forward.caller, now)
        if flow is None and moved_to not in (None, sender):
            self._pass_on(forward, moved_to or sender, True, now)
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
        """Returns to whom a flow was handed on a moment ago.

        Others may still lead its datagrams here, and call it placed here.
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
        """Begins to own a flow."""
        self.board.counters[Count.FLOWS_ADOPTED] += 1
        self.board.moved.pop(caller, None)
        flow = Flow(caller=caller, last_seen=now)
        self.board.flows[caller] = flow
        self.board.directory.forget(caller)
        return flow

    def _route(self, forward: model.Forward, now: float) -> None:
        owner = self._known_owner(forward.caller, now)
        if owner is not None:
            self._pass_on(forward, owner, True, now)
        elif self._is_home(forward.caller, now) or forward.hops >= MAX_HOPS:
            self._find_or_place(forward, now)
        else:
            home = self.home_of(forward.caller, now)
            self._pass_on(forward, home, False, now)

    def _known_owner(
        self, caller: model.Endpoint, now: float
    ) -> model.Endpoint | None:
        pointer = self.board.directory.find(caller, now)
        if pointer is None:
            return None
        if pointer.pinned and self._may_return(pointer.owner, now):
            return pointer.owner
        if not self.loads.is_alive(pointer.owner, now):
            self.board.counters[Count.OWNER_LOST] += 1
            self.board.directory.forget(caller)
            return None
        state = self.board.peers.get(pointer.owner)
        is_leaving = state is not None and state.report.leaving
        return None if is_leaving and not pointer.pinned else pointer.owner

    def _may_return(self, owner: model.Endpoint, now: float) -> bool:
        state = self.board.peers.get(owner)
        return state is None or now - state.heard_at < RESTART_GRACE_S

    def home_of(self, caller: model.Endpoint, now: float) -> model.Endpoint:
        """Returns the first agent of a flow's order that is alive."""
        ranked = self.pointers.ranked(caller)
        alive = (agent for agent in ranked if self.loads.is_alive(agent, now))
        return next(alive, self.board.identity.peer)

    def _is_home(self, caller: model.Endpoint, now: float) -> bool:
        return self.home_of(caller, now) == self.board.identity.peer

    def _pass_on(
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
        if referred is not None and now - referred[1] < REFERRED_S:
            self._pass_on(forward, referred[0], False, now)
        elif caller in self.board.asks:
            self.board.asks[caller].forwards.append(forward)
        elif self.board.tenure.holds(now):
            self._place(caller, [forward], now)
        else:
            self._ask_peers(forward, now)

    def _ask_peers(self, forward: model.Forward, now: float) -> None:
        """Asks for an owner, or waits until it is known whom to ask."""
        ask = PendingAsk([forward], set(), now + ASK_S, asked=False)
        self.board.asks[forward.caller] = ask
        if self.board.sets_known:
            self._send_questions(forward, ask, now)

    def _send_questions(
        self, forward: model.Forward, ask: PendingAsk, now: float
    ) -> None:
        ask.asked = True
        ask.until = now + ASK_S
        ask.awaited = {
            agent
            for agent in self.board.known_agents()
            if self.loads.may_be_alive(agent, now)
        }
        if not ask.awaited:
            self._settle_ask(forward.caller, ask, now)
            return
        self.board.counters[Count.OWNER_ASKED] += 1
        question = model.AskOwner(
            service=forward.service,
            caller=forward.caller,
            revision=self.board.config.store.revision,
        )
        for agent in sorted(ask.awaited):
            self.board.send(agent, question)

    def _settle_ask(
        self, caller: model.Endpoint, ask: PendingAsk, now: float
    ) -> None:
        """Passes on what waited to the newest owner, or places the flow."""
        self.board.asks.pop(caller, None)
        if ask.heard is None:
            self._place(caller, ask.forwards, now)
            return
        self.board.directory.point(caller, ask.heard, ask.heard_at)
        for forward in ask.forwards:
            self._pass_on(forward, ask.heard, True, now)

    def on_ask_owner(
        self, sender: model.Endpoint, ask: model.AskOwner, now: float
    ) -> None:
        """Tells a home what this agent knows of a flow."""
        owner = None
        age_ms = 0
        if ask.caller in self.board.flows:
            owner = self.board.identity.peer
        else:
            owner = self._known_owner(ask.caller, now)
            age_ms = self._age_ms(ask.caller, now)
        if owner is None and ask.revision >= self.board.config.store.revision:
            self.board.referred[ask.caller] = (sender, now)
        answer = model.TellOwner(ask.service, ask.caller, owner, age_ms)
        self.board.send(sender, answer)

    def _age_ms(self, caller: model.Endpoint, now: float) -> int:
        pointer = self.board.directory.find(caller, now)
        if pointer is None:
            return 0
        return int((now - pointer.heard_at) * MILLISECONDS)

    def on_tell_owner(
        self, sender: model.Endpoint, tell: model.TellOwner, now: float
    ) -> None:
        """Takes a peer's answer about a flow."""
        ask = self.board.asks.get(tell.caller)
        if ask is None or not ask.asked:
            return
        heard_at = now - tell.age_ms / MILLISECONDS
        is_newer = ask.heard is None or heard_at > ask.heard_at
        if tell.owner is not None and is_newer:
            ask.heard = tell.owner
            ask.heard_at = heard_at
        ask.awaited.discard(sender)
        if tell.owner == sender or not ask.awaited:
            self._settle_ask(tell.caller, ask, now)

    def _place(
        self,
        caller: model.Endpoint,
        forwards: list[model.Forward],
        now: float,
    ) -> None:
        self.board.counters[Count.FLOWS_PLACED] += 1
        chosen = self.choose_owner(now)
        self.board.directory.point(caller, chosen, now)
        self.loads.note_sent(chosen)
        for forward in forwards:
            self._pass_on(forward, chosen, True, now)

    def choose_owner(self, now: float) -> model.Endpoint:
        """Chooses the agent for a new flow; itself where there is no other."""
        candidates = self.loads.flow_candidates(now)
        chosen = parts.two_choices(candidates, self.rng)
        return chosen.agent if chosen else self.board.identity.peer

    def move(self, flow: Flow, to: model.Endpoint, now: float) -> None:
        """Hands an unpinned flow to another agent."""
        self.board.counters[Count.FLOWS_MOVED] += 1
        del self.board.flows[flow.caller]
        self.board.outbox.append(model.FlowClosed(flow.caller))
        self.board.moved[flow.caller] = (to, now)
        self.board.directory.point(flow.caller, to, now)
        self.pointers.announce_move(flow, to)

    def tick(self, now: float) -> None:
        """Ends old questions, announces flows, forgets what expired."""
        for caller, ask in list(self.board.asks.items()):
            if not ask.asked and self.board.sets_known:
                self._send_questions(ask.forwards[0], ask, now)
            elif ask.asked and now > ask.until:
                self._settle_ask(caller, ask, now)
        if now >= self.board.next_announce_at:
            self.board.next_announce_at = now + self.board.identity.idle_s
            self.pointers.announce(self.pointers.pinned_flows())
        if now >= self.board.next_sweep_at:
            self.board.next_sweep_at = now + SWEEP_S
            self._sweep(now)

    def _sweep(self, now: float) -> None:
        board = self.board
        board.directory.expire(now)
        for caller, (_, at) in list(board.referred.items()):
            if now - at > REFERRED_S:
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
            if now - at > STREAM_IDLE_S:
                del flow.streams[token]
        for upload, at in list(flow.uploads.items()):
            if now - at > UPLOAD_IDLE_S:
                del flow.uploads[upload]
                flow.delegates.pop(upload, None)
        idle = now - flow.last_seen
        if idle > STREAM_IDLE_S:
            flow.restored = False
        if idle > self.board.identity.idle_s and not flow.is_pinned():
            del self.board.flows[flow.caller]
            self._close(flow.caller)

    def _close(self, caller: model.Endpoint) -> None:
        if caller not in self.board.flows and caller not in self.board.guests:
            self.board.outbox.append(model.FlowClosed(caller))
