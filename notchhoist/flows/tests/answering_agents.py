"""A balancer with agents that answer its messages, for tests."""

from notchhoist.flows.model.effects import (
    CheckHost,
    ConfirmView,
    ConnectResult,
    SendAgent,
    SendPeer,
)
from notchhoist.flows.model.messages import FlowsAsk, FlowsTell, LoadTell
from notchhoist.flows.tests.balancer_harness import balancer, resets
from notchhoist.flows.tests.crafting import CODEC, request

STEP_S = 0.05
LIST_READ_AT = -10.0
"""When the server list was read; no server can be unlisted by mistake."""


class Agents:
    """A balancer whose agents answer unless they are cut off.

    Attributes:
        node: The balancer.
        cut: Hosts that answer nothing.
        holders: Hosts whose servers hold the flow that is searched for.
        lose_queries: Hosts that answer probes but get no queries about flows.
        store_answers: The platform's store confirms the list of servers.
        forwarded: Hosts of the agents that callers' packets went to, in order.
        resets: Number of resets that callers got.
        now: Runtime clock, seconds.
    """

    def __init__(self, servers=3):
        self.node = balancer(servers, now=LIST_READ_AT)
        self.cut = set()
        self.holders = set()
        self.lose_queries = set()
        self.store_answers = True
        self.forwarded = []
        self.resets = 0
        self.now = 0.0

    def handle(self, effects):
        self.resets += len(resets(effects))
        for effect in effects:
            if isinstance(effect, CheckHost):
                silent = effect.host in self.cut
                reach = (
                    ConnectResult.SILENT if silent else ConnectResult.ACCEPTED
                )
                self.handle(
                    self.node.on_host_checked(effect.host, reach, self.now)
                )
            elif isinstance(effect, ConfirmView) and self.store_answers:
                self.node.finder.on_view_confirmed(self.now)
                self.handle(self.node.take_effects())
            elif isinstance(effect, SendAgent):
                self.forwarded.append(effect.host)
            elif isinstance(effect, SendPeer) and effect.host not in self.cut:
                reply = self.reply(effect.host, effect.message)
                if reply is not None:
                    self.handle(self.node.on_peer(effect.host, reply, self.now))

    def reply(self, host, message):
        if not isinstance(message, FlowsAsk):
            return LoadTell(0, 0, 0, False)
        if host in self.lose_queries:
            return None
        flows = tuple(CODEC.decode_request(raw).flow for raw in message.heads)
        if host in self.holders:
            return FlowsTell(message.number, present=flows)
        return FlowsTell(message.number, absent=flows)

    def run(self, for_s):
        until = self.now + for_s
        while self.now < until:
            self.now = round(self.now + STEP_S, 3)
            self.keep_others_heard()
            self.handle(self.node.tick(self.now))

    def keep_others_heard(self):
        """A balancer that hears too few agents blames its own host."""
        for host, server in self.node.board.by_host.items():
            if host not in self.cut and not server.suspected:
                self.node.health.on_retransmission(server, self.now)

    def lose(self, host):
        """Cuts off an agent and has the balancer notice it."""
        self.cut.add(host)
        server = self.node.board.by_host[host]
        self.node.health.probe(server, self.now)
        self.run(2.0)
        assert server.lost
        return server

    def search(self):
        """Has a caller send a packet of a flow that the balancer lacks."""
        data = request(data=b"x", port=50001, seq=7)
        self.handle(self.node.on_caller(data, self.now))
