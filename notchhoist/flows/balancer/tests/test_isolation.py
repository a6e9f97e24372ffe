"""An isolated balancer makes routers send flows to other balancers."""

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model.effects import (
    CheckHost,
    ConnectResult,
    SendCaller,
    SendPeer,
)
from notchhoist.flows.model.messages import LoadAsk, LoadTell, ViewAsk
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, SYN, entry, request

OTHER = "10.0.1.2"
STEP_S = 0.05


class IsolatedBalancer:
    """A balancer with four agents and another balancer, some of them silent."""

    def __init__(self, others=(OTHER,)):
        self.node = make_balancer("a", CODEC, "seed", "10.0.1.1", others)
        self.node.fleet.tables.on_table(crafting.table(), 1)
        entries = [(entry(n), 1) for n in range(1, 5)]
        self.node.fleet.on_listing(entries, 1, 0.0)
        self.heard = {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", OTHER}
        self.now = 0.0
        self.resets = 0

    def answer(self, effects):
        for effect in effects:
            if isinstance(effect, SendCaller):
                self.resets += 1
            if isinstance(effect, CheckHost):
                self.answer(
                    self.node.on_host_checked(
                        effect.host, ConnectResult.SILENT, self.now
                    )
                )
            if not isinstance(effect, SendPeer):
                continue
            if effect.host not in self.heard:
                continue
            if isinstance(effect.message, LoadAsk):
                load = LoadTell(1, 0, 0, False)
                self.answer(self.node.on_peer(effect.host, load, self.now))
            elif isinstance(effect.message, ViewAsk):
                query = ViewAsk(1)
                self.answer(self.node.on_peer(effect.host, query, self.now))

    def run(self, until):
        port = 40000
        while self.now < until:
            self.now = round(self.now + STEP_S, 3)
            port += 1
            opening = request(flags=SYN, port=port)
            self.answer(self.node.on_caller(opening, self.now))
            self.answer(self.node.tick(self.now))


def test_an_isolated_balancer_is_not_ready():
    """A balancer cut off for five seconds failed 40% of its zone's requests."""
    scenario = IsolatedBalancer()
    scenario.run(1.0)
    assert scenario.node.is_ready
    scenario.heard.clear()
    scenario.run(2.5)
    assert not scenario.node.is_ready


def test_a_balancer_is_ready_again_as_soon_as_it_hears_an_agent():
    scenario = IsolatedBalancer()
    scenario.run(1.0)
    scenario.heard.clear()
    scenario.run(3.0)
    scenario.heard.add("10.0.0.3")
    scenario.run(3.3)
    assert scenario.node.is_ready


def test_a_balancer_that_hears_other_balancers_is_ready():
    """If all agents are down, every balancer would become unready at once."""
    scenario = IsolatedBalancer()
    scenario.run(1.0)
    scenario.heard -= {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}
    scenario.run(4.0)
    assert scenario.node.is_ready


def test_a_balancer_that_hears_some_agents_is_ready():
    scenario = IsolatedBalancer()
    scenario.run(1.0)
    scenario.heard = {"10.0.0.2"}
    scenario.run(4.0)
    assert scenario.node.is_ready


def test_a_balancer_without_other_balancers_is_ready():
    scenario = IsolatedBalancer(others=())
    scenario.run(1.0)
    scenario.heard.clear()
    scenario.run(4.0)
    assert scenario.node.is_ready


def test_an_isolated_balancer_does_not_reset_new_flows():
    """Resets used up the callers' retries at the same balancer."""
    scenario = IsolatedBalancer()
    scenario.run(1.0)
    scenario.heard.clear()
    scenario.run(1.3)
    before = scenario.resets
    scenario.run(3.0)
    assert scenario.resets == before
    assert scenario.node.board.records.counters["left_to_others"] > 0


def test_an_isolated_balancer_keeps_probing():
    scenario = IsolatedBalancer()
    scenario.run(1.0)
    scenario.heard.clear()
    scenario.run(3.0)
    effects = scenario.node.tick(3.2)
    asked = {type(e.message) for e in effects if isinstance(e, SendPeer)}
    assert asked == {LoadAsk, ViewAsk}
