"""Agents that were out of use are used again once they answer."""

import pytest

from notchhoist.flows.model.messages import LoadTell
from notchhoist.flows.tests.answering_agents import STEP_S, Agents
from notchhoist.flows.tests.balancer_harness import packets
from notchhoist.flows.tests.crafting import SYN, entry, request

RETURN_S = 2.0
"""Time in which an agent that answers again must be in use, seconds."""


def unlist(agents, number, revision):
    agents.node.fleet.on_removed(f"s{number}", revision, agents.now)


def test_server_lost_while_unlisted_is_used_again():
    """Regression: it stayed lost for good, though it was listed again."""
    agents = Agents(servers=2)
    agents.node.fleet.on_entry(entry(2, draining=True), 2, agents.now)
    unlist(agents, 1, 3)
    server = agents.lose("10.0.0.1")
    agents.node.fleet.on_entry(entry(1), 4, agents.now)
    agents.cut.clear()
    agents.run(RETURN_S)
    assert not server.lost
    syn = request(flags=SYN)
    [(host, _)] = packets(agents.node.on_caller(syn, agents.now))
    assert host == "10.0.0.1"


def test_flow_at_a_server_that_was_lost_while_unlisted_is_found():
    """Regression: it was reset, as all agents but its own were queried."""
    agents = Agents()
    unlist(agents, 2, 2)
    agents.lose("10.0.0.2")
    agents.node.fleet.on_entry(entry(2), 3, agents.now)
    agents.cut.clear()
    agents.holders.add("10.0.0.2")
    agents.run(RETURN_S)
    agents.search()
    agents.run(1.0)
    assert agents.resets == 0
    [placement] = agents.node.board.flows.values()
    assert placement.server.entry.host == "10.0.0.2"


def test_server_that_returns_before_its_entry_is_asked():
    """A host that is cut off from the store only may hold flows, too."""
    agents = Agents()
    unlist(agents, 2, 2)
    server = agents.lose("10.0.0.2")
    agents.cut.clear()
    agents.run(RETURN_S)
    assert not server.listed
    assert not server.lost


@pytest.mark.parametrize("owes_answer", [True, False])
def test_renamed_server_is_still_probed(owes_answer):
    """Regression: a former incarnation was probed no more, so its flows hung.

    Its id goes to a server on another host, while it is only queried.
    """
    agents = Agents()
    host = "10.0.0.2"
    former = agents.node.board.by_host[host]
    agents.cut.add(host)
    if owes_answer:
        agents.node.health.probe(former, agents.now)
    moved = entry(4, server_id="s2", created=9)
    agents.node.fleet.on_entry(moved, 2, agents.now)
    assert agents.node.board.by_host[host] is former
    agents.run(0.05)
    agents.node.health.probe(former, agents.now)
    agents.run(2.0)
    assert former.lost
    agents.cut.clear()
    agents.run(RETURN_S)
    assert not former.lost


def test_agent_that_has_restarted_as_planned_is_used_again():
    """Regression: it got no new flow while others had announced nothing."""
    agents = Agents()
    host = "10.0.0.2"
    server = agents.node.board.by_host[host]
    agents.handle(
        agents.node.on_peer(host, LoadTell(0, 0, 0, True), agents.now)
    )
    agents.cut.add(host)
    agents.run(1.5)
    assert server.suspected
    agents.cut.clear()
    agents.run(RETURN_S)
    assert not server.suspected


def test_agent_that_was_lost_during_a_search_is_queried_on_its_return():
    """Regression: its answer was not awaited when it was heard again."""
    agents = Agents()
    agents.store_answers = False
    agents.holders.add("10.0.0.2")
    agents.cut.add("10.0.0.2")
    agents.search()
    server = agents.node.board.by_host["10.0.0.2"]
    while not server.lost:
        agents.run(STEP_S)
    agents.cut.clear()
    agents.lose_queries.add("10.0.0.2")
    agents.run(1.5)
    assert agents.resets == 0
    agents.lose_queries.clear()
    agents.run(RETURN_S)
    assert agents.resets == 0
    assert agents.node.board.flows
