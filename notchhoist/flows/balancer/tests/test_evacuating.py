"""Evacuated zones and full servers get no new flows."""

from notchhoist.flows.balancer.informing import RESEND_AFTER_S
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.fleet import ColdBound
from notchhoist.flows.model.messages import LoadAsk, LoadTell
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.balancer_harness import open_flow, packets, resets
from notchhoist.flows.tests.crafting import CODEC, SYN, entry, request

ZONES = "abc"


def balancer(bound=None, cold_s=0.0, servers=9):
    """Creates a balancer in zone a with servers in three zones."""
    node = make_balancer("a", CODEC, "seed", "10.0.1.1")
    table = crafting.table()
    bounds = (bound,) if bound else ()
    made = type(table)(
        table.version, table.routes, table.idle_s, cold_bounds=bounds
    )
    node.fleet.tables.on_table(made, 1)
    entries = [
        (entry(n, zone=ZONES[n % 3], warm_in_s=cold_s), 1)
        for n in range(1, servers + 1)
    ]
    node.fleet.on_listing(entries, 1, 0.0)
    node.tick(0.0)
    return node


def evacuate(node, zone, revision, now):
    node.fleet.zones.on_evacuated(zone, revision, now)
    node.board.view.advance_to(revision)


def zones_of_new_flows(node, count=60, now=1.0):
    """Returns the zones that get the given number of new flows."""
    zones = set()
    for port in range(count):
        syn = request(flags=SYN, port=2000 + port)
        for host, _ in packets(node.on_caller(syn, now)):
            zones.add(node.board.by_host[host].entry.zone)
    return zones


def sent_states(effects):
    return [
        (effect.host, effect.message.state)
        for effect in effects
        if isinstance(effect, SendPeer) and isinstance(effect.message, LoadAsk)
    ]


def answer_full(node, host, segment, now, pause_s=0.5):
    note = notes.at_cold_bound(Load(), pause_s)
    return node.on_agent(host, crafting.with_note(segment, note), now)


def test_an_evacuated_zone_gets_no_new_flow():
    node = balancer()
    node.fleet.zones.on_evacuated("a", 2, 0.5)
    assert zones_of_new_flows(node) == {"b", "c"}
    node.fleet.zones.on_returned("a", 3, 2.0)
    assert "a" in zones_of_new_flows(node, now=3.0)


def test_open_flows_stay_in_an_evacuated_zone():
    node = balancer()
    host = open_flow(node)
    node.fleet.zones.on_evacuated(node.board.by_host[host].entry.zone, 2, 0.5)
    more = request(data=b"x", seq=1, ack=1)
    [(to, _)] = packets(node.on_caller(more, 0.6))
    assert to == host


def test_new_flows_are_reset_at_once_if_all_zones_are_evacuated():
    node = balancer()
    for number, zone in enumerate(ZONES):
        node.fleet.zones.on_evacuated(zone, 2 + number, 0.5)
    [reset] = resets(node.on_caller(request(flags=SYN), 0.6))
    assert reset
    assert not node.board.openings


def test_a_zone_is_evacuated_returned_and_evacuated_again():
    node = balancer()
    node.fleet.zones.on_evacuated("a", 2, 0.1)
    node.fleet.zones.on_returned("a", 3, 0.2)
    node.fleet.zones.on_evacuated("a", 4, 0.3)
    node.fleet.zones.on_returned("a", 3, 0.4)  # Outdated message.
    assert zones_of_new_flows(node) == {"b", "c"}
    assert node.board.zones["a"].evacuated_at == 0.3


def test_evacuating_a_zone_without_servers_changes_nothing():
    node = balancer()
    node.fleet.zones.on_evacuated("nowhere/else", 2, 0.1)
    assert zones_of_new_flows(node) == set(ZONES)


def test_a_complete_list_withdraws_evacuations_that_it_does_not_name():
    node = balancer()
    node.fleet.zones.on_evacuated("a", 2, 0.1)
    node.fleet.zones.on_evacuated("b", 3, 0.1)
    entries = [(item, 1) for item in node.board.view.servers.values()]
    node.fleet.on_listing(entries, 9, 0.2, evacuated=[("b", 3)])
    assert set(node.board.view.evacuated) == {"b"}


def test_readers_send_the_state_to_agents_until_they_confirm():
    node = balancer()
    evacuate(node, "a", 2, 0.5)
    hosts = {
        host
        for host, server in node.board.by_host.items()
        if server.entry.zone == "a"
    }
    first = sent_states(node.tick(0.5))
    assert {host for host, state in first if state.evacuated} == hosts
    confirmed = min(hosts)
    node.on_peer(confirmed, LoadTell(0, 0, 0, False, 2), 0.51)
    again = sent_states(node.tick(0.501 + RESEND_AFTER_S))
    assert {host for host, _ in again} == hosts - {confirmed}


def test_an_outdated_agent_is_sent_the_state_again_at_a_limited_rate():
    """Agents of earlier versions never report a state revision."""
    node = balancer()
    evacuate(node, "a", 2, 0.5)
    host = next(
        host
        for host, server in node.board.by_host.items()
        if server.entry.zone == "a"
    )
    node.tick(0.5)
    answers = [
        sent_states(
            node.on_peer(host, LoadTell(0, 0, 0, False), 0.5 + n / 1000)
        )
        for n in range(50)
    ]
    assert sum(len(answer) for answer in answers) == 0
    late = node.on_peer(host, LoadTell(0, 0, 0, False), 0.501 + RESEND_AFTER_S)
    assert len(sent_states(late)) == 1


def test_a_full_server_gets_no_flow_until_its_pause_ends():
    node = balancer(servers=2)
    syn = request(flags=SYN)
    [(first, _)] = packets(node.on_caller(syn, 1.0))
    [(second, _)] = packets(answer_full(node, first, syn, 1.001))
    assert first != second
    for port in range(5):
        syn = request(flags=SYN, port=3000 + port)
        [(host, _)] = packets(node.on_caller(syn, 1.1))
        assert host == second
    hosts = set()
    for port in range(5):
        syn = request(flags=SYN, port=4000 + port)
        hosts |= {host for host, _ in packets(node.on_caller(syn, 1.6))}
    assert first in hosts


def test_new_flows_are_reset_at_once_if_every_server_is_full():
    node = balancer(servers=2)
    syn = request(flags=SYN)
    [(first, _)] = packets(node.on_caller(syn, 1.0))
    [(second, _)] = packets(answer_full(node, first, syn, 1.001))
    assert len(resets(answer_full(node, second, syn, 1.002))) == 1
    later = request(flags=SYN, port=3000)
    assert len(resets(node.on_caller(later, 1.01))) == 1


def test_a_full_server_keeps_its_service_time():
    node = balancer(servers=2)
    syn = request(flags=SYN)
    [(first, _)] = packets(node.on_caller(syn, 1.0))
    node.board.by_host[first].service_time_ms = 40
    answer_full(node, first, syn, 1.001, pause_s=1.0)
    assert node.board.by_host[first].service_time_ms == 40


def test_the_agent_of_a_bounded_cold_server_gets_the_state_before_a_flow():
    node = balancer(ColdBound(crafting.SERVICE, 6.0, 2.0), cold_s=2.0)
    node.informer.pending.clear()
    effects = node.on_caller(request(flags=SYN), 0.5)
    [(host, segment)] = packets(effects)
    assert notes.kind_of(segment.note) is NoteKind.PLACE_BOUNDED
    state = dict(sent_states(effects))[host]
    assert (state.bound_per_s, state.cold_for_s) == (6.0, 1.5)


def test_servers_of_a_returned_zone_count_as_cold():
    node = balancer(ColdBound(crafting.SERVICE, 6.0, 2.0))
    evacuate(node, "a", 2, 1.0)
    node.fleet.zones.on_returned("a", 3, 5.0)
    node.board.view.advance_to(3)
    states = dict(sent_states(node.tick(5.0)))
    cold = {
        node.board.by_host[host].entry.zone
        for host, state in states.items()
        if state.cold_for_s
    }
    assert cold == {"a"}


def test_the_agent_of_a_draining_server_gets_the_state():
    node = balancer()
    node.fleet.on_entry(entry(1, zone="b", draining=True), 5, 1.0)
    node.board.view.advance_to(5)
    states = dict(sent_states(node.tick(1.0)))
    assert [state.draining for state in states.values()] == [True]
    assert set(states) == {"10.0.0.1"}


def test_the_agent_of_a_server_that_follows_a_drained_one_gets_the_state():
    """Regression: it refused the flows of the new server for good."""
    node = balancer()
    node.fleet.on_entry(entry(1, zone="b", draining=True), 5, 1.0)
    follower = entry(1, zone="b", server_id="s1-new", created=7)
    node.fleet.on_entry(follower, 7, 4.0)
    node.board.view.advance_to(7)
    report = LoadTell(0, 0, 0, False, 5, crafting.SERVICE)
    [(host, state)] = sent_states(node.on_peer("10.0.0.1", report, 5.0))
    assert host == "10.0.0.1"
    assert not state.draining
    report = LoadTell(0, 0, 0, False, state.revision, crafting.SERVICE)
    assert not sent_states(node.on_peer("10.0.0.1", report, 5.5))


def test_the_agent_of_a_server_whose_drain_is_withdrawn_gets_the_state():
    """Another writer had overwritten the entry until the next heartbeat."""
    node = balancer()
    node.fleet.on_entry(entry(1, zone="b", draining=True), 5, 1.0)
    node.fleet.on_entry(entry(1, zone="b"), 6, 2.0)
    report = LoadTell(0, 0, 0, False, 5, crafting.SERVICE)
    [(_, state)] = sent_states(node.on_peer("10.0.0.1", report, 3.0))
    assert not state.draining


def test_an_agent_without_a_state_gets_none():
    node = balancer()
    report = LoadTell(0, 0, 0, False, 0, crafting.SERVICE)
    assert not sent_states(node.on_peer("10.0.0.1", report, 3.0))
