"""New flows that wait at their balancer for a slot."""

import pytest
from msgspec.structs import replace

from notchhoist.flows.balancer.opening import ACCEPT_WAIT_S
from notchhoist.flows.balancer.parking import ASK_AGAIN_S
from notchhoist.flows.decisions.attempts import MOST_ATTEMPTS
from notchhoist.flows.decisions.parking import bind_at
from notchhoist.flows.model import notes
from notchhoist.flows.model.fleet import RequestKind
from notchhoist.flows.model.mechanisms import ALL
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.view import ZoneKey
from notchhoist.flows.tests.balancing import (
    balancer,
    packets,
    resets,
    tell,
)
from notchhoist.flows.tests.crafting import (
    SYN,
    entry,
    head,
    request,
    route,
    with_note,
)

QUEUE = Load(4, 4, 40)
END = bind_at(0.0, 0.0)


def one_slot(servers=3, slots=1, uses=ALL, **fields):
    node = balancer(0, **fields)
    node.board.uses = uses
    entries = [(entry(n, slots=slots), 1) for n in range(1, servers + 1)]
    node.fleet.on_listing(entries, 1, 0.0)
    return node


def kinds(effects):
    """Returns what goes to agents as (host, kind)."""
    return [
        (host, notes.agent_kind_of(segment.note))
        for host, segment in packets(effects)
    ]


def answer_busy(node, effects, segment, now=0.0, load=QUEUE, reserves=True):
    """Answers attempts until something else comes, and returns that."""
    for _ in range(MOST_ATTEMPTS + 1):
        [*others, (host, kind)] = kinds(effects)
        if others or kind is not NoteKind.PLACE_IF_FREE:
            return effects
        note = notes.to_balancer(NoteKind.BUSY, load, reserves)
        effects = node.on_agent(host, with_note(segment, note), now)
    raise AssertionError("it is offered on a condition for ever")


def park(node, port=40001, now=0.0, **fields):
    syn = request(flags=SYN, port=port)
    return syn, answer_busy(node, node.on_caller(syn, now), syn, now, **fields)


def call(node, syn, host="10.0.0.1", now=0.01):
    note = notes.to_balancer(NoteKind.CALL, Load(1, 1, 40))
    return node.on_agent(host, head(syn, note), now)


def test_a_flow_that_finds_queues_everywhere_waits_here():
    node = one_slot()
    syn, effects = park(node)
    assert {kind for _, kind in kinds(effects)} == {NoteKind.RESERVE}
    assert len(kinds(effects)) == 3
    assert list(node.board.parked) == [syn.flow]
    assert not node.board.openings and not node.board.flows


def test_copies_do_not_start_it_anew():
    node = one_slot()
    park(node)
    assert not node.on_caller(request(flags=SYN, ack=1), 0.2)


def test_it_goes_to_the_server_that_calls_first():
    node = one_slot()
    syn, _ = park(node)
    sent = kinds(call(node, syn, "10.0.0.2"))
    assert sent[0] == ("10.0.0.2", NoteKind.PLACE_CALLED)
    assert set(sent[1:]) == {
        (f"10.0.0.{n}", NoteKind.NONE_PARKED) for n in (1, 2, 3)
    }
    tell(node, "10.0.0.2", syn, NoteKind.TAKEN, 0.02)
    assert node.board.flows[syn.flow].accepted
    assert not node.board.openings


def test_a_call_for_a_flow_that_has_gone_gets_the_most_urgent_one():
    node = one_slot()
    first, _ = park(node, 1)
    second, _ = park(node, 2, 0.01)
    third, _ = park(node, 3, 0.02)
    call(node, second)
    [(_, given), *_] = packets(call(node, second, "10.0.0.2"))
    assert given.flow == first.flow
    assert list(node.board.parked) == [third.flow]


def test_a_balancer_that_has_restarted_declines():
    syn = request(flags=SYN)
    assert kinds(call(one_slot(), syn)) == [("10.0.0.1", NoteKind.NONE_PARKED)]


def test_a_server_that_returns_a_called_flow_sends_it_back_to_wait():
    node = one_slot()
    syn, _ = park(node)
    call(node, syn)
    note = notes.to_balancer(NoteKind.REFUSED, QUEUE)
    node.on_agent("10.0.0.1", with_note(syn, note), 0.02)
    assert list(node.board.parked) == [syn.flow]
    assert node.board.servers["s1"].offered == 0


def test_an_agent_that_does_not_answer_after_its_call_is_left_alone():
    node = one_slot()
    syn, _ = park(node)
    call(node, syn)
    asked = kinds(node.tick(0.02 + ACCEPT_WAIT_S))
    assert ("10.0.0.1", NoteKind.RESERVE) not in asked
    assert ("10.0.0.2", NoteKind.RESERVE) in asked


def test_before_the_callers_try_ends_it_is_bound_where_the_wait_is_least():
    node = one_slot()
    syn, _ = park(node)
    effects = node.tick(END)
    for running in (9, 2, 9):
        (host, kind), *_ = kinds(effects)
        assert kind is NoteKind.PLACE_IF_FREE
        if running == 2:
            best = host
        note = notes.to_balancer(NoteKind.BUSY, Load(9, running, 40), True)
        effects = node.on_agent(host, with_note(syn, note), END)
    assert kinds(effects) == [(best, NoteKind.PLACE)]
    assert node.board.records.counters[Count.BOUND_AT_END] == 1


def test_a_short_timeout_binds_it_sooner():
    soon = replace(route(), timeout_ms=1000.0)
    node = one_slot(routes=[soon])
    park(node)
    assert not node.tick(0.1)
    assert kinds(node.tick(0.16))[0][1] is NoteKind.PLACE_IF_FREE


def test_agents_are_asked_again_where_no_call_comes():
    """The reservation or the call was lost, or the agent has restarted."""
    node = one_slot()
    park(node)
    again = kinds(node.tick(ASK_AGAIN_S))
    assert {kind for _, kind in again} == {NoteKind.RESERVE}


def test_it_is_refused_at_once_where_no_server_is_left():
    node = one_slot()
    park(node)
    for server in node.board.servers.values():
        server.suspected = server.lost = True
    assert len(resets(node.tick(ASK_AGAIN_S))) == 1
    assert not node.board.parked


def _evacuate(node):
    node.board.view.evacuated["a"] = ZoneKey("a")


def _drain(node):
    leaving = [(entry(n, slots=1, draining=n == 1), 2) for n in (1, 2, 3)]
    node.fleet.on_listing(leaving, 2, 0.005)


@pytest.mark.parametrize("close", [_evacuate, _drain])
def test_a_server_that_is_to_get_nothing_calls_in_vain(close):
    node = one_slot()
    syn, _ = park(node)
    close(node)
    assert kinds(call(node, syn)) == [("10.0.0.1", NoteKind.NONE_PARKED)]


def test_a_flow_that_opened_through_another_balancer_does_not_wait_here():
    node = one_slot()
    park(node)
    node.on_caller(request(data=b"x", seq=1, ack=7), 0.1)
    assert not node.board.parked
    assert not resets(node.tick(END))


def test_an_acceptance_that_comes_late_ends_the_wait():
    """An earlier offer was taken for lost."""
    node = one_slot()
    syn, _ = park(node)
    tell(node, "10.0.0.3", syn, NoteKind.TAKEN, 0.1)
    assert not node.board.parked
    assert node.board.flows[syn.flow].server.entry.host == "10.0.0.3"


def test_a_loss_of_all_words_loses_no_flow():
    node = one_slot(servers=4)
    for port in range(20):
        park(node, port, port * 0.001)
    for step in range(60):
        node.tick(step * 0.05)
    assert not node.board.parked and not node.board.openings
    assert node.board.records.counters[Count.PARKED] == 20


def test_the_notes_of_former_versions_read_as_before():
    """The kinds' values on the wire, as they were when they had one space."""
    to_agents = {1: "PLACE", 2: "HELD", 3: "TRY", 4: "ASK"}
    to_agents |= {12: "PLACE_BOUNDED", 13: "PLACE_IF_FREE"}
    to_balancers = {5: "ABSENT", 6: "PRESENT", 7: "UNSURE", 8: "TAKEN"}
    to_balancers |= {9: "REFUSED", 10: "RETURNED", 11: "FULL", 14: "BUSY"}
    for value, name in to_agents.items():
        assert notes.agent_kind_of(value << 28).name == name
    for value, name in to_balancers.items():
        assert notes.balancer_kind_of(value << 28).name == name
    busy = notes.to_balancer(NoteKind.BUSY, Load(3, 2, 40))
    assert busy == 14 << 28 | 3 << 16 | 2 << 8 | 5
    assert not notes.tells_reserves(busy)


@pytest.mark.parametrize(
    ("built", "parked"),
    [
        ({"slots": 2}, {}),
        ({"routes": [route(RequestKind.UPLOAD)]}, {}),
        ({"uses": ALL.without(["parking"])}, {}),
        ({}, {"load": Load(1, 1, 40)}),
        ({}, {"reserves": False}),
    ],
    ids=["more slots", "upload", "out of use", "short wait", "former agent"],
)
def test_other_flows_are_bound_as_before(built, parked):
    _, effects = park(one_slot(**built), **parked)
    assert [kind for _, kind in kinds(effects)] == [NoteKind.PLACE]
