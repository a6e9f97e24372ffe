"""Memory of a restarted agent: asked back from its peers."""

from collections.abc import Callable

import attrs

from notchhoist import model, parts
from notchhoist.blackboards import AgentBoard
from notchhoist.controllers.claims import ClaimKeeper
from notchhoist.controllers.granting import GRANT_LEASE_S

ASK_AFTER_S = GRANT_LEASE_S + 0.3
"""Votes of an earlier incarnation are void after this time, seconds."""

ASK_AGAIN_S = 1.0


@attrs.define
class MemoryKeeper:
    """Asks the peers of a young witness for what they remember.

    Attributes:
        board: Everything that the agent knows.
        claims: Which witnesses an identity has.
        on_new_sets: Called when a peer told sets that were not known.
    """

    board: AgentBoard
    claims: ClaimKeeper
    on_new_sets: Callable[[], None]

    def tick(self, now: float) -> None:
        """Asks the peers that have not told everything."""
        board = self.board
        if not board.witness.is_young(now):
            board.sets_known = True
            board.witness.vouchers.clear()
            return
        if board.service is None or now < board.next_records_at:
            return
        if now - board.witness.started_at < ASK_AFTER_S:
            return
        board.next_records_at = now + ASK_AGAIN_S
        self._note_sets_known()
        for agent in board.known_agents():
            if board.witness.vouchers.get(agent, frozenset()) is not None:
                board.send(agent, model.AskRecords(board.identity.service))

    def on_ask_records(self, sender: model.Endpoint, now: float) -> None:
        """Tells a peer what this agent remembers."""
        witness = self.board.witness
        records = [
            parts.entry_of(identity, record, now)
            for identity, record in witness.records.items()
            if self._is_witness(sender, identity)
        ]
        message = model.Records(
            service=self.board.identity.service,
            complete=self.is_complete(now),
            vouchers=witness.firm_vouchers(),
            records=records,
            sets=[model.AgentSet(list(agents)) for agents in self.board.sets],
        )
        self.board.send(sender, message)

    def is_complete(self, now: float) -> bool:
        """Tells whether nothing that counted can be missing here.

        A young memory is complete once every other agent, each with a complete
        memory itself, has told what it remembers. Two that were lost together
        wait for each other in vain, and a lifetime makes them whole.
        """
        witness = self.board.witness
        if not witness.is_young(now):
            return True
        others = self.board.known_agents()
        firm = set(witness.firm_vouchers())
        return self.board.sets_known and bool(others) and firm >= set(others)

    def _is_witness(self, agent: model.Endpoint, identity: bytes) -> bool:
        sets = self.claims.witness_sets(identity)
        return any(agent in group for group in sets)

    def on_records(
        self, sender: model.Endpoint, message: model.Records, now: float
    ) -> None:
        """Takes in what a peer remembers."""
        board = self.board
        if not board.witness.is_young(now) or board.service is None:
            return
        parts.take_in(board.witness, sender, message, now)
        self._take_sets(message.sets, board.service, now)
        board.told_sets.add(sender)
        self._note_sets_known()

    def _take_sets(
        self, sets: list[model.AgentSet], service: model.Service, now: float
    ) -> None:
        until = now + self.board.witness.lifetime_s
        known = len(self.board.sets)
        for former in sets:
            agents = tuple(former.agents)
            if set(agents) != set(service.agents()):
                self.board.sets.setdefault(agents, until)
        if len(self.board.sets) > known:
            self.on_new_sets()

    def _note_sets_known(self) -> None:
        others = self.board.other_agents()
        told = sum(agent in self.board.told_sets for agent in others)
        if told >= parts.majority_of(len(others) + 1) - 1:
            self.board.sets_known = True
