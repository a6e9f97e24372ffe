"""Recovery of the records of a restarted witness from its peers."""

from collections.abc import Callable

import attrs

from notchhoist import model, parts
from notchhoist.blackboards import AgentBoard
from notchhoist.controllers.claim_results import GRANT_LEASE_S
from notchhoist.controllers.claims import ClaimCoordinator

RECOVERY_DELAY_S = GRANT_LEASE_S + 0.3
"""Time from a restart to the first request for records, seconds.

By then the votes of the earlier incarnation are void, because a claim uses its
votes within ``GRANT_LEASE_S``.
"""

RECOVERY_INTERVAL_S = 1.0


@attrs.define
class WitnessRecovery:
    """Recovers the records of this witness, and sends them to its peers.

    Attributes:
        board: State of the agent.
        claims: Determines the witnesses of an identity.
        on_new_sets: Called when a peer reported earlier sets of agents that
            this agent did not know.
    """

    board: AgentBoard
    claims: ClaimCoordinator
    on_new_sets: Callable[[], None]

    def tick(self, now: float) -> None:
        """Requests records from peers that have not sent complete ones."""
        board = self.board
        if not board.witness.is_recently_started(now):
            board.sets_known = True
            board.witness.vouchers.clear()
            return
        if board.service is None or now < board.next_records_at:
            return
        if now - board.witness.started_at < RECOVERY_DELAY_S:
            return
        board.next_records_at = now + RECOVERY_INTERVAL_S
        self._update_sets_known()
        for agent in board.known_agents():
            if board.witness.vouchers.get(agent, frozenset()) is not None:
                board.send(agent, model.AskRecords(board.identity.service))

    def on_ask_records(self, sender: model.Endpoint, now: float) -> None:
        """Sends a peer the records of identities that it is a witness of."""
        witness = self.board.witness
        records = [
            parts.to_record_entry(identity, record, now)
            for identity, record in witness.records.items()
            if self._is_witness(sender, identity)
        ]
        message = model.Records(
            service=self.board.identity.service,
            complete=self.is_complete(now),
            vouchers=witness.complete_vouchers(),
            records=records,
            sets=[model.AgentSet(list(agents)) for agents in self.board.sets],
        )
        self.board.send(sender, message)

    def is_complete(self, now: float) -> bool:
        """Tells whether this witness has every record that still matters.

        The records of a recently started witness are complete once every
        other agent has sent its own and had complete records itself. Two
        agents that restart at the same time never complete each other; their
        records are complete after the memory lifetime.
        """
        witness = self.board.witness
        if not witness.is_recently_started(now):
            return True
        others = self.board.known_agents()
        firm = set(witness.complete_vouchers())
        return self.board.sets_known and bool(others) and firm >= set(others)

    def _is_witness(self, agent: model.Endpoint, identity: bytes) -> bool:
        sets = self.claims.witness_sets(identity)
        return any(agent in group for group in sets)

    def on_records(
        self, sender: model.Endpoint, message: model.Records, now: float
    ) -> None:
        """Merges what a peer sent, if this witness was started recently."""
        board = self.board
        if not board.witness.is_recently_started(now) or board.service is None:
            return
        parts.merge_peer_records(board.witness, sender, message, now)
        self._merge_sets(message.sets, board.service, now)
        board.told_sets.add(sender)
        self._update_sets_known()

    def _merge_sets(
        self, sets: list[model.AgentSet], service: model.Service, now: float
    ) -> None:
        until = now + self.board.witness.lifetime_s
        known_count = len(self.board.sets)
        for former in sets:
            agents = tuple(former.agents)
            if set(agents) != set(service.agents()):
                self.board.sets.setdefault(agents, until)
        if len(self.board.sets) > known_count:
            self.on_new_sets()

    def _update_sets_known(self) -> None:
        others = self.board.other_agents()
        reported = sum(agent in self.board.told_sets for agent in others)
        if reported >= parts.majority_of(len(others) + 1) - 1:
            self.board.sets_known = True
