"""A balancer that is cut off lets routers look elsewhere."""

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model.effects import (
    CheckHost,
    Reach,
    SendCaller,
    SendPeer,
)
from notchhoist.flows.model.messages import LoadAsk, LoadTell, ViewAsk
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, SYN, entry, request

OTHER = "10.0.1.2"
STEP_S = 0.05


class CutOff:
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
                        effect.host, Reach.SILENT, self.now
                    )
                )
            if not isinstance(effect, SendPeer):
                continue
            if effect.host not in self.heard:
                continue
            if isinstance(effect.message, LoadAsk):
                told = LoadTell(1, 0, 0, False)
                self.answer(self.node.on_peer(effect.host, told, self.now))
            elif isinstance(effect.message, ViewAsk):
                asked = ViewAsk(1)
                self.answer(self.node.on_peer(effect.host, asked, self.now))

    def run(self, until):
        port = 40000
        while self.now < until:
            self.now = round(self.now + STEP_S, 3)
            port += 1
            opening = request(flags=SYN, port=port)
            self.answer(self.node.on_caller(opening, self.now))
            self.answer(self.node.tick(self.now))


def test_a_balancer_that_hears_nobody_is_not_ready():
    """A front cut off for five seconds failed 40% of its zone's requests."""
    cut_off = CutOff()
    cut_off.run(1.0)
    assert cut_off.node.is_ready
    cut_off.heard.clear()
    cut_off.run(2.5)
    assert not cut_off.node.is_ready


def test_it_is_ready_again_as_soon_as_somebody_is_heard():
    cut_off = CutOff()
    cut_off.run(1.0)
    cut_off.heard.clear()
    cut_off.run(3.0)
    cut_off.heard.add("10.0.0.3")
    cut_off.run(3.3)
    assert cut_off.node.is_ready


def test_agents_that_are_all_silent_for_the_others_too_change_nothing():
    """Every balancer would leave at once, and nobody would be served."""
    cut_off = CutOff()
    cut_off.run(1.0)
    cut_off.heard -= {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}
    cut_off.run(4.0)
    assert cut_off.node.is_ready


def test_a_balancer_that_hears_some_agents_stays():
    cut_off = CutOff()
    cut_off.run(1.0)
    cut_off.heard = {"10.0.0.2"}
    cut_off.run(4.0)
    assert cut_off.node.is_ready


def test_a_balancer_without_others_stays():
    cut_off = CutOff(others=())
    cut_off.run(1.0)
    cut_off.heard.clear()
    cut_off.run(4.0)
    assert cut_off.node.is_ready


def test_new_flows_are_left_to_the_others_and_not_reset():
    """Resets used up the callers' retries at the same balancer."""
    cut_off = CutOff()
    cut_off.run(1.0)
    cut_off.heard.clear()
    cut_off.run(1.3)
    before = cut_off.resets
    cut_off.run(3.0)
    assert cut_off.resets == before
    assert cut_off.node.board.records.counters["left_to_others"] > 0


def test_a_cut_off_balancer_goes_on_asking():
    cut_off = CutOff()
    cut_off.run(1.0)
    cut_off.heard.clear()
    cut_off.run(3.0)
    effects = cut_off.node.tick(3.2)
    asked = {type(e.message) for e in effects if isinstance(e, SendPeer)}
    assert asked == {LoadAsk, ViewAsk}
