"""Processor time, memory and traffic of one daemon, extrapolated by size.

    python benchmarks/bench_capacity.py

Runs sans-I/O nodes and the codec without sockets. The sizes that vary are the
flows of an agent, and the agents and hints of a balancer; a line fitted through
them is extrapolated to the target.
"""

import random
import statistics
import time
import tracemalloc

import attrs
from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from notchhoist import blackboards, documents, model, wire
from notchhoist.testing import deployment
from notchhoist.testing.fleet import make_fleet

TICKS_PER_S = 20
SECONDS = 30
FLOWS = (0, 1000, 2000, 3255)
AGENTS = (500, 2000, 4300)
HINTS = (10_000, 50_000, 200_000)
REQUESTS = 500
TARGET_FLOWS = 3255
TARGET_AGENTS = 4300
PEERS = 10


def encode_effects(effects):
    """Encodes the messages that are sent; returns their bytes and number."""
    sent = [e for e in effects if isinstance(e, model.SendPeer)]
    size = 0
    for effect in sent:
        envelope = wire.Envelope(effect.to, effect.message)
        size += len(wire.encode_peer(envelope))
    return size, len(sent)


def make_agent():
    """Returns an agent with nine peers and a configuration in force."""
    plan = attrs.evolve(deployment.HALLBOOK, slots=(4,) * PEERS)
    service = deployment.service_of(plan, 0, 67.0)
    hosts = tuple(
        deployment.balancer_host(number, plan.zones) for number in range(70)
    )
    server = service.servers[0]
    make = deployment.agent_maker(service.name, server, 60.0)
    node = make(0.0, 3)
    document = documents.write_configuration(
        model.Configuration(1, (service,), hosts)
    )
    node.handle(model.ConfigurationRead(document, False), 0.0)
    return node, service


def encoded_reports(service):
    """Returns an encoded load report from each peer."""
    encoded = []
    for server in service.servers[1:]:
        report = model.LoadReport(
            service.name, server.name, 2, 2, 0, False, 5, 4, 100, 50
        )
        encoded.append(wire.encode_peer(wire.Envelope(server.agent, report)))
    return encoded


def measure_agent(flows):
    """Returns the processor share, bytes/s and messages/s of an agent."""
    node, service = make_agent()
    peers = encoded_reports(service)
    for number in range(flows):
        caller = model.Endpoint(f"10.{number // 250}.0.{number % 250}", 9)
        node.flows.adopt(caller, 0.0).streams[b"t"] = 0.0
    size = count = 0
    began = time.process_time()
    for tick in range(SECONDS * TICKS_PER_S):
        now = tick / TICKS_PER_S
        got = encode_effects(node.tick(now))
        size, count = size + got[0], count + got[1]
        if tick % 5 == 0:
            for data in peers:
                envelope = wire.decode_peer(data)
                node.handle(
                    model.PeerMessage(envelope.sender, envelope.message), now
                )
    used_s = time.process_time() - began
    return used_s / SECONDS, size / SECONDS, count / SECONDS


def measure_agent_memory(flows):
    """Returns the memory of an agent's state with some flows, in bytes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    node, _ = make_agent()
    for number in range(flows):
        caller = model.Endpoint(f"10.{number // 250}.0.{number % 250}", 9)
        node.flows.adopt(caller, 0.0).streams[b"t"] = 0.0
        other = model.Endpoint(f"10.{number // 250}.1.{number % 250}", 9)
        for port in range(2):
            pointed = attrs.evolve(other, port=port)
            node.board.directory.set_pointer(pointed, other, 0.0, True)
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return size


def measure_balancer(agents):
    """Returns the processor share and bytes/s of a balancer.

    Each agent pings three of 580 balancers a second, and each of 4,880 daemons
    queries one balancer for the configuration every 1.5 s.
    """
    fleet = make_fleet(20, 3)
    world = fleet.world
    fleet.propagation_time(5.0)
    node = world.hosts[fleet.configuration.balancers[0].peer].node
    share = agents / TARGET_AGENTS
    pings = int(share * TARGET_AGENTS * 3 / 580 * SECONDS)
    queries = int(share * 4880 / 1.5 / 580 * SECONDS)
    sender = fleet.configuration.services[0].agents()[0]
    name = fleet.configuration.services[0].name
    incoming = [
        wire.encode_peer(wire.Envelope(sender, model.Ping(0)))
    ] * pings + [
        wire.encode_peer(
            wire.Envelope(sender, model.ConfigAsk(1, name, "zone-0"))
        )
    ] * queries
    random.Random(1).shuffle(incoming)
    for number in range(agents):
        peer = model.Endpoint(f"10.9.{number // 250}.{number % 250}", 7000)
        node.board.agents[peer] = blackboards.AgentHealth()
    size = 0
    began = time.process_time()
    for tick in range(SECONDS * TICKS_PER_S):
        now = world.now + tick / TICKS_PER_S
        size += encode_effects(node.tick(now))[0]
        batch = incoming[tick :: SECONDS * TICKS_PER_S]
        for data in batch:
            envelope = wire.decode_peer(data)
            event = model.PeerMessage(envelope.sender, envelope.message)
            size += encode_effects(node.handle(event, now))[0]
    used_s = time.process_time() - began
    received = sum(len(data) for data in incoming)
    return used_s / SECONDS, (size + received) / SECONDS


def measure_hint_memory(hints):
    """Returns the memory of a balancer's hints in bytes."""
    host = deployment.balancer_host(0, ("z",))
    node = deployment.balancer_maker(host)(0.0, 1)
    owner = model.Endpoint("10.1.1.1", 7000)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(hints):
        caller = model.Endpoint(f"10.{number // 65536}.1.1", number % 65536)
        flow = model.FlowKey("hallbook", caller)
        node.board.remember_hint(flow, owner)
    size = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return size


def measure_request():
    """Returns the processor time of a request at the agent, seconds."""
    node, service = make_agent()
    caller = model.Endpoint("10.0.0.1", 9)
    balancer = model.Endpoint("10.0.0.1", 7000)
    agent_s = 0.0
    for number in range(REQUESTS):
        message = Message(
            code=Code.GET, _mtype=Type.CON, _mid=number, _token=b"tk%d" % number
        )
        message.opt.uri_path = ("roster", "hallbook", f"r{number}")
        forward = model.Forward(
            service.name, caller, message.encode(), 1, 0, True, balancer
        )
        data = wire.encode_peer(wire.Envelope(balancer, forward))
        answer = wire.encode_response_for(
            wire.CoapMessage(Message(code=Code.CONTENT, payload=b"r")),
            wire.decode_coap(message.encode()),
        )
        now = number / 100
        began = time.process_time()
        envelope = wire.decode_peer(data)
        event = model.PeerMessage(envelope.sender, envelope.message)
        encode_effects(node.handle(event, now))
        event = model.BackendDatagram(caller, answer)
        encode_effects(node.handle(event, now))
        agent_s += time.process_time() - began
    return agent_s / REQUESTS


def print_fit(name, sizes, values, target, unit):
    """Prints a linear fit and its value at the target."""
    slope, base = statistics.linear_regression(sizes, values)
    shown = ", ".join(
        f"{size}: {value:.4g}"
        for size, value in zip(sizes, values, strict=True)
    )
    print(f"  {name} ({shown}) {unit}")
    print(
        f"    base {base:.4g}, slope {slope:.4g}, "
        f"at {target}: {base + slope * target:.4g} {unit}"
    )


def main():
    """Prints every fit."""
    print("agent, by flows (all of them pinned streams)")
    rows = [measure_agent(flows) for flows in FLOWS]
    shares = [row[0] * 100 for row in rows]
    print_fit("processor share", FLOWS, shares, TARGET_FLOWS, "%")
    print_fit("sent", FLOWS, [row[1] for row in rows], TARGET_FLOWS, "bytes/s")
    print_fit("messages", FLOWS, [row[2] for row in rows], TARGET_FLOWS, "/s")
    sizes = [measure_agent_memory(flows) / 1e6 for flows in FLOWS]
    print_fit("board with directory", FLOWS, sizes, TARGET_FLOWS, "MB")
    print("balancer, by agents")
    rows = [measure_balancer(agents) for agents in AGENTS]
    shares = [row[0] * 100 for row in rows]
    print_fit("processor share", AGENTS, shares, TARGET_AGENTS, "%")
    both = [row[1] for row in rows]
    print_fit("sent and received", AGENTS, both, TARGET_AGENTS, "bytes/s")
    sizes = [measure_hint_memory(hints) / 1e6 for hints in HINTS]
    print_fit("hints", HINTS, sizes, HINTS[-1], "MB")
    print(f"data path: {measure_request() * 1e6:.0f} us a GET at the agent")


if __name__ == "__main__":
    main()
