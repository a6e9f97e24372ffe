"""Requests are served with any single mechanism disabled."""

import pytest

from notchhoist.flows.agent.node import make_agent
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model import mechanisms
from notchhoist.flows.model.messages import LoadAsk
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.tests import agent_harness, crafting
from notchhoist.flows.tests.balancer_harness import packets, send_agent_note
from notchhoist.flows.tests.crafting import CODEC, SYN, request


@pytest.mark.parametrize("name", mechanisms.NAMES)
def test_requests_are_served_without_mechanism(name):
    uses = mechanisms.ALL.without([name])
    balancer = make_balancer("a", CODEC, "seed", uses=uses)
    balancer.fleet.tables.on_table(crafting.table(), 1)
    balancer.fleet.on_listing([(crafting.entry(1), 1)], 1, 0.0)
    syn = request(flags=SYN)
    [(host, offered)] = packets(balancer.on_caller(syn, 0.0))
    send_agent_note(balancer, host, syn, NoteKind.ACCEPTED, 0.001)
    agent = make_agent(crafting.SERVICE, CODEC, 0.0, uses)
    agent.on_peer(agent_harness.BALANCER, LoadAsk(1), 0.0)
    assert agent_harness.to_backend(agent.on_balancer("10.0.1.1", offered, 0.0))
    agent_harness.accept(agent, 1, 0.0)
    assert agent_harness.to_backend(agent_harness.send_request(agent, 1, 0.01))
    agent_harness.accept(agent, 2, 0.01)
    agent_harness.send_request(agent, 2, 0.01)
    agent_harness.send_answer(agent, 1, 0.05)
    agent.tick(5.0)
    assert not agent.board.waiting
