"""A balancer for tests, and helpers that read its effects."""

from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import (
    CheckHost,
    ConnectResult,
    SendAgent,
    SendCaller,
    SendPeer,
)
from notchhoist.flows.model.messages import FlowsAsk, FlowsTell, LoadTell
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.model.service_names import decode_from_balancer
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC, SYN, entry, request


def balancer(servers=3, now=0.0, **fields):
    node = make_balancer("a", CODEC, "seed")
    node.fleet.tables.on_table(crafting.table(**fields), 1)
    entries = [(entry(n), 1) for n in range(1, servers + 1)]
    node.fleet.on_listing(entries, 1, now)
    return node


def packets(effects):
    """Returns the packets for agents as (host, segment)."""
    return [
        (effect.host, decode_from_balancer(CODEC, effect.datagram)[0])
        for effect in effects
        if isinstance(effect, SendAgent)
    ]


def resets(effects):
    return [effect for effect in effects if isinstance(effect, SendCaller)]


def queried_agents(effects):
    """Returns the hosts whose agents get queries about flows, in order."""
    return [
        effect.host
        for effect in effects
        if isinstance(effect, SendPeer)
        and isinstance(effect.message, FlowsAsk)
        and effect.message.heads
    ]


def sample_packets(effects):
    """Returns the sample packets for agents, as (host, segment)."""
    return [
        (effect.host, CODEC.decode_request(raw))
        for effect in effects
        if isinstance(effect, SendPeer) and isinstance(effect.message, FlowsAsk)
        for raw in effect.message.samples
    ]


def answer_query(node, host, segment, kind, now):
    """Answers the pending query to an agent for one flow."""
    lines = node.finder.queries.queues
    [line] = [line for (name, _), line in lines.items() if name == host]
    told = {kind.name.lower(): (segment.flow,)}
    return node.on_peer(host, FlowsTell(line.number, **told), now)


def report_sample_absent(node, host, segment, now):
    """Reports that the flow of a sample packet is absent."""
    return node.on_peer(host, FlowsTell(0, absent=(segment.flow,)), now)


def send_agent_note(node, host, segment, kind, now, load=None):
    note = notes.to_balancer(kind, load or Load())
    return node.on_agent(host, crafting.head(segment, note), now)


def open_flow(node, now=0.0, **fields):
    syn = request(flags=SYN, **fields)
    [(host, _)] = packets(node.on_caller(syn, now))
    load = Load(flows=node.board.by_host[host].flows)
    send_agent_note(node, host, syn, NoteKind.ACCEPTED, now + 0.001, load)
    return host


def open_used_flow(node, now=0.0, **fields):
    """Opens a flow whose agent is heard after it got a packet of the flow.

    Args:
        node: The balancer.
        now: When the agent is heard, seconds.
        **fields: Of the caller's packets.
    """
    host = open_flow(node, now - 0.2, **fields)
    node.on_caller(request(data=b"x", **fields), now - 0.19)
    flows = node.board.by_host[host].flows
    node.on_peer(host, LoadTell(flows, 0, 0, False), now)
    return host


def tick_with_silent_hosts(node, now):
    """Ticks; each host that the balancer checks stays silent."""
    effects = node.tick(now)
    for effect in list(effects):
        if isinstance(effect, CheckHost):
            effects += node.on_host_checked(
                effect.host, ConnectResult.SILENT, now
            )
    return effects
