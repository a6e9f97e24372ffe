"""Replication of pointers to the owners of flows at their home agents."""

from collections.abc import Callable, Iterable

import attrs

from notchhoist import model, parts
from notchhoist.blackboards import AgentBoard, Flow

HOME_AGENTS_PER_FLOW = 2
"""Number of agents that keep the pointer of a flow.

They are its home agent and the next in its rendezvous order.
"""

MS_PER_S = 1000
MAX_FLOWS_PER_ANNOUNCE = 40


@attrs.define
class PointerReplicator:
    """Sends pointers of flows to their home agents, and stores received ones.

    Attributes:
        board: State of the agent.
        adopt: Creates a flow that this agent owns.
    """

    board: AgentBoard
    adopt: Callable[[model.Endpoint, float], Flow] = attrs.field(init=False)

    def ranked_agents(self, caller: model.Endpoint) -> list[model.Endpoint]:
        """Returns the published agents in a flow's rendezvous order."""
        service = self.board.service
        agents = service.agents() if service else ()
        return parts.rank_nodes(parts.flow_hash_key(caller), agents)

    def home_agents(self, caller: model.Endpoint) -> list[model.Endpoint]:
        """Returns the home agents of a flow in the current and former sets.

        A former home agent without the newest pointer would return flows to a
        restarted agent that no longer owns them.
        """
        key = parts.flow_hash_key(caller)
        homes = self.ranked_agents(caller)[:HOME_AGENTS_PER_FLOW]
        for agents in self.board.sets:
            homes.extend(parts.rank_nodes(key, agents)[:HOME_AGENTS_PER_FLOW])
        return list(dict.fromkeys(homes))

    def on_announce(
        self, sender: model.Endpoint, message: model.Announce, now: float
    ) -> None:
        """Stores announced pointers.

        A pointer to a pinned flow of this agent comes back from a home agent
        after a restart; the flow is then restored.
        """
        own = self.board.identity.peer
        for record in message.flows:
            if record.owner != own:
                self._set_pointer(sender, record, now)
            elif record.pinned and self._was_owned_here(record, now):
                self.adopt(record.caller, now).restored = True

    def _was_owned_here(self, record: model.FlowRecord, now: float) -> bool:
        """Returns whether this agent owned a flow before its restart.

        A home agent that has not heard of a move yet may still announce a flow
        that this agent has just moved to another one.
        """
        if record.caller in self.board.flows:
            return False
        moved = self.board.moved.get(record.caller)
        announced_at = now - record.age_ms / MS_PER_S
        return moved is None or moved[1] < announced_at

    def _set_pointer(
        self, sender: model.Endpoint, record: model.FlowRecord, now: float
    ) -> None:
        """Stores a pointer, unless this agent owns the flow.

        An unpinned record replaces the pointer of a pinned flow only if it
        comes from the owner of that flow.
        """
        if record.caller in self.board.flows:
            return
        heard_at = now - record.age_ms / MS_PER_S
        old = self.board.directory.find(record.caller, now)
        unpins = old is not None and old.pinned and not record.pinned
        if unpins and old is not None and old.owner != sender:
            return
        self.board.directory.set_pointer(
            record.caller, record.owner, heard_at, record.pinned
        )

    def on_flows_query(self, sender: model.Endpoint, now: float) -> None:
        """Tells a restarted agent which flows it owned and is home agent of."""
        homed_flows = [
            flow
            for flow in self.pinned_flows()
            if sender in self.home_agents(flow.caller)
        ]
        self.announce(homed_flows)
        records = [
            self._record_of(caller, pointer, now)
            for caller, pointer in self.board.directory.pointers.items()
            if pointer.owner == sender and caller not in self.board.flows
        ]
        self._send_announcements(sender, records)

    def announce(self, flows: Iterable[Flow]) -> None:
        """Tells the home agents of flows that this agent owns them."""
        own = self.board.identity.peer
        self._send_to_home_agents(
            model.FlowRecord(flow.caller, own, flow.is_pinned())
            for flow in flows
        )

    def announce_move(self, flow: Flow, to: model.Endpoint) -> None:
        """Tells the home agents of a flow that another agent owns it now."""
        self._send_to_home_agents(
            [model.FlowRecord(flow.caller, to, pinned=False)]
        )

    def _send_to_home_agents(self, records: Iterable[model.FlowRecord]) -> None:
        batches: dict[model.Endpoint, list[model.FlowRecord]] = {}
        own = self.board.identity.peer
        for record in records:
            for home in self.home_agents(record.caller):
                if home != own:
                    batches.setdefault(home, []).append(record)
        for home, batch in batches.items():
            self._send_announcements(home, batch)

    def _send_announcements(
        self, agent: model.Endpoint, records: list[model.FlowRecord]
    ) -> None:
        service = self.board.identity.service
        for start in range(0, len(records), MAX_FLOWS_PER_ANNOUNCE):
            batch = records[start : start + MAX_FLOWS_PER_ANNOUNCE]
            self.board.send(agent, model.Announce(service, batch))

    def pinned_flows(self) -> list[Flow]:
        """Returns the owned flows whose pointers must be renewed.

        The other flows have no state at the backend server, so that they can
        be placed again without a loss.
        """
        return [flow for flow in self.board.flows.values() if flow.is_pinned()]

    def _record_of(
        self, caller: model.Endpoint, pointer: parts.Pointer, now: float
    ) -> model.FlowRecord:
        age_ms = int((now - pointer.heard_at) * MS_PER_S)
        return model.FlowRecord(caller, pointer.owner, pointer.pinned, age_ms)

    def hand_over_pointers(self, now: float) -> None:
        """Sends pointers of pinned flows to the flows' new home agents.

        The owners send them too, but an owner may be down at that time.
        """
        self._send_to_home_agents(
            self._record_of(caller, pointer, now)
            for caller, pointer in self.board.directory.pointers.items()
            if pointer.pinned and caller not in self.board.flows
        )

    def recover(self) -> None:
        """Queries the peers for flows owned before the start of this agent."""
        self.board.recovered = True
        for agent in self.board.known_agents():
            self.board.send(agent, model.AskFlows(self.board.identity.service))
