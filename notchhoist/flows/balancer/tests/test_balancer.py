"""Placing and forwarding flows, suspecting agents, resetting flows."""

import pytest

from notchhoist.flows.balancer.health import PROBES_PER_S
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import (
    SendPeer,
)
from notchhoist.flows.model.messages import LoadTell
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.balancer_harness import (
    balancer,
    open_flow,
    open_used_flow,
    packets,
    resets,
    send_agent_note,
    tick_with_silent_hosts,
)
from notchhoist.flows.tests.crafting import ACK, CODEC, SYN, entry, request


def test_packets_of_a_flow_go_to_the_server_that_accepted_it():
    node = balancer()
    host = open_flow(node)
    effects = node.on_caller(request(data=b"x"), 0.01)
    [(same, segment)] = packets(effects)
    assert same == host
    assert notes.kind_of(segment.note) is NoteKind.FORWARD


def test_new_flows_go_to_the_servers_with_the_fewest_flows():
    node = balancer()
    hosts = [open_flow(node, port=40000 + n) for n in range(9)]
    assert sorted(hosts.count(host) for host in set(hosts)) == [3, 3, 3]


def test_a_draining_server_gets_no_new_flow():
    node = balancer(servers=2)
    node.fleet.on_entry(entry(1, draining=True), 2, 1.0)
    hosts = {open_flow(node, 1.0, port=40000 + n) for n in range(6)}
    assert hosts == {"10.0.0.2"}


def test_a_refused_flow_is_offered_to_the_next_server():
    node = balancer(servers=2)
    syn = request(flags=SYN)
    [(first, _)] = packets(node.on_caller(syn, 0.0))
    note = notes.to_balancer(NoteKind.REFUSED, Load())
    effects = node.on_agent(first, crafting.with_note(syn, note), 0.002)
    [(second, _)] = packets(effects)
    assert second != first


def test_a_flow_that_every_server_refuses_is_reset_at_once():
    node = balancer(servers=1)
    syn = request(flags=SYN)
    [(host, _)] = packets(node.on_caller(syn, 0.0))
    note = notes.to_balancer(NoteKind.REFUSED, Load())
    effects = node.on_agent(host, crafting.with_note(syn, note), 0.002)
    assert len(resets(effects)) == 1


def test_a_silent_agent_is_suspected_and_the_flow_offered_elsewhere():
    node = balancer(servers=2)
    [(first, _)] = packets(node.on_caller(request(flags=SYN), 0.0))
    [(second, _)] = packets(node.tick(0.07))
    assert second != first
    assert node.board.by_host[first].suspected


def test_a_flow_without_a_route_is_reset_at_once():
    node = balancer(routes=[])
    assert len(resets(node.on_caller(request(flags=SYN), 0.0))) == 1


def test_packets_are_not_served_before_the_configuration_is_known():
    node = make_balancer("a", CODEC, "seed")
    assert not node.on_caller(request(flags=SYN), 0.0)
    assert not node.is_ready


def test_an_older_configuration_is_ignored():
    node = balancer(version=5)
    node.fleet.tables.on_table(crafting.table(version=4, routes=[]), 9)
    assert node.board.table.version == 5


def test_flows_of_a_dead_host_are_reset_and_the_others_kept():
    node = balancer(servers=2)
    open_used_flow(node, port=40001)
    open_used_flow(node, port=40002)
    assert len({item.server for item in node.board.flows.values()}) == 2
    # Only the first host answers from now on.
    flow_resets = []
    for step in range(1, 40):
        now = 0.05 * step
        for port in (40001, 40002):
            data = request(data=b"x", port=port, seq=step)
            for effect in node.on_caller(data, now):
                if isinstance(effect, SendPeer) and effect.host == "10.0.0.1":
                    node.on_peer("10.0.0.1", LoadTell(1, 0, 0, False), now)
        flow_resets += resets(tick_with_silent_hosts(node, now))
    assert len(flow_resets) == 1


def test_a_host_whose_server_was_replaced_is_not_declared_lost():
    """An entry is published for three heartbeats after its server is gone.

    Flows were placed on the old entry and then reset: answers of the agent
    counted for the new entry, so the old one was never heard again.
    """
    node = balancer(servers=1)
    newer = entry(1, server_id="s1-new", created=9)
    node.fleet.on_entry(newer, 2, 0.0)
    node.fleet.on_entry(entry(1), 3, 0.0)
    assert set(node.board.servers) == {"s1-new"}
    open_flow(node)
    effects = []
    for step in range(1, 40):
        now = 0.05 * step
        for effect in node.on_caller(request(data=b"x", seq=step), now):
            if isinstance(effect, SendPeer):
                node.on_peer(effect.host, LoadTell(1, 0, 0, False), now)
        effects += tick_with_silent_hosts(node, now)
    assert not resets(effects)


def test_a_busy_balancer_declares_a_dead_host_lost():
    """It was not: agents that are heard all the time are never probed."""
    node = balancer(servers=3)
    for port in range(40001, 40007):
        open_used_flow(node, port=port)
    effects = []
    for step in range(1, 40):
        now = 0.05 * step
        for port in range(40001, 40007):
            node.on_caller(request(data=b"x", port=port, seq=step), now)
        for host in ("10.0.0.1", "10.0.0.2"):
            node.on_peer(host, LoadTell(2, 0, 0, False), now)
        effects += tick_with_silent_hosts(node, now)
    assert len(resets(effects)) == 2


def test_a_retransmission_makes_the_balancer_probe_at_once():
    """In a large fleet load probes are too rare to detect a failure."""
    node = balancer(servers=2)
    host = open_flow(node)
    data = request(data=b"x")
    assert not [e for e in node.on_caller(data, 0.15) if type(e) is SendPeer]
    [asked] = [e for e in node.on_caller(data, 0.35) if type(e) is SendPeer]
    assert asked.host == host


def test_load_probes_are_rate_limited_in_a_large_fleet():
    """Each of 4,300 servers was probed twice a second: 600 KB/s."""
    node = balancer(servers=200)
    asked = 0
    for step in range(2000):
        port = 40000 + step
        if step < 200:
            open_flow(node, port=port)
            continue
        port = 40000 + step % 200
        data = request(data=b"x", port=port, seq=step)
        for effect in node.on_caller(data, step * 0.005):
            if isinstance(effect, SendPeer):
                asked += 1
                told = LoadTell(1, 0, 0, False)
                node.on_peer(effect.host, told, step * 0.005)
    assert asked <= 9.0 * PROBES_PER_S


def test_a_balancer_that_hears_no_agent_declares_none_lost():
    """A link that was full for a second made it reset all of its flows."""
    node = balancer(servers=3)
    for port in range(40001, 40007):
        open_flow(node, port=port)
    effects = []
    for step in range(1, 40):
        now = 0.05 * step
        for port in range(40001, 40007):
            node.on_caller(request(data=b"x", port=port, seq=step), now)
        effects += tick_with_silent_hosts(node, now)
    assert not resets(effects)


def test_an_accepted_flow_without_a_slot_is_reset_not_offered_again():
    node = balancer(servers=2)
    host = open_flow(node)
    data = request(data=b"x")
    effects = send_agent_note(node, host, data, NoteKind.REFUSED, 0.9)
    assert len(resets(effects)) == 1
    assert not packets(effects)


def test_packets_of_unknown_hosts_are_dropped():
    node = balancer()
    data = request(data=b"x")
    assert not send_agent_note(node, "10.9.9.9", data, NoteKind.PRESENT, 0.0)


@pytest.mark.parametrize("flags", [SYN, ACK])
def test_a_stopping_balancer_still_forwards(flags):
    node = balancer()
    open_flow(node)
    node.stop()
    assert not node.is_ready
    assert packets(node.on_caller(request(flags=flags, data=b""), 0.1))


def test_a_stalled_balancer_suspects_no_agent_before_reading_answers():
    """The stall may begin between reading answers and evaluating silence."""
    node = balancer(servers=2)
    for port in (40001, 40002):
        open_flow(node, port=port)
    for step in range(1, 5):
        now = 0.6 + 0.01 * step
        for port in (40001, 40002):
            node.on_caller(request(data=b"x", port=port, seq=step), now)
    for host in ("10.0.0.1", "10.0.0.2"):
        node.on_peer(host, LoadTell(1, 0, 0, False), 0.65)
    for port in (40001, 40002):
        node.on_caller(request(data=b"y", port=port, seq=9), 1.3)
    node.tick(1.31)
    effects = tick_with_silent_hosts(node, 3.0)
    assert not resets(effects)
    assert not any(item.suspected for item in node.board.servers.values())
    for host in ("10.0.0.1", "10.0.0.2"):
        node.on_peer(host, LoadTell(1, 0, 0, False), 3.01)
    assert not resets(tick_with_silent_hosts(node, 3.2))


def resets_with_silent_agents(link_mbps, silent, until_s, agents=8):
    """Silences some agents from 0.05 s on; returns the number of resets."""
    node = make_balancer("a", CODEC, "seed", link_mbps=link_mbps)
    node.fleet.tables.on_table(crafting.table(), 1)
    entries = [(entry(n), 1) for n in range(1, agents + 1)]
    node.fleet.on_listing(entries, 1, 0.0)
    for port in range(40001, 40001 + 2 * agents):
        open_used_flow(node, port=port)
    heard = [f"10.0.0.{n}" for n in range(silent + 1, agents + 1)]
    found = []
    for step in range(1, int(until_s / 0.05)):
        now = 0.05 * step
        for port in range(40001, 40001 + 2 * agents):
            node.on_caller(request(data=b"x", port=port, seq=step), now)
        for host in heard:
            node.on_peer(host, LoadTell(2, 0, 0, False), now)
        found += resets(tick_with_silent_hosts(node, now))
    return len(found)


def test_a_balancer_on_a_full_low_bandwidth_link_waits_longer():
    """A live flow was reset: answers were lost on a link of 5 Mbit/s."""
    assert resets_with_silent_agents(5, 3, 2.0) == 0
    assert resets_with_silent_agents(5, 3, 4.0) == 6
    assert resets_with_silent_agents(1000, 3, 2.0) == 6
    assert resets_with_silent_agents(5, 1, 2.0) == 2


def test_a_burst_of_flows_is_spread_although_loads_lag():
    """After a power failure one server got 94 flows and the next one 45."""
    node = balancer(servers=3)
    kept = [request(flags=SYN, port=number) for number in range(30)]
    sent = [packets(node.on_caller(syn, 0.0))[0][0] for syn in kept]
    first = sent[0]
    # The agent reports its load of when only the first flow had arrived.
    send_agent_note(
        node, first, kept[0], NoteKind.ACCEPTED, 0.002, Load(1, 1, 40)
    )
    more = [request(flags=SYN, port=1000 + number) for number in range(9)]
    hosts = [packets(node.on_caller(syn, 0.003))[0][0] for syn in more]
    assert hosts.count(first) <= 4


def test_an_unanswered_offer_no_longer_counts_as_load():
    node = balancer(servers=2)
    [(first, _)] = packets(node.on_caller(request(flags=SYN), 0.0))
    node.tick(0.07)
    assert node.board.by_host[first].offered == 0
    assert node.board.by_host[first].running == 0
