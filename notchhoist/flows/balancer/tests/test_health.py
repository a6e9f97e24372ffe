"""Agents that were out of use are used again once they answer."""

import pytest

from notchhoist.flows.model.effects import CheckHost, ConnectResult, SendPeer
from notchhoist.flows.model.messages import FlowsAsk, FlowsTell, LoadTell
from notchhoist.flows.tests.balancer_harness import (
    balancer,
    packets,
    resets,
)
from notchhoist.flows.tests.crafting import CODEC, SYN, entry, request

STEP_S = 0.05
RETURN_S = 2.0
"""Time in which an agent that answers again must be in use, seconds."""


class Agents:
    """A balancer whose agents answer unless they are cut off.

    Attributes:
        node: The balancer.
        cut: Hosts that answer nothing.
        holders: Hosts whose servers hold the flow that is searched for.
        lose_queries: Hosts that answer probes but get no queries about flows.
        resets: Number of resets that callers got.
        now: Runtime clock, seconds.
    """

    def __init__(self, servers=3):
        self.node = balancer(servers)
        self.cut = set()
        self.holders = set()
        self.lose_queries = set()
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


def unlist(agents, number, revision):
    agents.node.fleet.on_removed(f"s{number}", revision, agents.now)


def test_server_lost_while_unlisted_is_used_again():
    """Regression: it stayed lost for good, though it was listed again."""
    agents = Agents(servers=2)
    agents.node.fleet.on_entry(entry(2, draining=True), 2, agents.now)
    unlist(agents, 1, 3)
    server = agents.lose("10.0.0.1")
    agents.node.fleet.on_entry(entry(1), 4, agents.now)
    agents.cut.clear()
    agents.run(RETURN_S)
    assert not server.lost
    syn = request(flags=SYN)
    [(host, _)] = packets(agents.node.on_caller(syn, agents.now))
    assert host == "10.0.0.1"


def test_flow_at_a_server_that_was_lost_while_unlisted_is_found():
    """Regression: it was reset, as all agents but its own were queried."""
    agents = Agents()
    unlist(agents, 2, 2)
    agents.lose("10.0.0.2")
    agents.node.fleet.on_entry(entry(2), 3, agents.now)
    agents.cut.clear()
    agents.holders.add("10.0.0.2")
    agents.run(RETURN_S)
    agents.search()
    agents.run(1.0)
    assert agents.resets == 0
    [placement] = agents.node.board.flows.values()
    assert placement.server.entry.host == "10.0.0.2"


def test_server_that_returns_before_its_entry_is_asked():
    """A host that is cut off from the store only may hold flows, too."""
    agents = Agents()
    unlist(agents, 2, 2)
    server = agents.lose("10.0.0.2")
    agents.cut.clear()
    agents.run(RETURN_S)
    assert not server.listed
    assert not server.lost


@pytest.mark.parametrize("owes_answer", [True, False])
def test_renamed_server_is_still_probed(owes_answer):
    """Regression: a former incarnation was probed no more, so its flows hung.

    Its id goes to a server on another host, while it is only queried.
    """
    agents = Agents()
    host = "10.0.0.2"
    former = agents.node.board.by_host[host]
    agents.cut.add(host)
    if owes_answer:
        agents.node.health.probe(former, agents.now)
    moved = entry(4, server_id="s2", created=9)
    agents.node.fleet.on_entry(moved, 2, agents.now)
    assert agents.node.board.by_host[host] is former
    agents.run(0.05)
    agents.node.health.probe(former, agents.now)
    agents.run(2.0)
    assert former.lost
    agents.cut.clear()
    agents.run(RETURN_S)
    assert not former.lost


def test_agent_that_has_restarted_as_planned_is_used_again():
    """Regression: it got no new flow while others had announced nothing."""
    agents = Agents()
    host = "10.0.0.2"
    server = agents.node.board.by_host[host]
    agents.handle(
        agents.node.on_peer(host, LoadTell(0, 0, 0, True), agents.now)
    )
    agents.cut.add(host)
    agents.run(1.5)
    assert server.suspected
    agents.cut.clear()
    agents.run(RETURN_S)
    assert not server.suspected


def test_agent_that_was_lost_during_a_search_is_queried_on_its_return():
    """Regression: its answer was not awaited when it was heard again."""
    agents = Agents()
    agents.holders.add("10.0.0.2")
    agents.cut.add("10.0.0.2")
    agents.search()
    server = agents.node.board.by_host["10.0.0.2"]
    while not server.lost:
        agents.run(STEP_S)
    agents.cut.clear()
    agents.lose_queries.add("10.0.0.2")
    agents.run(1.5)
    assert agents.resets == 0
    agents.lose_queries.clear()
    agents.run(RETURN_S)
    assert agents.resets == 0
    assert agents.node.board.flows
