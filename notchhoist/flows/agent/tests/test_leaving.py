"""A backend server that leaves: its agent stops balancers that do not know."""

from notchhoist.flows.agent.bearing import CUTOFF_SHARE, Limits
from notchhoist.flows.agent.node import make_agent
from notchhoist.flows.agent.tests.test_flow_offers import (
    open_flow,
    pause_of,
    told,
)
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.revisions import make_revision
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.agents import (
    START,
    accept,
    ask,
    send,
    to_backend,
)
from notchhoist.flows.tests.crafting import CODEC, request

DRAIN_S = 3.0
LATE = START + CUTOFF_SHARE * DRAIN_S


def agent():
    limits = Limits(drain_s=DRAIN_S)
    return make_agent(crafting.SERVICE, CODEC, START - 100.0, limits=limits)


def test_a_server_that_leaves_gets_nothing_new_after_half_of_the_bound():
    """Only placing kept flows away, and all balancers had missed the word."""
    node = agent()
    told(node, draining=True)
    assert to_backend(open_flow(node, 1, LATE - 0.1))
    assert pause_of(open_flow(node, 2, LATE)) > 0


def test_its_open_flows_go_on():
    node = agent()
    accept(node, 1)
    ask(node, 1)
    told(node, draining=True)
    more = request(data=b"more", seq=10, ack=5001, port=1)
    assert to_backend(send(node, more, NoteKind.HELD, LATE + 1.0))


def test_the_time_is_counted_from_the_first_word_of_it():
    node = agent()
    told(node, draining=True)
    told(node, LATE - 0.1, revision=8, draining=True)
    assert pause_of(open_flow(node, 2, LATE)) > 0


def test_a_word_from_a_copy_does_not_take_the_leave_back():
    """A balancer that has just started read the restored store."""
    node = agent()
    told(node, revision=make_revision(1, 63), draining=True)
    told(node, START + 1.0, revision=make_revision(2, 40))
    assert pause_of(open_flow(node, 2, LATE)) > 0
    told(node, START + 1.0, revision=make_revision(2, 64))
    assert to_backend(open_flow(node, 3, LATE))


def test_a_server_that_starts_again_takes_new_flows():
    node = agent()
    told(node, revision=make_revision(1, 63), draining=True, born_ms=5)
    told(node, revision=make_revision(2, 40), born_ms=9)
    assert to_backend(open_flow(node, 2, LATE))
