"""Services whose names have the same tag are told apart.

Processes of two versions run side by side while they are replaced: the former
version neither sends nor reads the name of a service behind an opening packet.
"""

import pytest

from notchhoist.base.errors import CodecError
from notchhoist.flows.agent.node import make_agent
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendAgent
from notchhoist.flows.model.messages import LoadTell
from notchhoist.flows.model.notes import NoteKind, service_tag
from notchhoist.flows.model.service_names import (
    decode_from_balancer,
    with_service,
)
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.agent_harness import (
    BALANCER,
    START,
    to_backend,
    to_balancer,
)
from notchhoist.flows.tests.balancer_harness import packets, resets
from notchhoist.flows.tests.crafting import (
    CODEC,
    SYN,
    entry,
    packet,
    request,
    route,
)

FORMER, OTHER = "report", "program"
"""Two services with the same tag."""

HOST = "10.0.0.1"


def balancer(servers=1):
    node = make_balancer("a", CODEC, "seed")
    node.fleet.tables.on_table(
        crafting.table(routes=[route(service=FORMER)]), 1
    )
    entries = [(entry(n, service=FORMER), 1) for n in range(1, servers + 1)]
    node.fleet.on_listing(entries, 1, 0.0)
    return node


def tell(node, service, now, host=HOST):
    return node.on_peer(host, LoadTell(0, 0, 0, False, service=service), now)


def offered(effects):
    """Returns the names behind the opening packets for agents."""
    return [
        decode_from_balancer(CODEC, effect.datagram)[1]
        for effect in effects
        if isinstance(effect, SendAgent)
    ]


def offer(service, named):
    """Offers a flow to the agent of a service; returns the agent's effects."""
    node = balancer()
    if not named:
        tell(node, "", 0.0)
    [sent] = [
        effect
        for effect in node.on_caller(request(flags=SYN), 0.01)
        if isinstance(effect, SendAgent)
    ]
    agent = make_agent(service, CODEC, START - 100.0)
    segment, name = decode_from_balancer(CODEC, sent.datagram)
    return agent.on_balancer(BALANCER, segment, START, name)


def test_the_tags_of_the_two_services_are_the_same():
    assert service_tag(FORMER) == service_tag(OTHER)


def test_agent_takes_no_flow_of_another_service_with_its_tag():
    """Regression: a server ran requests of the former service of its address.

    Its balancers had not learnt that the address had gone to its service.
    """
    effects = offer(OTHER, named=True)
    assert not to_backend(effects)
    assert to_balancer(effects) == [NoteKind.REFUSED]


@pytest.mark.parametrize("named", [True, False])
def test_agent_takes_flows_of_its_own_service(named):
    """A balancer of the former version sends no name."""
    assert to_backend(offer(FORMER, named))


def test_agent_of_the_former_version_gets_its_flows_without_a_name():
    """It drops packets that other bytes follow, but answers the probe."""
    node = balancer()
    assert offered(node.on_caller(request(flags=SYN), 0.0)) == [FORMER]
    assert offered(tell(node, "", 0.003)) == [""]
    assert offered(node.on_caller(request(flags=SYN, port=40002), 0.1)) == [""]


def test_agent_that_was_upgraded_gets_names_again():
    node = balancer()
    tell(node, "", 0.0)
    tell(node, FORMER, 1.0)
    assert offered(node.on_caller(request(flags=SYN), 1.1)) == [FORMER]


def test_server_whose_address_has_another_service_gets_no_flow():
    node = balancer(servers=2)
    tell(node, OTHER, 0.0)
    for port in range(40001, 40011):
        sent = packets(node.on_caller(request(flags=SYN, port=port), 0.01))
        assert [host for host, _ in sent] == ["10.0.0.2"]


def test_flow_without_any_server_of_its_service_is_rejected_at_once():
    node = balancer()
    tell(node, OTHER, 0.0)
    assert len(resets(node.on_caller(request(flags=SYN), 0.01))) == 1


def test_server_gets_flows_again_once_its_agent_runs_its_service():
    """A report may come from the agent before, shortly after a replacement."""
    node = balancer()
    tell(node, OTHER, 0.0)
    asked = [getattr(effect, "host", "") for effect in node.tick(1.1)]
    assert HOST in asked
    tell(node, FORMER, 1.2)
    assert packets(node.on_caller(request(flags=SYN), 1.3))


def test_name_survives_the_way_to_the_agent():
    segment = request(flags=SYN)
    note = notes.to_agent(NoteKind.PLACE, service_tag(FORMER))
    raw = with_service(CODEC.with_note(segment, note), "r\u00e9port")
    decoded, name = decode_from_balancer(CODEC, raw)
    assert name == "r\u00e9port"
    assert decoded.flow == segment.flow


@pytest.mark.parametrize(
    "raw",
    [
        packet(flags=SYN)[:-1],
        packet(flags=SYN) + b"\xff\xfe",
        packet(data=b"x") + b"report",
        b"",
    ],
)
def test_malformed_packet_is_refused(raw):
    with pytest.raises(CodecError):
        decode_from_balancer(CODEC, raw)
