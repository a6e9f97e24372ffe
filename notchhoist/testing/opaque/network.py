"""The simulated network: links, delays, packet loss and partitions."""

import random
import socket
from collections.abc import Callable, Sequence
from functools import lru_cache
from typing import Protocol

import attrs

from notchhoist.base.errors import CodecError
from notchhoist.daemon.ports import SocketRole
from notchhoist.flows.agent.node import AgentNode
from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.flows.codec.message_codec import decode_message
from notchhoist.flows.model.effects import Effect
from notchhoist.flows.model.messages import PeerMessage
from notchhoist.flows.model.service_names import decode_from_balancer
from notchhoist.links.packets import HEADERS_BYTES, Outgoing
from notchhoist.platform.packets import PacketCodec
from notchhoist.testing.opaque.callers import CallerModel
from notchhoist.testing.opaque.damage import damage
from notchhoist.testing.opaque.frames import decode_frame, is_genuine
from notchhoist.testing.opaque.hosts import Host
from notchhoist.testing.opaque.judge import Judge

KEY = b"not told to the system"
IN_ZONE_DELAY_S = 0.0001
CALLER_DELAY_S = 0.001
MIN_SEND_DELAY_S = 0.005
COPY_DELAY_S = 0.002


@lru_cache(maxsize=4096)
def is_ipv4(text: str) -> bool:
    r"""Tells whether a text is an IPv4 address, which needs no look-up.

    Examples:
        >>> is_ipv4("10.0.0.1"), is_ipv4("entry-1"), is_ipv4("\0")
        (True, False, False)
    """
    try:
        socket.inet_pton(socket.AF_INET, text)
    except (OSError, ValueError):
        return False
    return True


class NetworkWorld(Protocol):
    """The part of the simulated world that the network uses."""

    now: float
    rng: random.Random
    hosts: dict[str, Host]
    callers: dict[str, CallerModel]
    zone_of_caller: dict[str, str]
    judge: Judge
    codec: PacketCodec

    def later(self, delay: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay, seconds."""

    def perform(self, host: Host, todo: Sequence[Effect]) -> None:
        """Performs the effects that a daemon returned."""


@attrs.define(eq=False)
class Network:
    """Carries datagrams between hosts, and to callers.

    Attributes:
        world: The world whose hosts and callers it connects.
        cross_zone_s: One-way delay between zones, seconds.
        loss: Probability that a datagram is lost.
        cuts: Pairs of IP numbers that cannot reach each other; an IP number
            paired with itself cannot reach the store.
        damaged: Share of the control messages that a damaged copy follows.
        malformed: Damaged messages so far that could not be decoded.
        zone_bytes: Bytes sent between zones so far.
    """

    world: NetworkWorld
    cross_zone_s: float = 0.0014
    loss: float = 0.0
    cuts: set[frozenset[str]] = attrs.Factory(set)
    damaged: float = 0.0
    malformed: int = 0
    zone_bytes: int = 0

    def is_cut(self, one: str, other: str) -> bool:
        """Tells whether two IP numbers cannot reach each other."""
        return frozenset((one, other)) in self.cuts

    def carry(self, source: str, target: str, zone: str, size: int) -> float:
        """Returns the delay of a datagram, or infinity where it is lost."""
        if self.is_cut(source, target) or self.world.rng.random() < self.loss:
            return float("inf")
        if self._zone_of(source) == zone:
            return IN_ZONE_DELAY_S
        self.zone_bytes += size + HEADERS_BYTES
        return self.cross_zone_s

    def _zone_of(self, ip: str) -> str:
        host = self.world.hosts.get(ip)
        return host.zone if host else self.world.zone_of_caller.get(ip, "")

    def when_awake(self, host: Host, action: Callable[[], None]) -> None:
        """Runs an action at a process, or queues it while that is stalled.

        The action is dropped where the process is down.
        """
        if host.frozen:
            host.waiting.append(action)
        elif host.node is not None:
            action()

    def send_datagram(
        self,
        host: Host,
        port: SocketRole,
        target: str,
        raw: bytes,
        flow: bytes = b"",
        seq: int = 0,
    ) -> None:
        """Sends a datagram of a host, now or when its link has capacity."""
        if not is_ipv4(target):
            detail = f"{host.name} sends to {target[:40]!r}"
            self.world.judge.break_rule("ADDRESS", detail, self.world.now)
            return
        packet = Outgoing(port, raw, (target, 0), flow, seq, self.world.now)
        scheduler = host.link.scheduler
        if scheduler.offer(packet, self.world.now) is not None:
            self._transmit(host, packet)
        elif scheduler.due() < float("inf"):
            self._schedule_send(host, host.generation)

    def _schedule_send(self, host: Host, generation: int) -> None:
        def send_due() -> None:
            host.send_scheduled = False
            if host.generation != generation or host.node is None:
                return
            for packet in host.link.scheduler.take(self.world.now):
                self._transmit(host, packet)
            if host.link.scheduler.waiting:
                self._schedule_send(host, generation)

        if not host.send_scheduled:
            host.send_scheduled = True
            due = max(
                host.link.scheduler.due() - self.world.now, MIN_SEND_DELAY_S
            )
            self.world.later(due, send_due)

    def _transmit(self, host: Host, packet: Outgoing) -> None:
        """Transmits a datagram over the link of its host."""
        wire_s = host.link.carry(packet, self.world.now)
        if wire_s == float("inf"):
            return
        target, _ = packet.to
        match packet.port:
            case SocketRole.PEERS:
                self._to_process(host, target, packet.datagram, wire_s)
            case SocketRole.CONTROL:
                self._to_control(host, target, packet.datagram, wire_s)
            case _:
                self._to_caller(host, target, packet.datagram, wire_s)

    def _to_process(
        self, source: Host, target: str, raw: bytes, wire_s: float
    ) -> None:
        host = self.world.hosts.get(target)
        if host is None:
            return
        delay = wire_s + self.carry(source.ip, target, host.zone, len(raw))
        if delay == float("inf"):
            return

        def take() -> None:
            codec, now = self.world.codec, self.world.now
            if isinstance(host.node, BalancerNode):
                segment = codec.decode_request(raw)
                todo = host.node.on_agent(source.ip, segment, now)
            elif isinstance(host.node, AgentNode):
                segment, service = decode_from_balancer(codec, raw)
                todo = host.node.on_balancer(source.ip, segment, now, service)
            else:
                return
            self.world.perform(host, todo)

        self.world.later(delay, lambda: self.when_awake(host, take))

    def _to_control(
        self, source: Host, target: str, raw: bytes, wire_s: float
    ) -> None:
        host = self.world.hosts.get(target)
        if host is None:
            return
        delay = wire_s + self.carry(source.ip, target, host.zone, len(raw))
        if delay == float("inf"):
            return
        message = decode_message(raw)
        self._deliver_control(source, host, message, delay)
        if self.damaged and self.world.rng.random() < self.damaged:
            self._deliver_damaged(source, host, raw, delay + COPY_DELAY_S)

    def _deliver_damaged(
        self, source: Host, host: Host, raw: bytes, delay: float
    ) -> None:
        try:
            message = decode_message(damage(raw, self.world.rng))
        except CodecError:
            self.malformed += 1
        else:
            self._deliver_control(source, host, message, delay)

    def _deliver_control(
        self, source: Host, host: Host, message: PeerMessage, delay: float
    ) -> None:
        def take() -> None:
            if host.node is not None:
                self.world.perform(
                    host, host.node.on_peer(source.ip, message, self.world.now)
                )

        self.world.later(delay, lambda: self.when_awake(host, take))

    def _to_caller(
        self, source: Host, target: str, raw: bytes, wire_s: float
    ) -> None:
        zone = self.world.zone_of_caller.get(target, "")
        delay = wire_s + self.carry(source.ip, target, zone, len(raw))
        if not zone or delay == float("inf"):
            return
        frame = decode_frame(raw)
        if frame.checksum and not is_genuine(frame, KEY):
            detail = f"forged for {frame.dst}"
            self.world.judge.break_rule("MIXED", detail, self.world.now)
            return
        caller = self.world.callers[zone]
        self.world.later(
            CALLER_DELAY_S + delay,
            lambda: caller.on_frame(frame, self.world.now),
        )
