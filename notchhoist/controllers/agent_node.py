"""Node of an agent: dispatches events and ticks to its controllers."""

import random
from collections.abc import Callable

import attrs

from notchhoist import model, wire
from notchhoist.blackboards import (
    AgentBoard,
    AgentIdentity,
    Count,
    RunState,
    make_agent_board,
)
from notchhoist.blackboards.agent import QUEUE_PER_SLOT
from notchhoist.controllers.claim_results import ClaimResultHandler
from notchhoist.controllers.claims import ClaimCoordinator
from notchhoist.controllers.config_sync import ConfigSynchronizer
from notchhoist.controllers.exchanges import MessageLayer
from notchhoist.controllers.flow_mover import FlowMover
from notchhoist.controllers.flow_router import FlowRouter
from notchhoist.controllers.load_tracker import LoadTracker
from notchhoist.controllers.node import take_effects
from notchhoist.controllers.outcomes import OutcomeReporter
from notchhoist.controllers.pointers import PointerReplicator
from notchhoist.controllers.run_delegator import RunDelegator
from notchhoist.controllers.run_dispatcher import RunDispatcher
from notchhoist.controllers.witness_recovery import WitnessRecovery


@attrs.define
class AgentNode:
    """Controllers of an agent on one blackboard; see ``make_agent``."""

    board: AgentBoard
    config: ConfigSynchronizer
    loads: LoadTracker
    pointers: PointerReplicator
    flows: FlowRouter
    exchanges: MessageLayer
    claims: ClaimCoordinator
    runs: RunDispatcher
    delegations: RunDelegator
    memory: WitnessRecovery

    def handle(self, event: model.Event, now: float) -> list[model.Effect]:
        """Handles an event and returns the effects to perform."""
        match event:
            case model.PeerMessage():
                self._on_peer(event.sender, event.message, now)
            case model.BackendDatagram():
                self._on_backend(event, now)
            case model.ConfigurationRead():
                self.config.on_read(event, now)
            case model.HostsRead():
                self.config.on_hosts(event, now)
            case _:
                self.board.counters[Count.MISDIRECTED] += 1
        return take_effects(self.board.outbox)

    def _on_peer(
        self, sender: model.Endpoint, message: model.Message, now: float
    ) -> None:
        service = getattr(message, "service", "") or ""
        if service not in ("", self.board.identity.service):
            self.board.counters[Count.MISDIRECTED] += 1
            return
        if isinstance(message, model.ConfigDiff | model.ConfigAsk):
            self._on_config(sender, message, now)
            return
        if self.board.service is None:
            self.board.counters[Count.NOT_READY] += 1
            return
        self._on_service_message(sender, message, now)

    def _on_config(
        self,
        sender: model.Endpoint,
        message: model.ConfigDiff | model.ConfigAsk,
        now: float,
    ) -> None:
        if isinstance(message, model.ConfigDiff):
            self.config.on_difference(message, now)
        else:
            self.config.on_query(sender, message, now)

    def _on_service_message(
        self, sender: model.Endpoint, message: model.Message, now: float
    ) -> None:
        match message:
            case model.Forward():
                self.board.balancers_seen[message.balancer] = now
                self.flows.on_forward(sender, message, now)
            case model.RunRequest():
                self.delegations.on_run_request(sender, message, now)
            case model.RunReply():
                self.delegations.on_run_reply(sender, message, now)
            case model.AskOutcome():
                self.delegations.on_ask_outcome(sender, message, now)
            case model.GrantRequest():
                self.claims.on_request(sender, message, now)
            case model.GrantReply():
                self.claims.on_reply(sender, message, now)
            case model.LoadReport():
                self.loads.on_report(sender, message, now)
            case _:
                self._on_membership(sender, message, now)

    def _on_membership(
        self, sender: model.Endpoint, message: model.Message, now: float
    ) -> None:
        match message:
            case model.AskRecords():
                self.memory.on_ask_records(sender, now)
            case model.Records():
                self.memory.on_records(sender, message, now)
            case model.AskOwner():
                self.flows.on_owner_query(sender, message, now)
            case model.TellOwner():
                self.flows.on_owner_reply(sender, message, now)
            case model.Announce():
                self.pointers.on_announce(sender, message, now)
            case model.AskFlows():
                self.pointers.on_flows_query(sender, now)
            case model.LeavingHosts():
                self.config.on_leaving(message, now)
            case model.Ping():
                self.board.send(sender, model.Pong(message.nonce))
            case model.Pong():
                self.board.balancers_seen[sender] = now
            case _:
                self.board.counters[Count.MISDIRECTED] += 1

    def _on_backend(self, event: model.BackendDatagram, now: float) -> None:
        service = self.board.service
        if service is not None and not service.kinds:
            self.exchanges.on_opaque(event.caller, event.datagram, now)
            return
        try:
            message = wire.decode_coap(event.datagram)
        except model.CodecError:
            self.board.counters[Count.BACKEND_MALFORMED] += 1
            return
        if not message.is_response:
            return
        if self.runs.on_response(event.caller, message, now):
            return
        passed = self.exchanges.on_notification(
            event.caller, message, event.datagram, now
        )
        if not passed:
            self.board.counters[Count.STRAY_RESPONSES] += 1

    def tick(self, now: float) -> list[model.Effect]:
        """Performs periodic work and returns the effects to perform."""
        if self.board.pauses.observe(now):
            self._on_pause(now)
        self.config.tick(now)
        self.loads.tick(now)
        self.memory.tick(now)
        self.claims.tick(now)
        self.delegations.tick(now)
        self.runs.tick(now)
        self.flows.tick(now)
        for agents, until in list(self.board.sets.items()):
            if now > until:
                del self.board.sets[agents]
        return take_effects(self.board.outbox)

    def _on_pause(self, now: float) -> None:
        """Discards pointers, which may have become stale during a pause."""
        self.board.counters[Count.PAUSES] += 1
        self.board.tenure.restart(now)
        self.board.directory.pointers.clear()

    def on_config_change(self, now: float) -> None:
        """Applies the service's record of a newly adopted revision."""
        board = self.board
        record = board.config.store.services.get(board.identity.service)
        if record is None or record == board.service:
            return
        self._keep_former_sets(record, now)
        changed = board.service is None or set(record.agents()) != set(
            board.service.agents()
        )
        board.service = record
        self._apply_slots(record)
        board.witness.lifetime_s = max(
            record.memory_s, board.witness.lifetime_s if not changed else 0.0
        )
        if not board.recovered:
            self.pointers.recover()
        elif changed:
            board.tenure.restart(now)
            self.pointers.announce(self.pointers.pinned_flows())
            self.pointers.hand_over_pointers(now)

    def _keep_former_sets(self, record: model.Service, now: float) -> None:
        """Keeps former sets of agents for one more memory lifetime.

        During that time their agents still count as witnesses and as home
        agents.
        """
        until = now + record.memory_s
        former = [group.agents for group in record.former]
        if self.board.service is not None:
            former.append(self.board.service.agents())
        for agents in former:
            if agents and set(agents) != set(record.agents()):
                self.board.sets[agents] = until
        self.board.sets.pop(record.agents(), None)

    def _apply_slots(self, record: model.Service) -> None:
        server = record.server_of(self.board.identity.peer)
        if server is None:
            return
        self.board.admission.ramp.slots = server.slots
        self.board.admission.queue_limit = server.slots * QUEUE_PER_SLOT

    def stop(self, now: float) -> list[model.Effect]:
        """Begins a planned stop.

        From now on the load reports say that this agent takes no new work;
        one is sent to every peer at once.
        """
        self.board.stopping = True
        self.loads.report(now)
        return take_effects(self.board.outbox)

    def is_idle(self) -> bool:
        """Returns whether no run is in progress at this agent."""
        return not any(
            run.state is not RunState.DONE for run in self.board.runs.values()
        )


def make_agent(
    identity: AgentIdentity,
    now: float,
    seed: int,
    seeds: tuple[model.Endpoint, ...] = (),
) -> AgentNode:
    """Makes the node of an agent that starts now.

    Args:
        identity: Identity of the agent, from its settings.
        now: Runtime clock, seconds.
        seed: Seed of the random number generator.
        seeds: Peers to query for the configuration if the platform is down.

    Returns:
        A node without configuration and without knowledge of its peers.
    """
    board = make_agent_board(identity, now, seeds)
    rng = random.Random(seed)
    loads = LoadTracker(board)
    pointers = PointerReplicator(board)
    flows = FlowRouter(board, loads, pointers, rng)
    pointers.adopt = flows.adopt
    exchanges = MessageLayer(board, loads)
    claims = ClaimCoordinator(board, rng)
    runs = RunDispatcher(
        board=board,
        loads=loads,
        flows=flows,
        exchanges=exchanges,
        claims=claims,
        moves=FlowMover(board, loads, flows),
        outcomes=OutcomeReporter(board, exchanges),
    )
    delegations = RunDelegator(board, loads, exchanges, runs)
    node = AgentNode(
        board=board,
        config=_make_config_synchronizer(board, rng),
        loads=loads,
        pointers=pointers,
        flows=flows,
        exchanges=exchanges,
        claims=claims,
        runs=runs,
        delegations=delegations,
        memory=WitnessRecovery(board, claims, on_new_sets=pointers.recover),
    )
    _connect_controllers(node)
    return node


def _make_config_synchronizer(
    board: AgentBoard, rng: random.Random
) -> ConfigSynchronizer:
    unset: Callable[[float], None] = lambda _: None  # noqa: E731
    return ConfigSynchronizer(
        board=board.config,
        counters=board.counters,
        outbox=board.outbox,
        peer=board.identity.peer,
        host=board.identity.server,
        may_watch=False,
        rng=rng,
        on_change=unset,
    )


def _connect_controllers(node: AgentNode) -> None:
    """Sets the callbacks between the controllers of an agent."""
    node.config.on_change = node.on_config_change
    node.flows.on_datagram = node.exchanges.on_datagram
    node.exchanges.on_run = node.runs.submit
    node.exchanges.on_pinned = lambda flow: node.pointers.announce([flow])
    node.claims.on_settled = ClaimResultHandler(node.runs).on_claim
    node.runs.delegate = node.delegations.delegate
    node.runs.delegate_continuation = node.delegations.delegate_continuation
    node.runs.ask_outcome = node.delegations.ask_outcome
    node.runs.outcomes.reply = node.delegations.reply
