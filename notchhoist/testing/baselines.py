"""Naive versions that the decisions are held against."""

import attrs
import xxhash

from notchhoist import controllers, model, parts
from notchhoist.blackboards import ClaimState, Run
from notchhoist.controllers.balancing import FlowForwarder
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


def use_forwarder(node: controllers.Node, kind: type[FlowForwarder]) -> None:
    """Gives a balancer another way to route."""
    if isinstance(node, controllers.BalancerNode):
        node.forwarder = kind(node.board, node.forwarder.rng)


def plain_rendezvous(node: controllers.Node) -> None:
    """The naive version: rendezvous hashing without a directory."""
    use_forwarder(node, PlainRendezvous)


def modulo_table(node: controllers.Node) -> None:
    """The naive version: a table by hash modulo the host count."""
    use_forwarder(node, ModuloTable)
