"""Node of a balancer: dispatches events and ticks to its controllers."""

import random

import attrs

from notchhoist import model
from notchhoist.blackboards import (
    BalancerBoard,
    BalancerIdentity,
    Count,
    make_balancer_board,
)
from notchhoist.controllers.config_sync import ConfigSynchronizer
from notchhoist.controllers.flow_forwarder import FlowForwarder
from notchhoist.controllers.node import take_effects


@attrs.define
class BalancerNode:
    """Controllers of a balancer on one blackboard; see ``make_balancer``."""

    board: BalancerBoard
    config: ConfigSynchronizer
    forwarder: FlowForwarder

    def handle(self, event: model.Event, now: float) -> list[model.Effect]:
        """Handles an event and returns the effects to perform."""
        match event:
            case model.CallerDatagram():
                self.forwarder.on_caller(event, now)
            case model.PeerMessage():
                self._on_peer(event.sender, event.message, now)
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
        match message:
            case model.Deliver():
                self.forwarder.on_deliver(sender, message, now)
            case model.ConfigAsk():
                self.config.on_query(sender, message, now)
            case model.ConfigDiff():
                self.config.on_difference(message, now)
            case model.LeavingHosts():
                self.config.on_leaving(message, now)
            case model.Ping():
                self.board.outbox.append(
                    model.SendPeer(sender, model.Pong(message.nonce))
                )
            case model.Pong():
                self.forwarder.record_answer(sender)
            case _:
                self.board.counters[Count.MISDIRECTED] += 1

    def tick(self, now: float) -> list[model.Effect]:
        """Performs periodic work and returns the effects to perform."""
        self.config.tick(now)
        self.forwarder.tick(now)
        return take_effects(self.board.outbox)

    def stop(self, now: float) -> list[model.Effect]:
        """Begins a planned stop; datagrams are still forwarded."""
        self.board.stopping = True
        return take_effects(self.board.outbox)

    def is_idle(self) -> bool:
        """Returns True: a balancer has no state that a stop would interrupt."""
        return True


def make_balancer(
    identity: BalancerIdentity,
    now: float,
    seed: int,
    seeds: tuple[model.Endpoint, ...] = (),
) -> BalancerNode:
    """Makes the node of a balancer that starts now.

    Args:
        identity: Identity of the balancer, from its settings.
        now: Runtime clock, seconds.
        seed: Seed of the random number generator.
        seeds: Peers to query for the configuration if the platform is down.

    Returns:
        A node without configuration and without knowledge of any agent.
    """
    board = make_balancer_board(identity, now, seeds)
    rng = random.Random(seed)
    config = ConfigSynchronizer(
        board=board.config,
        counters=board.counters,
        outbox=board.outbox,
        peer=identity.peer,
        host=identity.name,
        may_watch=True,
        rng=rng,
        on_change=lambda _: None,
    )
    return BalancerNode(board, config, FlowForwarder(board, rng))
