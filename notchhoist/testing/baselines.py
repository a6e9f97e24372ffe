"""Naive versions that the decisions are held against."""

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
class NoMemory(ClaimCoordinator):
    """Wins every claim at once: nothing but retransmissions is recognized."""

    def start(self, run: Run, purpose: model.Purpose, now: float) -> None:
        """Settles a claim without asking anybody."""
        state = ClaimState(run, 0, purpose, parts.Claim(()), now, now)
        self.on_settled(state, True, now)


@attrs.define
class HomeAlone(ClaimCoordinator):
    """Asks only the first witness: simple, and it fails by refusing."""

    def witness_sets(
        self, identity: bytes
    ) -> tuple[tuple[model.Endpoint, ...], ...]:
        """Returns the first witness of each set."""
        sets = super().witness_sets(identity)
        return tuple(group[:1] for group in sets)


def use_claims(node: controllers.Node, kind: type[ClaimCoordinator]) -> None:
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


@attrs.define
class PlainRendezvous(FlowForwarder):
    """Sends every datagram to the first agent of the present set."""

    def forward(self, event: model.CallerDatagram) -> model.Forward:
        """Tells the agent to take the flow, whoever has it."""
        return attrs.evolve(super().forward(event), placed=True)

    def route(
        self, service: model.Service, caller: model.Endpoint
    ) -> model.Endpoint:
        """Ranks the present set and looks no further."""
        key = parts.flow_hash_key(caller)
        return parts.rank_nodes(key, service.agents())[0]


@attrs.define
class ModuloTable(PlainRendezvous):
    """Sends every datagram by its hash modulo the number of agents."""

    def route(
        self, service: model.Service, caller: model.Endpoint
    ) -> model.Endpoint:
        """Looks the flow up in the table of the present set."""
        agents = service.agents()
        digest = xxhash.xxh3_64_intdigest(parts.flow_hash_key(caller))
        return agents[digest % len(agents)]


@attrs.define
class StayingMover(FlowMover):
    """Moves no flow: without a directory nobody would find it."""

    def move_stream(self, run: Run, now: float) -> bool:
        """Lets the stream stay or be refused."""
        return False

    def move_upload(self, run: Run, now: float) -> bool:
        """Lets the upload stay."""
        return False


def use_forwarder(node: controllers.Node, kind: type[FlowForwarder]) -> None:
    """Gives a balancer another way to route, and lets agents move nothing."""
    if isinstance(node, controllers.BalancerNode):
        node.forwarder = kind(node.board, node.forwarder.rng)
    elif isinstance(node, controllers.AgentNode):
        node.runs.moves = StayingMover(node.board, node.loads, node.flows)


def plain_rendezvous(node: controllers.Node) -> None:
    """The naive version: rendezvous hashing without a directory."""
    use_forwarder(node, PlainRendezvous)


def modulo_table(node: controllers.Node) -> None:
    """The naive version: a table by hash modulo the host count."""
    use_forwarder(node, ModuloTable)


@attrs.define
class BlindPlacement(RunDispatcher):
    """Places each request at an agent chosen without a look at loads."""

    turn: int = 0
    give: Callable[[Run, model.Endpoint, float], None] = attrs.field(init=False)

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
            self.give(run, chosen, now)

    def placeable(self, now: float) -> list[model.Endpoint]:
        """Returns the agents that are alive and not leaving."""
        candidates = self.loads.flow_candidates(now)
        return sorted(candidate.agent for candidate in candidates)

    def choose(self, agents: list[model.Endpoint]) -> model.Endpoint:
        """Chooses at random."""
        return self.claims.rng.choice(agents)


@attrs.define
class BudgetedRuns(RunDispatcher):
    """Retries within a budget that successes fund.

    Attributes:
        budget: The budget of this agent.
    """

    budget: RetryBudget = attrs.Factory(RetryBudget)

    def finish(
        self,
        run: Run,
        status: model.RunStatus,
        response: wire.CoapMessage | None,
        now: float,
    ) -> None:
        """Lets a success fund the budget."""
        if response is not None:
            self.budget.deposit(now)
        super().finish(run, status, response, now)

    def retry(self, run: Run, now: float) -> None:
        """Retries if the budget allows, else gives the request up."""
        if self.budget.try_spend(now):
            super().retry(run, now)
            return
        run.refusal = "retry_budget"
        run.retry_after_s = self.budget.retry_after_s(now) or 1
        self.finish(run, model.RunStatus.TIMED_OUT, None, now)


@attrs.define
class ImpatientRuns(BudgetedRuns):
    """Gives every try up after a third of the deadline."""

    def is_faster_elsewhere(self, run: Run, now: float) -> bool:
        """Looks at the deadline only."""
        whole = run.deadline - run.arrived_at
        return now - run.started_at > whole / 3


@attrs.define
class TurnPlacement(BlindPlacement):
    """Places requests round robin."""

    def choose(self, agents: list[model.Endpoint]) -> model.Endpoint:
        """Chooses the next in turn."""
        self.turn += 1
        return agents[self.turn % len(agents)]


def use_runs(
    node: controllers.Node, kind: type[RunDispatcher]
) -> RunDispatcher:
    """Gives an agent another way to place, run and retry requests."""
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
    if isinstance(runs, BlindPlacement):
        runs.give = lambda run, agent, now: delegations.delegate_to(
            run, agent, True, now
        )
    return runs


def random_placement(node: controllers.Node) -> None:
    """The naive version: each request at a random agent."""
    if isinstance(node, controllers.AgentNode):
        use_runs(node, BlindPlacement)


def round_robin(node: controllers.Node) -> None:
    """The naive version: requests at the agents in turn."""
    if isinstance(node, controllers.AgentNode):
        use_runs(node, TurnPlacement)


def budgeted(
    kind: type[BudgetedRuns], floor_per_s: float
) -> Callable[[controllers.Node], None]:
    """Returns what gives agents a retry budget of a certain floor."""

    def adapt(node: controllers.Node) -> None:
        if not isinstance(node, controllers.AgentNode):
            return
        runs = use_runs(node, kind)
        if isinstance(runs, BudgetedRuns):
            runs.budget = RetryBudget(floor_per_s=floor_per_s)

    return adapt
