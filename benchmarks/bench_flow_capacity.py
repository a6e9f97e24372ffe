"""Cost of opaque flows by size, for docs/CAPACITY.md.

    python benchmarks/bench_flow_capacity.py

Runs one balancer without sockets and prints its control traffic and processor
time by the number of backend servers, its memory per flow, and the processor
time of an agent per packet. Clocks are simulated; only processor time and
memory are measured.
"""

import resource
import time
import tracemalloc

from notchhoist.flows.agent.node import make_agent
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.codec.message_codec import encode_message
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.model.fleet import (
    RequestKind,
    Route,
    RouteTable,
    ServerEntry,
)
from notchhoist.flows.model.messages import LoadAsk, LoadTell, ViewAsk
from notchhoist.flows.model.notes import Load, NoteKind
from notchhoist.flows.model.service_names import decode_from_balancer
from notchhoist.platform.packets import PacketCodec, service_key
from notchhoist.testing.opaque.frames import ACK, SYN, Frame, encode_frame

CODEC = PacketCodec()
SERVERS_A_SERVICE = 10
NEW_FLOWS_PER_S = 57
PACKETS_PER_S = 600
SECONDS = 5.0
HEADERS_BYTES = 28


def make_packet(number, flags=ACK, service=0, data=b""):
    caller = (f"100.{64 + number // 60000}.{number % 250}.1", number % 60000)
    frame = Frame(caller, ("198.18.0.1", 1000 + service), flags, 1, 1, data)
    return encode_frame(frame, b"k")


def make_loaded_balancer(servers):
    services = max(1, servers // SERVERS_A_SERVICE)
    routes = [
        Route(
            f"r{n}",
            service_key("198.18.0.1", 1000 + n),
            RequestKind.IDEMPOTENT,
            ((f"s{n}", 1),),
        )
        for n in range(services)
    ]
    node = make_balancer("a", CODEC, "seed", "10.9.9.9", ("10.9.9.8",))
    table = RouteTable(1, {route.service_key: route for route in routes}, 15.0)
    node.fleet.tables.on_table(table, 1)
    entries = [
        ServerEntry(
            f"i{n}", f"s{n % services}", f"10.{n // 250}.0.{n % 250}", "a", 4,
            False,
        )
        for n in range(servers)
    ]  # fmt: skip
    node.fleet.on_listing([(entry, 1) for entry in entries], 1, 0.0)
    return node, services


def answer_effects(node, effects, now):
    """Answers for every agent at once; returns control bytes both ways."""
    sent = 0
    for effect in effects:
        if isinstance(effect, SendPeer):
            sent += len(encode_message(effect.message)) + HEADERS_BYTES
            if isinstance(effect.message, LoadAsk):
                service = node.board.by_host[effect.host].entry.service
                told = LoadTell(30, 1, 60, False, service=service)
                sent += len(encode_message(told)) + HEADERS_BYTES
                node.on_peer(effect.host, told, now)
            continue
        segment, _ = decode_from_balancer(CODEC, effect.datagram)
        if notes.kind_of(segment.note) is NoteKind.PLACE:
            note = notes.to_balancer(NoteKind.ACCEPTED, Load(30, 1, 60))
            header = CODEC.header_with_note(segment, note)
            sent += len(header) + HEADERS_BYTES
            node.on_agent(effect.host, CODEC.decode_request(header), now)
    return sent


def measure_balancer(servers):
    node, services = make_loaded_balancer(servers)
    now = sent = number = 0
    began = time.process_time()
    while now < SECONDS:
        now += 1 / NEW_FLOWS_PER_S
        number += 1
        syn = CODEC.decode_request(make_packet(number, SYN, number % services))
        sent += answer_effects(node, node.on_caller(syn, now), now)
        for _ in range(PACKETS_PER_S // NEW_FLOWS_PER_S):
            earlier = 1 + number * 7 % number if number else 1
            raw = make_packet(earlier, ACK, earlier % services, b"x" * 100)
            segment = CODEC.decode_request(raw)
            sent += answer_effects(node, node.on_caller(segment, now), now)
        sent += answer_effects(node, node.tick(now), now)
    processor_share = (time.process_time() - began) / SECONDS
    return sent / SECONDS, processor_share


def measure_memory(flows):
    node, services = make_loaded_balancer(100)
    tracemalloc.start()
    for number in range(flows):
        raw = make_packet(number, SYN, number % services)
        answer_effects(
            node, node.on_caller(CODEC.decode_request(raw), 0.0), 0.0
        )
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size


def measure_agent_packet_s(flows):
    node = make_agent("s", CODEC, 0.0)
    tag = notes.service_tag("s")
    for number in range(flows):
        syn = CODEC.decode_request(make_packet(number, SYN))
        note = notes.to_agent(NoteKind.PLACE, tag)
        raw = CODEC.with_note(syn, note)
        node.on_balancer("10.0.0.1", CODEC.decode_request(raw), 0.0)
    began = time.process_time()
    for number in range(2000):
        raw = make_packet(number % flows, ACK, data=b"x" * 100)
        segment = CODEC.decode_request(raw)
        note = notes.to_agent(NoteKind.FORWARD, tag)
        noted = CODEC.decode_request(CODEC.with_note(segment, note))
        node.on_balancer("10.0.0.1", noted, 1.0)
    return (time.process_time() - began) / 2000


def main():
    print("balancer, 57 new flows and 600 packets a second")
    print(f"{'servers':>8}{'control B/s':>14}{'% of a core':>14}")
    for servers in (100, 1000, 4300):
        sent, processor_share = measure_balancer(servers)
        print(f"{servers:>8}{sent:>14.0f}{processor_share * 100:>14.2f}")
    few, many = measure_memory(2000), measure_memory(20000)
    print(f"balancer: {(many - few) / 18000:.0f} bytes a flow")
    node, _ = make_loaded_balancer(4300)
    told = sum(
        len(encode_message(effect.message))
        for effect in node.on_peer("10.9.9.7", ViewAsk(0), 0.0)
        if isinstance(effect, SendPeer)
    )
    print(f"whole view of 4,300 servers, 430 routes: {told} bytes")
    for flows in (500, 3255):
        cost = measure_agent_packet_s(flows) * 1e6
        print(f"agent with {flows} flows: {cost:.0f} us a packet")
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f"peak memory of this benchmark {peak:.0f} MB")


if __name__ == "__main__":
    main()
