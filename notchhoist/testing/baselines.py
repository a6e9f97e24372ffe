"""Baselines: simpler versions that the decisions are compared with.

Each function here changes a node at its start so that it uses a baseline.
"""

from collections.abc import Callable

import attrs
import xxhash

from notchhoist import controllers, model, parts, wire
from notchhoist.blackboards import ClaimState, Run
from notchhoist.controllers.claim_results import ClaimResultHandler
from notchhoist.controllers.claims import ClaimCoordinator
from notchhoist.controllers.flow_forwarder import FlowForwarder
from notchhoist.controllers.flow_mover import FlowMover
from notchhoist.controllers.run_dispatcher import RunDispatcher
from notchhoist.testing.retry_budget import RetryBudget


@attrs.define
class AlwaysGrantedClaims(ClaimCoordinator):
    """Grants every claim at once: only retransmissions are recognized."""

    def start(self, run: Run, purpose: model.Purpose, now: float) -> None:
        """Settles a claim as won without asking a witness."""
        state = ClaimState(run, 0, purpose, parts.Claim(()), now, now)
        self.on_settled(state, True, now)


@attrs.define
class SingleWitnessClaims(ClaimCoordinator):
    """Asks only the first witness; refuses requests while it is unreachable."""

    def witness_sets(
        self, identity: bytes
    ) -> tuple[tuple[model.Endpoint, ...], ...]:
        """Returns the first witness of each set."""
        sets = super().witness_sets(identity)
        return tuple(group[:1] for group in sets)


def replace_claims(
    node: controllers.Node, kind: type[ClaimCoordinator]
) -> None:
    """Replaces the claim coordinator of an agent."""
    if not isinstance(node, controllers.AgentNode):
        return
    claims = kind(node.board, node.claims.rng)
    claims.on_settled = node.claims.on_settled
    node.claims = claims
    node.runs.claims = claims


def without_witnesses(node: controllers.Node) -> None:
    """Baseline without witnesses."""
    replace_claims(node, AlwaysGrantedClaims)


def single_witness(node: controllers.Node) -> None:
    """Baseline with one witness, the first one of the identity."""
    replace_claims(node, SingleWitnessClaims)


@attrs.define
class PlainRendezvous(FlowForwarder):
    """Sends every datagram to the first agent by rendezvous hashing."""

    def forward(self, event: model.CallerDatagram) -> model.Forward:
        """Makes the agent take the flow, even if another agent owns it."""
        return attrs.evolve(super().forward(event), placed=True)

    def route(
        self, service: model.Service, caller: model.Endpoint
    ) -> model.Endpoint:
        """Returns the first of the current agents in rendezvous order."""
        key = parts.flow_hash_key(caller)
        return parts.rank_nodes(key, service.agents())[0]


@attrs.define
class ModuloTable(PlainRendezvous):
    """Sends every datagram by its hash modulo the number of agents."""

    def route(
        self, service: model.Service, caller: model.Endpoint
    ) -> model.Endpoint:
        """Returns the agent at the flow's hash in the current set."""
        agents = service.agents()
        digest = xxhash.xxh3_64_intdigest(parts.flow_hash_key(caller))
        return agents[digest % len(agents)]


@attrs.define
class DisabledFlowMover(FlowMover):
    """Moves no flow: without a directory, no balancer would find it."""

    def move_stream(self, run: Run, now: float) -> bool:
        """Leaves the stream where it is, also if it is refused there."""
        return False

    def move_upload(self, run: Run, now: float) -> bool:
        """Leaves the upload where it is."""
        return False


def replace_forwarder(
    node: controllers.Node, kind: type[FlowForwarder]
) -> None:
    """Replaces the forwarder of a balancer, and the flow mover of an agent."""
    if isinstance(node, controllers.BalancerNode):
        node.forwarder = kind(node.board, node.forwarder.rng)
    elif isinstance(node, controllers.AgentNode):
        node.runs.moves = DisabledFlowMover(node.board, node.loads, node.flows)


def plain_rendezvous(node: controllers.Node) -> None:
    """Baseline that uses rendezvous hashing without a directory."""
    replace_forwarder(node, PlainRendezvous)


def modulo_table(node: controllers.Node) -> None:
    """Baseline that uses the hash modulo the number of agents."""
    replace_forwarder(node, ModuloTable)


@attrs.define
class RandomPlacement(RunDispatcher):
    """Places each request at a random agent, regardless of load."""

    position: int = 0
    place_at: Callable[[Run, model.Endpoint, float], None] = attrs.field(
        init=False
    )

    def dispatch(self, run: Run, now: float) -> None:
        """Runs or queues the request at the chosen agent."""
        agents = [
            agent for agent in self.placeable(now) if agent not in run.excluded
        ]
        if not agents:
            self.refuse(run, "no_free_slot", now)
            return
        chosen = self.choose(agents)
        if chosen == self.board.identity.peer:
            self.enter_or_queue(run, True, now)
        else:
            self.place_at(run, chosen, now)

    def placeable(self, now: float) -> list[model.Endpoint]:
        """Returns the agents that are alive and not draining."""
        candidates = self.loads.flow_candidates(now)
        return sorted(candidate.agent for candidate in candidates)

    def choose(self, agents: list[model.Endpoint]) -> model.Endpoint:
        """Chooses an agent at random."""
        return self.claims.rng.choice(agents)


@attrs.define
class BudgetedDispatcher(RunDispatcher):
    """Retries only within a budget that successes replenish.

    Attributes:
        budget: Retry budget of this agent.
    """

    budget: RetryBudget = attrs.Factory(RetryBudget)

    def finish(
        self,
        run: Run,
        status: model.RunStatus,
        response: wire.CoapMessage | None,
        now: float,
    ) -> None:
        """Adds to the budget for each success."""
        if response is not None:
            self.budget.deposit(now)
        super().finish(run, status, response, now)

    def retry(self, run: Run, now: float) -> None:
        """Retries within the budget, else ends the request as timed out."""
        if self.budget.try_spend(now):
            super().retry(run, now)
            return
        run.refusal = "retry_budget"
        run.retry_after_s = self.budget.retry_after_s(now) or 1
        self.finish(run, model.RunStatus.TIMED_OUT, None, now)


@attrs.define
class EarlyTimeoutDispatcher(BudgetedDispatcher):
    """Ends every execution after a third of the time to the deadline."""

    def is_faster_elsewhere(self, run: Run, now: float) -> bool:
        """Returns whether a third of the time to the deadline has passed."""
        whole = run.deadline - run.arrived_at
        return now - run.started_at > whole / 3


@attrs.define
class RoundRobinPlacement(RandomPlacement):
    """Places requests at the agents in round-robin order."""

    def choose(self, agents: list[model.Endpoint]) -> model.Endpoint:
        """Chooses the next agent in order."""
        self.position += 1
        return agents[self.position % len(agents)]


def replace_dispatcher(
    node: controllers.Node, kind: type[RunDispatcher]
) -> RunDispatcher:
    """Replaces the dispatcher that places, runs and retries requests."""
    if not isinstance(node, controllers.AgentNode):
        raise TypeError("only agents run requests")
    old = node.runs
    runs = kind(
        board=node.board,
        loads=old.loads,
        flows=old.flows,
        exchanges=old.exchanges,
        claims=old.claims,
        moves=old.moves,
        outcomes=old.outcomes,
    )
    delegations = node.delegations
    delegations.runs = runs
    node.runs = runs
    node.exchanges.on_run = runs.submit
    node.claims.on_settled = ClaimResultHandler(runs).on_claim
    runs.delegate = delegations.delegate
    runs.delegate_continuation = delegations.delegate_continuation
    runs.ask_outcome = delegations.ask_outcome
    if isinstance(runs, RandomPlacement):
        runs.place_at = lambda run, agent, now: delegations.delegate_to(
            run, agent, True, now
        )
    return runs


def random_placement(node: controllers.Node) -> None:
    """Baseline that places each request at a random agent."""
    if isinstance(node, controllers.AgentNode):
        replace_dispatcher(node, RandomPlacement)


def round_robin(node: controllers.Node) -> None:
    """Baseline that places requests in round-robin order."""
    if isinstance(node, controllers.AgentNode):
        replace_dispatcher(node, RoundRobinPlacement)


def with_retry_budget(
    kind: type[BudgetedDispatcher], floor_per_s: float
) -> Callable[[controllers.Node], None]:
    """Returns a function that gives agents a retry budget with a floor rate."""

    def adapt(node: controllers.Node) -> None:
        if not isinstance(node, controllers.AgentNode):
            return
        runs = replace_dispatcher(node, kind)
        if isinstance(runs, BudgetedDispatcher):
            runs.budget = RetryBudget(floor_per_s=floor_per_s)

    return adapt
