"""Naive versions that the decisions are held against."""

import attrs

from notchhoist import controllers, model, parts
from notchhoist.blackboards import ClaimState, Run
from notchhoist.controllers.claims import ClaimKeeper


@attrs.define
class NoMemory(ClaimKeeper):
    """Wins every claim at once: nothing but retransmissions is recognized."""

    def start(self, run: Run, fence: bool, now: float) -> None:
        """Settles a claim without asking anybody."""
        state = ClaimState(run, 0, fence, parts.Claim(()), now, now)
        self.on_settled(state, True, now)


@attrs.define
class HomeAlone(ClaimKeeper):
    """Asks only the first witness: simple, and it fails by refusing."""

    def witness_sets(
        self, identity: bytes
    ) -> tuple[tuple[model.Endpoint, ...], ...]:
        """Returns the first witness of each set."""
        sets = super().witness_sets(identity)
        return tuple(group[:1] for group in sets)


def use_claims(node: controllers.Node, kind: type[ClaimKeeper]) -> None:
    """Gives an agent another way to claim."""
    if not isinstance(node, controllers.AgentNode):
        return
    claims = kind(node.board, node.claims.rng)
    claims.on_settled = node.claims.on_settled
    node.claims = claims
    node.runs.claims = claims


def without_memory(node: controllers.Node) -> None:
    """The naive version: no witnesses."""
    use_claims(node, NoMemory)


def home_alone(node: controllers.Node) -> None:
    """The simpler version: one witness, the home of the identity."""
    use_claims(node, HomeAlone)
