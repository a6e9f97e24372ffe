"""Packets, routes and servers for tests; the platform's codec decodes them."""

import struct

from notchhoist.flows.model.fleet import (
    RequestKind,
    Route,
    RouteTable,
    ServerEntry,
)
from notchhoist.platform.packets import PacketCodec, service_key

CODEC = PacketCodec()
SYN, RST, FIN, BOUNCED, ACK = 1, 2, 4, 32, 64
SERVICE_HOST = "198.18.0.1"
SERVICE_PORT = 443
CALLER = "100.64.0.7"
KEY = service_key(SERVICE_HOST, SERVICE_PORT)
SERVICE = "hallbook"


def address(host):
    return bytes(int(octet) for octet in host.split("."))


def packet(
    flags=ACK,
    seq=0,
    ack=0,
    data=b"",
    port=40001,
    note=0,
    answer=False,
    service_port=SERVICE_PORT,
):
    """Returns the bytes of a packet from the caller or, as an answer, to it."""
    ends = [(address(CALLER), port), (address(SERVICE_HOST), service_port)]
    (src, sport), (dst, dport) = ends[::-1] if answer else ends
    return (
        struct.pack(
            ">IIIBBIHH4s4sH",
            *(note, seq, ack, flags, 0, 0xA1B2C3D5, sport, dport),
            *(dst, src, len(data)),
        )
        + data
    )


def request(**fields):
    return CODEC.decode_request(packet(**fields))


def answer(**fields):
    return CODEC.decode_answer(packet(answer=True, **fields))


def bounced(segment):
    """Returns a caller's packet as a backend server returns it undelivered."""
    raw = bytearray(segment.raw)
    raw[12] |= BOUNCED
    return CODEC.decode_answer(bytes(raw))


def with_note(segment, note):
    return CODEC.decode_request(CODEC.with_note(segment, note))


def head(segment, note):
    return CODEC.decode_request(CODEC.header_with_note(segment, note))


def route(
    kind=RequestKind.IDEMPOTENT,
    service=SERVICE,
    port=SERVICE_PORT,
    targets=(),
):
    return Route(
        name=f"r-{port}",
        service_key=service_key(SERVICE_HOST, port),
        kind=kind,
        targets=targets or ((service, 1),),
        priority=2,
        objective_ms=225.0,
    )


def table(version=1, routes=None):
    routes = [route()] if routes is None else routes
    return RouteTable(
        version, {item.service_key: item for item in routes}, 15.0
    )


def entry(number, zone="a", **fields):
    return ServerEntry(
        server_id=fields.pop("server_id", f"s{number}"),
        service=fields.pop("service", SERVICE),
        host=f"10.0.0.{number}",
        zone=zone,
        slots=fields.pop("slots", 3),
        draining=fields.pop("draining", False),
        **fields,
    )
