"""Flows of a server that is lost, and of one that only seems to have them."""

from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.tests.answering_agents import STEP_S, Agents
from notchhoist.flows.tests.balancer_harness import open_flow, send_agent_note
from notchhoist.flows.tests.crafting import SYN, request

RETRANSMISSION_PAUSES_S = (0.2, 0.4, 0.9)
"""Pauses after the packets of a caller that gets no answer, seconds. A dead
flow must be reset within them."""


def send(agents, **fields):
    packet = request(data=b"x", **fields)
    agents.handle(agents.node.on_caller(packet, agents.now))


def accept_in_vain(agents):
    """Has a server accept a flow whose caller has opened it at another one.

    Returns:
        The host of the server, which is cut off from then on.
    """
    host = open_flow(agents.node, agents.now)
    [other] = set(agents.node.board.by_host) - {host}
    agents.holders.add(other)
    agents.run(5.0)
    agents.cut.add(host)
    return host


def test_flow_is_kept_when_a_server_that_never_had_it_is_lost():
    """Regression: it was reset, as another server had accepted it in vain."""
    agents = Agents(servers=2)
    lost = accept_in_vain(agents)
    for step in range(1, 60):
        if step % 10 == 1:
            send(agents, seq=step)
        agents.run(STEP_S)
    assert agents.node.board.by_host[lost].lost
    assert agents.resets == 0
    assert agents.forwarded[-1] != lost


def test_flow_is_kept_when_only_a_late_opening_packet_came_here():
    """A caller that has opened its flow elsewhere needs no answer to it."""
    agents = Agents(servers=2)
    lost = open_flow(agents.node, agents.now)
    [other] = set(agents.node.board.by_host) - {lost}
    agents.holders.add(other)
    agents.cut.add(lost)
    agents.node.health.probe(agents.node.board.by_host[lost], agents.now)
    agents.run(0.5)
    syn = request(flags=SYN)
    agents.handle(agents.node.on_caller(syn, agents.now))
    agents.run(2.0)
    assert agents.node.board.by_host[lost].lost
    assert agents.resets == 0


def test_flow_that_no_server_has_is_reset_in_time():
    agents = Agents(servers=2)
    accept_in_vain(agents)
    agents.holders.clear()
    for pause_s in RETRANSMISSION_PAUSES_S:
        send(agents, seq=1)
        agents.run(pause_s)
    assert agents.resets == 1


def test_answer_that_waited_during_a_stall_confirms_no_flow():
    """Regression: it was taken for an answer to a packet that came later."""
    agents = Agents(servers=2)
    host = open_flow(agents.node, agents.now)
    [other] = set(agents.node.board.by_host) - {host}
    agents.holders.add(other)
    agents.run(1.0)
    send(agents, seq=1)
    agents.cut.add(host)
    agents.now += 3.0
    opened = request(flags=SYN)
    send_agent_note(agents.node, host, opened, NoteKind.ACCEPTED, agents.now)
    agents.node.on_resumed(agents.now)
    for step in range(2, 60):
        if step % 10 == 1:
            send(agents, seq=step)
        agents.run(STEP_S)
    assert agents.node.board.by_host[host].lost
    assert agents.resets == 0
