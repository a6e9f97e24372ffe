"""Pointers: how the homes of flows hear who owns them."""

from collections.abc import Callable, Iterable

import attrs

from notchhoist import model, parts
from notchhoist.blackboards import AgentBoard, Flow

HOMES = 2
"""How many agents hear who owns a flow: its home and the next in order."""

MILLISECONDS = 1000
ANNOUNCE_BATCH = 40


@attrs.define
class PointerKeeper:
    """Tells and takes pointers to the owners of flows.

    Attributes:
        board: Everything that the agent knows.
        adopt: Begins to own a flow.
    """

    board: AgentBoard
    adopt: Callable[[model.Endpoint, float], Flow] = attrs.field(init=False)

    def ranked(self, caller: model.Endpoint) -> list[model.Endpoint]:
        """Returns the published agents in a flow's order."""
        service = self.board.service
        agents = service.agents() if service else ()
        return parts.rank_nodes(parts.flow_hash_key(caller), agents)

    def homes(self, caller: model.Endpoint) -> list[model.Endpoint]:
        """Returns the homes of a flow, now and by the former sets.

        A former home that is told nothing would lead a restarted agent to
        flows that it no longer owns.
        """
        key = parts.flow_hash_key(caller)
        homes = self.ranked(caller)[:HOMES]
        for agents in self.board.sets:
            homes.extend(parts.rank_nodes(key, agents)[:HOMES])
        return list(dict.fromkeys(homes))

    def on_announce(
        self, sender: model.Endpoint, message: model.Announce, now: float
    ) -> None:
        """Takes pointers from an owner, or back from a home."""
        own = self.board.identity.peer
        for record in message.flows:
            if record.owner != own:
                self._point(sender, record, now)
            elif record.pinned and self._is_mine_again(record, now):
                self.adopt(record.caller, now).restored = True

    def _is_mine_again(self, record: model.FlowRecord, now: float) -> bool:
        """Tells whether a flow was this agent's before a restart.

        A home that has not heard yet may still send back what this agent has
        just given away.
        """
        if record.caller in self.board.flows:
            return False
        moved = self.board.moved.get(record.caller)
        said_at = now - record.age_ms / MILLISECONDS
        return moved is None or moved[1] < said_at

    def _point(
        self, sender: model.Endpoint, record: model.FlowRecord, now: float
    ) -> None:
        """Sets a pointer; only its owner gives a pinned flow away."""
        if record.caller in self.board.flows:
            return
        heard_at = now - record.age_ms / MILLISECONDS
        old = self.board.directory.find(record.caller, now)
        is_pinned = old is not None and old.pinned and not record.pinned
        if is_pinned and old is not None and old.owner != sender:
            return
        self.board.directory.point(
            record.caller, record.owner, heard_at, record.pinned
        )

    def on_ask_flows(self, sender: model.Endpoint, now: float) -> None:
        """Tells a restarted agent which flows it owned and is home of."""
        own_flows = [
            flow
            for flow in self.pinned_flows()
            if sender in self.homes(flow.caller)
        ]
        self.announce(own_flows)
        records = [
            self._record_of(caller, pointer, now)
            for caller, pointer in self.board.directory.pointers.items()
            if pointer.owner == sender and caller not in self.board.flows
        ]
        self._announce_to(sender, records)

    def announce(self, flows: Iterable[Flow]) -> None:
        """Tells the homes, first and second, that this agent owns flows."""
        own = self.board.identity.peer
        self._tell_homes(
            model.FlowRecord(flow.caller, own, flow.is_pinned())
            for flow in flows
        )

    def announce_move(self, flow: Flow, to: model.Endpoint) -> None:
        """Tells the homes that this agent gave a flow away."""
        self._tell_homes([model.FlowRecord(flow.caller, to, pinned=False)])

    def _tell_homes(self, records: Iterable[model.FlowRecord]) -> None:
        batches: dict[model.Endpoint, list[model.FlowRecord]] = {}
        own = self.board.identity.peer
        for record in records:
            for home in self.homes(record.caller):
                if home != own:
                    batches.setdefault(home, []).append(record)
        for home, batch in batches.items():
            self._announce_to(home, batch)

    def _announce_to(
        self, agent: model.Endpoint, records: list[model.FlowRecord]
    ) -> None:
        service = self.board.identity.service
        for start in range(0, len(records), ANNOUNCE_BATCH):
            batch = records[start : start + ANNOUNCE_BATCH]
            self.board.send(agent, model.Announce(service, batch))

    def pinned_flows(self) -> list[Flow]:
        """Returns the flows whose pointers have to be renewed.

        Of the others nothing is lost where they are placed anew.
        """
        return [flow for flow in self.board.flows.values() if flow.is_pinned()]

    def _record_of(
        self, caller: model.Endpoint, pointer: parts.Pointer, now: float
    ) -> model.FlowRecord:
        age_ms = int((now - pointer.heard_at) * MILLISECONDS)
        return model.FlowRecord(caller, pointer.owner, pointer.pinned, age_ms)

    def hand_over(self, now: float) -> None:
        """Gives pointers of pinned flows to their new homes.

        Their owners tell it too, but one of them may be down just now.
        """
        self._tell_homes(
            self._record_of(caller, pointer, now)
            for caller, pointer in self.board.directory.pointers.items()
            if pointer.pinned and caller not in self.board.flows
        )

    def recover(self) -> None:
        """Asks the peers, after a start, which flows this agent owned."""
        self.board.recovered = True
        for agent in self.board.known_agents():
            self.board.send(agent, model.AskFlows(self.board.identity.service))
