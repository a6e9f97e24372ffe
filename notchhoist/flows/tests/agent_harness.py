"""An agent for tests, and helpers that read its effects."""

from notchhoist.flows.agent.flow_lookup import UNSEEN_FLOW_MAX_AGE_S
from notchhoist.flows.agent.node import make_agent
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import (
    SendBackend,
    SendBalancer,
)
from notchhoist.flows.model.messages import LoadAsk
from notchhoist.flows.model.notes import NoteKind, service_tag
from notchhoist.flows.model.request_hints import RequestHints
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import (
    ACK,
    CODEC,
    SYN,
    answer,
    request,
)

TAG = service_tag(crafting.SERVICE)
BALANCER = "10.0.1.1"
START = 100.0
SERVER_SEQ = 5000
DEFAULT_HINTS = RequestHints(objective_s=0.225, priority=2)


def agent(slots=0, known=True):
    """Makes an agent; ``known`` lets it run long enough to know every flow."""
    started = START - (UNSEEN_FLOW_MAX_AGE_S + 1 if known else 0.0)
    node = make_agent(crafting.SERVICE, CODEC, started)
    if slots:
        node.on_peer(BALANCER, LoadAsk(slots), START)
    return node


def send(node, segment, kind, now=START, hints=DEFAULT_HINTS, tag=TAG):
    note = notes.to_agent(kind, tag, hints)
    return node.on_balancer(BALANCER, crafting.with_note(segment, note), now)


def to_backend(effects):
    return [item for item in effects if isinstance(item, SendBackend)]


def to_balancer(effects):
    return [
        notes.kind_of(CODEC.decode_request(item.datagram).note)
        for item in effects
        if isinstance(item, SendBalancer)
    ]


def accept(node, port, now=START, hints=DEFAULT_HINTS):
    """Opens a flow until the server accepts it."""
    send(node, request(flags=SYN, port=port), NoteKind.PLACE, now, hints)
    accepted = answer(flags=SYN | ACK, seq=SERVER_SEQ, ack=1, port=port)
    return node.on_backend(accepted, now)


def send_request(node, port, now=START, seq=1, hints=DEFAULT_HINTS):
    """Sends a request on an accepted flow."""
    data = request(data=b"x" * 9, seq=seq, ack=SERVER_SEQ + 1, port=port)
    return send(node, data, NoteKind.FORWARD, now, hints)


def send_answer(node, port, now=START):
    done = answer(data=b"y", seq=SERVER_SEQ + 1, ack=10, port=port)
    return node.on_backend(done, now)
