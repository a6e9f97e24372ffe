"""The node of a balancer."""

import random

import attrs

from notchhoist import model
from notchhoist.blackboards import (
    BalancerBoard,
    BalancerIdentity,
    Count,
    make_balancer_board,
)
from notchhoist.controllers.balancing import FlowForwarder
from notchhoist.controllers.configuring import ConfigKeeper
from notchhoist.controllers.node import drain


@attrs.define
class BalancerNode:
    """The decisions of a balancer; see ``make_balancer``."""

    board: BalancerBoard
    config: ConfigKeeper
    forwarder: FlowForwarder

    def handle(self, event: model.Event, now: float) -> list[model.Effect]:
        """Takes an event and returns what is to be done."""
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
        return drain(self.board.outbox)

    def _on_peer(
        self, sender: model.Endpoint, message: model.Message, now: float
    ) -> None:
        match message:
            case model.Deliver():
                self.forwarder.on_deliver(sender, message, now)
            case model.ConfigAsk():
                self.config.on_ask(sender, message, now)
            case model.ConfigDiff():
                self.config.on_difference(message, now)
            case model.LeavingHosts():
                self.config.on_leaving(message, now)
            case model.Ping():
                self.board.outbox.append(
                    model.SendPeer(sender, model.Pong(message.nonce))
                )
            case model.Pong():
                self.forwarder.note_alive(sender)
            case _:
                self.board.counters[Count.MISDIRECTED] += 1

    def tick(self, now: float) -> list[model.Effect]:
        """Does what is due and returns what is to be done."""
        self.config.tick(now)
        self.forwarder.tick(now)
        return drain(self.board.outbox)

    def stop(self, now: float) -> list[model.Effect]:
        """Begins a planned stop."""
        self.board.stopping = True
        return drain(self.board.outbox)

    def is_idle(self) -> bool:
        """A balancer keeps nothing that a stop could cut."""
        return True


def make_balancer(
    identity: BalancerIdentity,
    now: float,
    seed: int,
    seeds: tuple[model.Endpoint, ...] = (),
) -> BalancerNode:
    """Makes the decisions of a balancer that starts now.

    Args:
        identity: Who it is.
        now: Runtime clock, seconds.
        seed: Seed of every draw.
        seeds: Peers to ask where the platform is down.

    Returns:
        A node that has heard of nothing yet.
    """
    board = make_balancer_board(identity, now, seeds)
    rng = random.Random(seed)
    config = ConfigKeeper(
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
