"""Claims: collects grants and fences from the witnesses of a request."""

import random
from collections.abc import Callable

import attrs

from notchhoist import model, parts
from notchhoist.blackboards import AgentBoard, ClaimState, Count, Run

RESEND_INTERVAL_S = 0.1
"""Time after which a request to a silent witness is sent again, seconds."""

CLAIM_TIMEOUT_S = 0.4
"""Time after which a claim without a majority is lost, seconds."""

CLAIM_NUMBER_BITS = 62


@attrs.define
class ClaimCoordinator:
    """Collects the votes of witnesses, and votes as a witness itself.

    Attributes:
        board: State of the agent.
        rng: Source of claim numbers.
        on_settled: Called with each claim that is won or lost: its state,
            whether it is won, and the runtime clock.
    """

    board: AgentBoard
    rng: random.Random
    on_settled: Callable[[ClaimState, bool, float], None] = attrs.field(
        init=False
    )

    def start(self, run: Run, purpose: model.Purpose, now: float) -> None:
        """Starts a claim of a grant or a fence for a run.

        A fence reuses the number of the run's earlier claim, so that the
        witnesses let the run fence a grant of its own. The claim is lost at
        once while this agent does not know which sets of agents count.

        Args:
            run: The run.
            purpose: What to claim.
            now: Runtime clock, seconds.
        """
        state = ClaimState(
            run=run,
            number=self.rng.getrandbits(CLAIM_NUMBER_BITS),
            purpose=purpose,
            claim=parts.Claim(sets=self.witness_sets(run.identity)),
            asked_at=now,
            sent_at=now,
        )
        if purpose is not model.Purpose.GRANT and run.claim is not None:
            state.number = run.claim
        run.claim = state.number
        self.board.claims[state.number] = state
        if not self.board.sets_known:
            self._settle(state, False, now)
            return
        self._request_missing_votes(state, now)
        self._settle_if_decided(state, now)

    def witness_sets(
        self, identity: bytes
    ) -> tuple[tuple[model.Endpoint, ...], ...]:
        """Returns the witnesses of an identity in each valid set of agents.

        These are the current set and the earlier ones that still count.
        """
        service = self.board.service
        current = service.agents() if service else ()
        groups = [current, *self.board.sets]
        chosen = [parts.witnesses_of(identity, group) for group in groups]
        return tuple(dict.fromkeys(group for group in chosen if group))

    def _request_missing_votes(self, state: ClaimState, now: float) -> None:
        state.sent_at = now
        request = self._make_request(state.run, state.purpose, state.number)
        for witness in state.claim.voters():
            if witness in state.claim.votes:
                continue
            if witness == self.board.identity.peer:
                self._cast_own_vote(state, request, now)
            else:
                self.board.send(witness, request)

    def _make_request(
        self, run: Run, purpose: model.Purpose, number: int
    ) -> model.GrantRequest:
        return model.GrantRequest(
            service=self.board.identity.service,
            identity=run.identity,
            attempt=run.attempt,
            purpose=purpose,
            epoch=self._epoch(),
            claim=number,
        )

    def release(self, run: Run, now: float) -> None:
        """Releases the grant of a run that the backend server did not start."""
        if run.claim is None:
            return
        request = self._make_request(run, model.Purpose.RELEASE, run.claim)
        run.claim = None
        groups = self.witness_sets(run.identity)
        for witness in dict.fromkeys(node for g in groups for node in g):
            if witness == self.board.identity.peer:
                self._decide(witness, request, now)
            else:
                self.board.send(witness, request)

    def _cast_own_vote(
        self, state: ClaimState, request: model.GrantRequest, now: float
    ) -> None:
        own = self.board.identity.peer
        decision = self._decide(own, request, now)
        self._count_vote(state, own, decision)

    def _epoch(self) -> int:
        return self.board.service.epoch if self.board.service else 0

    def on_request(
        self, sender: model.Endpoint, request: model.GrantRequest, now: float
    ) -> None:
        """Votes on the claim of an agent; a release gets no reply."""
        decision = self._decide(sender, request, now)
        if request.purpose is model.Purpose.RELEASE:
            return
        self.board.send(
            sender,
            model.GrantReply(
                service=request.service,
                identity=request.identity,
                attempt=request.attempt,
                purpose=request.purpose,
                verdict=decision.verdict,
                holder=decision.holder.agent if decision.holder else None,
                epoch=self._epoch(),
                claim=request.claim,
            ),
        )

    def _decide(
        self, asker: model.Endpoint, request: model.GrantRequest, now: float
    ) -> parts.Decision:
        if request.epoch < self._epoch():
            return parts.Decision(model.Verdict.STALE_EPOCH)
        witness = self.board.witness
        if request.purpose is model.Purpose.RELEASE:
            witness.release(request.identity, request.claim)
            return parts.Decision(model.Verdict.GRANTED)
        is_fence = request.purpose is model.Purpose.FENCE
        decide = witness.fence if is_fence else witness.grant
        claimant = parts.Claimant(asker, request.claim)
        others = self._other_witnesses(request.identity)
        return decide(request.identity, request.attempt, claimant, now, others)

    def _other_witnesses(self, identity: bytes) -> frozenset[model.Endpoint]:
        own = self.board.identity.peer
        witnesses = {
            node
            for group in self.witness_sets(identity)
            if own in group
            for node in group
        }
        return frozenset(witnesses - {own})

    def on_reply(
        self, sender: model.Endpoint, reply: model.GrantReply, now: float
    ) -> None:
        """Counts the verdict of a witness, and settles the claim if decided."""
        state = self.board.claims.get(reply.claim)
        if state is None or state.purpose is not reply.purpose:
            return
        holder = (
            parts.Claimant(reply.holder, 0)
            if reply.holder is not None
            else None
        )
        self._count_vote(state, sender, parts.Decision(reply.verdict, holder))
        self._settle_if_decided(state, now)

    def _count_vote(
        self, state: ClaimState, voter: model.Endpoint, decision: parts.Decision
    ) -> None:
        state.claim.vote(voter, decision.verdict)
        if decision.verdict is model.Verdict.STALE_EPOCH:
            self.board.config.next_ask_at = 0.0
        denied = decision.verdict is model.Verdict.DENIED
        if denied and decision.holder is not None:
            state.holder = decision.holder.agent

    def _settle_if_decided(self, state: ClaimState, now: float) -> None:
        tally = state.claim.status()
        if tally is not parts.ClaimStatus.OPEN:
            self._settle(state, tally is parts.ClaimStatus.WON, now)

    def _settle(self, state: ClaimState, won: bool, now: float) -> None:
        if self.board.claims.pop(state.number, None) is None:
            return
        self.board.counters[_counter_of(state.purpose, won)] += 1
        self.on_settled(state, won, now)

    def tick(self, now: float) -> None:
        """Resends requests to silent witnesses and ends old claims as lost."""
        for state in list(self.board.claims.values()):
            if now - state.asked_at > CLAIM_TIMEOUT_S:
                self._settle(state, False, now)
            elif now - state.sent_at > RESEND_INTERVAL_S:
                self._request_missing_votes(state, now)
                self._settle_if_decided(state, now)


def _counter_of(purpose: model.Purpose, won: bool) -> Count:
    if purpose is model.Purpose.FENCE:
        return Count.FENCES_WON if won else Count.FENCES_LOST
    return Count.GRANTS_WON if won else Count.GRANTS_LOST
