"""Flows that rest where a server has ended are looked after by their balancer.

Nobody learnt of a lost host before the next request of one of its flows.
"""

import pytest

from notchhoist.flows.balancer.resting import COPIES, UNHEARD_S
from notchhoist.flows.decisions.ending import GONE_S, LEFT_S
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import CheckHost, Reach, SendPeer
from notchhoist.flows.model.messages import LoadAsk, LoadTell
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.tests.balancing import (
    asked_agents,
    balancer,
    open_flow,
    packets,
    resets,
    tell_flow,
)
from notchhoist.flows.tests.crafting import entry, request

STEP_S = 0.05
USED = request(data=b"x", ack=77)
NUMBERS = {f"10.0.0.{n}": n for n in range(1, 4)}


def open_used(node):
    """Opens a flow and sends its first request; returns its host."""
    host = open_flow(node)
    node.on_caller(USED, 0.002)
    return host


class Fleet:
    """A balancer, agents that answer probes, and hosts that may not."""

    def __init__(self, servers=3):
        self.node = balancer(servers=servers)
        self.now = 0.0
        self.host = open_used(self.node)
        self.reach = {}
        self.resets = []
        self.sent = []
        self.probes = 0

    def take(self, effects):
        self.resets += resets(effects)
        self.sent += packets(effects)
        for effect in effects:
            host = getattr(effect, "host", "")
            reach = self.reach.get(host)
            if isinstance(effect, CheckHost):
                told = reach or Reach.ACCEPTED
                self.take(self.node.on_host_checked(host, told, self.now))
            elif isinstance(effect, SendPeer) and isinstance(
                effect.message, LoadAsk
            ):
                self.probes += 1
                if reach is None:
                    load = LoadTell(1, 0, 0, False)
                    self.take(self.node.on_peer(host, load, self.now))

    def run(self, for_s):
        until = self.now + for_s
        while self.now < until:
            self.now = round(self.now + STEP_S, 3)
            self.take(self.node.tick(self.now))

    def unlist(self, announced=False):
        number = NUMBERS[self.host]
        if announced:
            leaving = entry(number, draining=True)
            self.node.fleet.on_entry(leaving, 5, self.now)
        self.node.fleet.on_removed(f"s{number}", 6, self.now)


def test_a_dark_host_is_noticed_without_a_packet_of_a_caller():
    fleet = Fleet()
    fleet.run(2.0)
    fleet.reach[fleet.host] = Reach.SILENT
    fleet.run(UNHEARD_S + 2.0)
    assert len(fleet.resets) == 1


def test_agents_are_asked_where_flows_rest_and_nowhere_else():
    fleet = Fleet()
    fleet.run(5.0)
    assert 3 <= fleet.probes <= 5
    assert not fleet.resets
    idle = balancer()
    assert not any(idle.tick(now / 10) for now in range(50))


def test_the_flows_of_a_replaced_server_are_tried_by_a_copy():
    fleet = Fleet()
    number = NUMBERS[fleet.host]
    newer = entry(number, server_id="new", created=9)
    fleet.node.fleet.on_entry(newer, 9, fleet.now)
    fleet.run(10.0)
    assert [host for host, _ in fleet.sent] == [fleet.host] * COPIES
    kinds = {notes.kind_of(segment.note) for _, segment in fleet.sent}
    assert kinds == {NoteKind.HELD}
    assert not fleet.resets


def test_flows_are_looked_for_where_another_service_took_the_host():
    """The packet came back from the other service's agent, much later."""
    node = balancer()
    host = open_used(node)
    newer = entry(NUMBERS[host], server_id="new", service="other", created=9)
    node.fleet.on_entry(newer, 9, 5.0)
    effects = node.tick(5.0)
    assert not packets(effects)
    asked = asked_agents(effects)
    assert sorted(asked) == sorted(set(NUMBERS) - {host})
    for agent in asked:
        tell_flow(node, agent, USED, NoteKind.ABSENT, 5.01)
    node.finder.on_view_confirmed(5.02)
    assert len(resets(node.take_effects())) == 1


@pytest.mark.parametrize("announced", [True, False])
def test_a_server_that_is_gone_along_with_its_agent(announced):
    """Its host lived and refused connections, like that of a restart."""
    fleet = Fleet()
    fleet.run(5.0)
    fleet.reach[fleet.host] = Reach.REFUSED
    fleet.unlist(announced)
    wait_s = LEFT_S if announced else GONE_S
    fleet.run(wait_s)
    assert not fleet.resets
    fleet.run(1.5)
    assert len(fleet.resets) == 1


def test_a_flow_of_which_only_the_opening_came_here_is_left_to_others():
    """Its caller had opened it at another server, through another balancer."""
    node = balancer()
    host = open_flow(node)
    newer = entry(NUMBERS[host], server_id="new", created=9)
    node.fleet.on_entry(newer, 9, 5.0)
    assert not packets(node.tick(5.0))
    node.health.give_up(node.board.by_host[host], 6.0, "test")
    assert not resets(node.take_effects())


def test_an_entry_that_lapsed_in_an_outage_proves_nothing():
    fleet = Fleet()
    fleet.run(5.0)
    fleet.reach[fleet.host] = Reach.REFUSED
    fleet.unlist()
    for _ in range(5):
        fleet.node.board.store_failed_at = fleet.now
        fleet.run(2.0)
    assert not fleet.resets


def test_an_agent_that_answers_speaks_for_its_server():
    fleet = Fleet()
    fleet.run(5.0)
    fleet.unlist(announced=True)
    fleet.run(10.0)
    assert not fleet.resets
    assert len(fleet.sent) == COPIES


def test_an_entry_that_vanishes_again_brings_copies_again():
    fleet = Fleet()
    fleet.unlist()
    fleet.run(5.0)
    number = NUMBERS[fleet.host]
    fleet.node.fleet.on_entry(entry(number), 7, fleet.now)
    fleet.run(1.0)
    fleet.node.fleet.on_removed(f"s{number}", 8, fleet.now)
    fleet.run(5.0)
    assert len(fleet.sent) == 2 * COPIES


def test_a_listed_server_whose_agent_is_restarted_keeps_its_flows():
    fleet = Fleet()
    fleet.run(5.0)
    fleet.reach[fleet.host] = Reach.REFUSED
    fleet.run(10.0)
    assert not fleet.resets
