"""A balancer rechecks idle flows at servers that may have exited."""

import collections

import pytest

from notchhoist.flows.balancer import idle_flows
from notchhoist.flows.balancer.idle_flows import FLOW_PROBES_PER_CAUSE
from notchhoist.flows.boards.balancer_board import Placement
from notchhoist.flows.decisions.server_exit import (
    ANNOUNCED_EXIT_S,
    UNANNOUNCED_EXIT_S,
    has_exited,
)
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import CheckHost, ConnectResult, SendPeer
from notchhoist.flows.model.fleet import NEVER, Server
from notchhoist.flows.model.messages import LoadAsk, LoadTell
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.tests.balancer_harness import balancer, open_flow, packets
from notchhoist.flows.tests.crafting import entry, request


class Fleet:
    """A balancer with one idle flow, and agents that answer."""

    def __init__(self):
        self.node = balancer()
        self.host = open_flow(self.node)
        self.node.on_caller(request(data=b"x", ack=77), 0.002)
        self.number = int(self.host.rpartition(".")[2])
        self.now = 0.0
        self.sent = []
        self.asked = []

    def run(self, for_s):
        until = self.now + for_s
        while self.now < until:
            self.now = round(self.now + 0.05, 3)
            effects = self.node.tick(self.now)
            self.sent += packets(effects)
            for effect in effects:
                host = getattr(effect, "host", "")
                if isinstance(effect, CheckHost):
                    self.node.on_host_checked(
                        host, ConnectResult.ACCEPTED, self.now
                    )
                elif isinstance(effect, SendPeer) and isinstance(
                    effect.message, LoadAsk
                ):
                    self.asked.append(host)
                    load = LoadTell(1, 0, 0, False)
                    self.node.on_peer(host, load, self.now)


def test_only_agents_with_idle_flows_get_health_probes():
    fleet = Fleet()
    fleet.run(5.0)
    assert set(fleet.asked) == {fleet.host}
    assert 3 <= len(fleet.asked) <= 5
    idle = balancer()
    assert not any(idle.tick(tenths / 10) for tenths in range(50))


def test_flows_of_a_replaced_server_get_a_few_probes():
    fleet = Fleet()
    fleet.run(5.0)
    newer = entry(fleet.number, server_id="new", created=9)
    fleet.node.fleet.on_entry(newer, 9, fleet.now)
    fleet.run(10.0)
    assert [host for host, _ in fleet.sent] == [
        fleet.host
    ] * FLOW_PROBES_PER_CAUSE
    kinds = {notes.kind_of(segment.note) for _, segment in fleet.sent}
    assert kinds == {NoteKind.FORWARD}


def test_each_removal_of_an_entry_causes_new_flow_probes():
    fleet = Fleet()
    server_id = f"s{fleet.number}"
    for revision in (6, 8):
        fleet.node.fleet.on_removed(server_id, revision, fleet.now)
        fleet.run(5.0)
        back = entry(fleet.number)
        fleet.node.fleet.on_entry(back, revision + 1, fleet.now)
        fleet.run(1.0)
    assert len(fleet.sent) == 2 * FLOW_PROBES_PER_CAUSE


def fleet_with_replaced_server(extra):
    """A fleet with more flows at the same server, which was replaced."""
    fleet = Fleet()
    [first] = fleet.node.board.flows.values()
    for port in range(1, extra + 1):
        last = request(data=b"x", ack=77, port=port)
        fleet.node.board.flows[last.flow] = Placement(
            first.server, True, 0.0, last
        )
    fleet.run(5.0)
    newer = entry(fleet.number, server_id="new", created=9)
    fleet.node.fleet.on_entry(newer, 9, fleet.now)
    fleet.run(25.0)
    return fleet


def test_all_flows_of_a_replaced_server_get_equally_many_probes():
    """Guards against sending all probes to the first batch of 50 flows."""
    fleet = fleet_with_replaced_server(299)
    probes = collections.Counter(segment.flow for _, segment in fleet.sent)
    assert len(probes) == 300
    assert set(probes.values()) == {FLOW_PROBES_PER_CAUSE}
    counters = fleet.node.board.records.counters
    assert counters[Count.SEARCHED_AT_REST] == 300 * FLOW_PROBES_PER_CAUSE


def test_scan_of_several_slices_reaches_all_flows(monkeypatch):
    monkeypatch.setattr(idle_flows, "FLOWS_PER_CHECK", 30)
    sliced = fleet_with_replaced_server(99)
    probes = collections.Counter(segment.flow for _, segment in sliced.sent)
    assert len(probes) == 100
    assert set(probes.values()) == {FLOW_PROBES_PER_CAUSE}


def test_one_check_scans_a_bounded_number_of_flows(monkeypatch):
    """Scanning up to 200,000 flows twice a second blocks the process."""
    asked = []
    is_open = idle_flows._is_open
    monkeypatch.setattr(
        idle_flows, "_is_open", lambda item: asked.append(1) or is_open(item)
    )
    fleet = Fleet()
    [placement] = fleet.node.board.flows.values()
    for number in range(idle_flows.FLOWS_PER_CHECK + 10):
        fleet.node.board.flows[number.to_bytes(4, "big")] = placement
    fleet.node.tick(1.0)
    assert len(asked) == idle_flows.FLOWS_PER_CHECK
    fleet.node.tick(1.6)
    assert len(asked) == idle_flows.FLOWS_PER_CHECK + 11


def test_each_replacement_under_one_id_causes_new_flow_probes():
    fleet = Fleet()
    fleet.run(5.0)
    for created in (9, 10):
        newer = entry(
            fleet.number, server_id="new", created=created, born_ms=created
        )
        fleet.node.fleet.on_entry(newer, created, fleet.now)
        fleet.run(5.0)
    assert len(fleet.sent) == 2 * FLOW_PROBES_PER_CAUSE


def test_disabled_mechanism_tracks_no_replaced_servers():
    fleet = Fleet()
    board = fleet.node.board
    board.uses = board.uses.without(["resting"])
    newer = entry(fleet.number, server_id="new", created=9)
    fleet.node.fleet.on_entry(newer, 9, fleet.now)
    assert not board.displaced


@pytest.mark.parametrize(
    ("announced", "unlisted_at", "failed_at", "ends_at"),
    [
        (True, 5.0, 0.0, 3.0 + ANNOUNCED_EXIT_S),
        (True, 5.0, 3.0, 5.2 + ANNOUNCED_EXIT_S),
        (False, 5.0, 0.0, 5.0 + UNANNOUNCED_EXIT_S),
        (False, 5.0, 5.0, 7.2 + UNANNOUNCED_EXIT_S),
        (False, NEVER, 0.0, NEVER),
    ],
)
def test_when_a_server_and_its_agent_count_as_exited(
    announced, unlisted_at, failed_at, ends_at
):
    server = Server(entry(1, draining=announced), 1, 0.0)
    server.unlisted_at = unlisted_at
    server.refused_since = 3.0
    ended = []
    for tenths in range(50, 150):
        server.checked_at = now = tenths / 10
        if has_exited(server, failed_at, now):
            ended.append(now)
    assert min(ended, default=NEVER) == pytest.approx(ends_at, abs=0.11)
