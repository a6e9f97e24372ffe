"""Flows that rest beside a server that ends are reset; those that live never.

The reset came with the caller's next request and cut it.
"""

import pytest

from notchhoist.flows.agent.backend_watch import UNANNOUNCED_DRAIN_S
from notchhoist.flows.agent.resting import (
    SILENCE_CHECK_S,
    SURVEY_INTERVAL_MIN_S,
)
from notchhoist.flows.model.effects import CheckBackend, SendCaller
from notchhoist.flows.model.messages import LoadAsk, ServerState
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.tests.agents import (
    BALANCER,
    SERVER_SEQ,
    START,
    accept,
    agent,
    ask,
    reply,
    send,
    to_backend,
    to_balancer,
)
from notchhoist.flows.tests.crafting import (
    ACK,
    CODEC,
    RST,
    SYN,
    answer,
    bounced,
    request,
)

LATER = START + 0.5
NEXT = request(data=b"more", seq=10, ack=SERVER_SEQ + 2, port=1)


def resting(ports, **fields):
    """An agent with flows that the server has answered on."""
    node = agent(**fields)
    for port in ports:
        accept(node, port)
        ask(node, port)
        reply(node, port)
    return node


def ports_of(items):
    """Returns the callers' ports of packets to either side."""
    found = []
    for item in items:
        caller = isinstance(item, SendCaller)
        decode = CODEC.decode_answer if caller else CODEC.decode_request
        flow = decode(item.datagram).flow
        found.append(int.from_bytes(flow[4:6], "big"))
    return found


def resets(effects):
    return ports_of(e for e in effects if isinstance(e, SendCaller))


def looks(effects):
    return [item for item in effects if isinstance(item, CheckBackend)]


def sample_of(node, port):
    [sample] = [
        held.sample
        for held in node.board.flows.values()
        if held.sample.flow[4:6] == port.to_bytes(2, "big")
    ]
    return sample


def test_a_server_that_gave_a_flow_up_is_asked_about_all_that_rest():
    """It had started anew between two packets; nobody told the others."""
    node = resting([1, 2, 3])
    send(node, NEXT, NoteKind.HELD, LATER)
    assert resets(node.on_backend(bounced(NEXT), LATER)) == [1]
    asked = to_backend(node.tick(LATER))
    assert sorted(ports_of(asked)) == [2, 3]
    gone = bounced(sample_of(node, 2))
    assert resets(node.on_backend(gone, LATER)) == [2]
    more = request(data=b"m", seq=10, ack=SERVER_SEQ + 2, port=3)
    assert to_backend(send(node, more, NoteKind.HELD, LATER))
    assert node.board.records.counters["reset_at_rest"] == 1


def test_a_flow_that_the_server_never_showed_may_be_open_elsewhere():
    node = agent()
    accept(node, 1)
    ask(node, 1)
    effects = node.on_backend(bounced(NEXT), LATER)
    assert not resets(effects)
    assert to_balancer(effects) == [NoteKind.RETURNED]


def test_an_opening_packet_is_given_back_for_other_reasons_too():
    node = resting([1])
    copy = request(flags=SYN, port=1)
    assert not resets(node.on_backend(bounced(copy), LATER))


def test_a_flow_that_began_anew_may_be_open_elsewhere():
    """Another server may have accepted it too, and the caller chosen that."""
    node = resting([1])
    again = answer(flags=SYN | ACK, seq=SERVER_SEQ + 7_000_000, ack=1, port=1)
    node.on_backend(again, LATER)
    assert not resets(node.on_backend(bounced(NEXT), LATER))


def test_a_request_that_waits_for_its_slot_is_not_copied():
    node = resting([1, 2], slots=1)
    ask(node, 1, LATER, seq=10)
    ask(node, 2, LATER, seq=10)
    assert len(node.board.waiting) == 1
    node.idle_survey.survey("test")
    assert ports_of(to_backend(node.tick(LATER))) == [1]


def test_a_silent_server_is_looked_at_while_flows_rest():
    node = resting([1])
    assert not looks(node.tick(START + SILENCE_CHECK_S - 0.01))
    effects = node.tick(START + SILENCE_CHECK_S)
    assert len(looks(effects)) == 1
    assert ports_of(to_backend(effects)) == [1]
    assert resets(node.on_checked(False, START + SILENCE_CHECK_S)) == [1]


def test_a_server_that_is_heard_or_holds_nothing_is_left_alone():
    node = resting([1])
    reply(node, 1, START + 0.9)
    assert not looks(node.tick(START + SILENCE_CHECK_S + 0.5))
    assert not looks(agent().tick(START + 10.0))


def test_surveys_that_find_nothing_get_rarer():
    """Servers that fail reset single flows all the time."""
    node = resting([1, 2])
    for step in range(100):
        node.idle_survey.survey("test")
        node.tick(LATER + step / 10)
    assert node.board.records.counters["surveys"] == 5


def test_a_survey_that_finds_an_end_soon_begins_the_next():
    """The pause followed the survey before, which had found nothing."""
    node = resting([1, 2])
    for at in (0.0, 0.7, 2.0):
        node.idle_survey.survey("test")
        node.tick(LATER + at)
    assert node.board.records.counters["surveys"] == 3
    node.on_backend(bounced(sample_of(node, 2)), LATER + 2.01)
    node.tick(LATER + 2.0 + SURVEY_INTERVAL_MIN_S + 0.01)
    assert node.board.records.counters["surveys"] == 4


def test_a_server_that_resets_a_flow_is_asked_about_the_others():
    """One that went down and up answered each next request with a reset."""
    node = resting([1, 2])
    ended = answer(flags=RST, seq=SERVER_SEQ + 2, port=1)
    assert resets(node.on_backend(ended, LATER)) == [1]
    [copy] = to_backend(node.tick(LATER))
    assert CODEC.decode_request(copy.datagram).size == 9
    ended = answer(flags=RST, seq=SERVER_SEQ + 2, port=2)
    assert resets(node.on_backend(ended, LATER)) == [2]
    assert node.board.records.counters["reset_at_rest"] == 1


def told(node, revision, **fields):
    state = ServerState(revision=revision, **fields)
    return node.on_peer(BALANCER, LoadAsk(2, state), LATER)


@pytest.mark.parametrize("ended", [True, False])
def test_a_leaving_server_has_ended_once_it_takes_no_packets(ended):
    """It closes its listener before; nobody reset what rested at its end."""
    node = resting([1])
    told(node, 7, draining=True)
    effects = node.on_checked(False, LATER, ended)
    assert resets(effects) == ([1] if ended else [])


def test_a_server_whose_leave_is_not_known_here_keeps_its_flows():
    """Balancers that were turned away by the store could not tell of it."""
    node = resting([1])
    assert not resets(node.on_checked(False, LATER, ended=False))
    assert not resets(node.on_checked(False, LATER + 3.9, ended=False))
    effects = node.on_checked(False, LATER + UNANNOUNCED_DRAIN_S, ended=False)
    assert resets(effects) == [1]


def test_a_later_server_is_not_judged_by_what_a_former_one_refused():
    """It lost its flows at its first refusal, though it took packets."""
    node = resting([1])
    assert not resets(node.on_checked(False, LATER, ended=False))
    later = LATER + 2 * UNANNOUNCED_DRAIN_S
    accept(node, 2, later)
    ask(node, 2, later)
    reply(node, 2, later)
    assert not resets(node.on_checked(False, later + 0.1, ended=False))
    effects = node.on_checked(
        False, later + 0.1 + UNANNOUNCED_DRAIN_S, ended=False
    )
    assert sorted(resets(effects)) == [1, 2]


def test_flows_that_were_never_shown_are_not_reset_by_one_refusal():
    """A server that leaves refuses a connection and serves on."""
    node = agent()
    accept(node, 1)
    ask(node, 1)
    node.watch.schedule_check(LATER)
    [look] = looks(node.tick(LATER))
    sample = CODEC.decode_request(look.sample)
    assert not sample.opens
    assert sample.size == 9
    assert not resets(node.on_checked(False, LATER, ended=False))


def test_a_packet_that_waits_for_its_slot_is_no_sample():
    node = agent(slots=1)
    for port in (1, 2):
        accept(node, port)
        ask(node, port)
    [waiting] = node.board.waiting
    node.watch.schedule_check(LATER)
    [look] = looks(node.tick(LATER))
    assert CODEC.decode_request(look.sample).flow != waiting


def test_an_agent_waits_for_the_end_of_a_leaving_server():
    node = resting([1])
    assert not node.awaits_end()
    told(node, 7, draining=True)
    assert not node.awaits_end()
    node.stop(LATER)
    assert node.awaits_end()
    assert looks(node.tick(LATER + 0.01))
    node.on_checked(False, LATER + 0.02, ended=True)
    assert not node.awaits_end()
