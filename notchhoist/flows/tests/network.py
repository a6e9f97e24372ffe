"""Simulated network between a few real nodes.

Packets are lost, duplicated, delayed or cut off. Each balancer reads the
platform's store unless it is cut off from it.
"""

import heapq
import itertools
import random
from functools import partial

from msgspec import Struct, field

from notchhoist.flows.agent.node import AgentNode
from notchhoist.flows.model import effects as ef
from notchhoist.flows.model.effects import ConnectResult
from notchhoist.flows.model.fleet import ServerEntry
from notchhoist.flows.model.service_names import decode_from_balancer
from notchhoist.flows.tests.crafting import ACK, CODEC, SYN, answer, bounced

STEP_S = 0.05
HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
BALANCERS = ("10.0.9.1", "10.0.9.2")


class Server(Struct, eq=False):
    """A fake backend server with its half-open and open flows."""

    server_id: str
    service: str
    initial_seq: int
    listens: bool = True
    accepts: bool = True
    half_open: set = field(default_factory=set)
    open: set = field(default_factory=set)
    received: list = field(default_factory=list)

    def on_packet(self, segment, port):
        """Returns the packet that answers a packet, or None."""
        if segment.opens:
            if port not in self.open | self.half_open:
                if not self.accepts:
                    return bounced(segment)
                self.half_open.add(port)
            return answer(
                flags=SYN | ACK, seq=self.initial_seq, ack=1, port=port
            )
        if port in self.half_open and segment.ack == self.initial_seq + 1:
            self.half_open.discard(port)
            self.open.add(port)
        if port not in self.open:
            return bounced(segment)
        if not segment.size:
            return None
        self.received.append((port, segment.seq))
        end = segment.seq + segment.size
        return answer(
            data=b"y", seq=self.initial_seq + segment.seq, ack=end, port=port
        )


class Host(Struct, eq=False):
    """A host of a backend server; ``agent`` is None while it does not run."""

    ip: str
    agent: AgentNode | None = None
    server: Server | None = None
    entry: ServerEntry | None = None
    powered_off: bool = False
    cold_until: float = float("-inf")
    cut_from_store: bool = False
    agent_down_since: float = float("inf")
    cut_until: float = float("-inf")


class Caller(Struct, eq=False):
    """A caller's flow."""

    port: int
    server_seq: int = 0
    seq: int = 1
    dead: bool = False


class Network:
    """Carries packets and messages between the nodes.

    Attributes:
        loss: Share of packets that are lost; also the share that is duplicated.
        late: Share of packets that are delayed.
    """

    def __init__(self, seed, loss, late):
        self.rng = random.Random(seed)
        self.loss, self.late = loss, late
        self.now = 0.0
        self.queue = []
        self.order = itertools.count()
        self.revision = 1
        self.cuts = {}
        self.store_cut_until = {}
        self.unread_events = {ip: [] for ip in BALANCERS}
        self.balancers = {}
        self.hosts = {ip: Host(ip) for ip in HOSTS}

    def run(self, for_s):
        until = self.now + for_s
        while self.now < until - 1e-9:
            self.now = round(self.now + STEP_S, 3)
            while self.queue and self.queue[0][0] <= self.now:
                heapq.heappop(self.queue)[2]()
            for ip, node in self.balancers.items():
                self._serve_store(ip)
                self.perform_balancer(ip, node.tick(self.now))
            for ip, host in self.hosts.items():
                if host.agent is not None:
                    self.perform_agent(ip, host.agent.tick(self.now))

    def later(self, delay_s, action):
        due = self.now + delay_s
        heapq.heappush(self.queue, (due, next(self.order), action))

    def travel(self, one, other, action):
        for _ in range(2 if self.rng.random() < self.loss else 1):
            lost = self.rng.random() < self.loss
            if lost or self.cuts.get((one, other), 0.0) > self.now:
                continue
            late = self.rng.random() < self.late
            self.later(self.rng.uniform(0.1, 2.0) if late else 0.002, action)

    def publish(self, ip, entry):
        self.hosts[ip].cut_from_store = False
        self.hosts[ip].entry = entry
        self.revision += 1
        self._publish_event(
            lambda node, at=self.revision: node.fleet.on_entry(
                entry, at, self.now
            )
        )

    def remove(self, server_id):
        self.revision += 1
        self._publish_event(
            lambda node, at=self.revision: node.fleet.on_removed(
                server_id, at, self.now
            )
        )

    def _publish_event(self, event):
        for unread in self.unread_events.values():
            unread.append(event)

    def _serve_store(self, ip):
        node = self.balancers[ip]
        if self.store_cut_until.get(ip, 0.0) > self.now:
            node.board.store_failed_at = self.now
            return
        for event in self.unread_events[ip]:
            event(node)
        self.unread_events[ip].clear()

    def _confirm(self, ip):
        node = self.balancers[ip]
        if self.store_cut_until.get(ip, 0.0) > self.now:
            node.finder.confirmer.on_failed(self.now)
            node.board.store_failed_at = self.now
            return
        self._serve_store(ip)
        node.finder.on_view_confirmed(self.now)
        self.perform_balancer(ip, node.take_effects())

    def perform_balancer(self, ip, effects):
        for effect in effects:
            match effect:
                case ef.SendAgent(host, raw) | ef.SendPeer(host, raw):
                    take = partial(self._at_agent, ip, host, raw)
                    self.travel(ip, host, take)
                case ef.SendCaller(_, raw):
                    self.to_caller(ip, raw)
                case ef.CheckHost(host):
                    reach = self._reach(ip, host)
                    check = partial(self._on_host_checked, ip, host, reach)
                    self.later(
                        0.25 if reach is ConnectResult.SILENT else 0.0, check
                    )
                case ef.ConfirmView():
                    self.later(0.01, partial(self._confirm, ip))

    def _on_host_checked(self, ip, host, reach):
        node = self.balancers[ip]
        effects = node.on_host_checked(host, reach, self.now)
        self.perform_balancer(ip, effects)

    def _reach(self, ip, host):
        cut = max(self.cuts.get(way, 0.0) for way in ((ip, host), (host, ip)))
        if self.hosts[host].powered_off or cut > self.now:
            return ConnectResult.SILENT
        away = self.hosts[host].agent is None
        return ConnectResult.REFUSED if away else ConnectResult.ACCEPTED

    def _at_agent(self, ip, host, raw):
        agent = self.hosts[host].agent
        if agent is None:
            return
        if isinstance(raw, bytes):
            segment, service = decode_from_balancer(CODEC, raw)
            effects = agent.on_balancer(ip, segment, self.now, service)
        else:
            effects = agent.on_peer(ip, raw, self.now)
        self.perform_agent(host, effects)

    def perform_agent(self, host, effects):
        for effect in effects:
            match effect:
                case ef.SendBalancer(ip, raw) | ef.SendPeer(ip, raw):
                    take = partial(self._at_balancer, host, ip, raw)
                    self.travel(host, ip, take)
                case ef.SendCaller(_, raw):
                    self.to_caller(host, raw)
                case ef.SendBackend(raw):
                    self._at_server(host, raw)
                case ef.CheckBackend(sample):
                    check = partial(self._check_backend, host, bool(sample))
                    self.later(0.002, check)

    def _at_balancer(self, host, ip, raw):
        node = self.balancers[ip]
        if isinstance(raw, bytes):
            segment = CODEC.decode_request(raw)
            effects = node.on_agent(host, segment, self.now)
        else:
            effects = node.on_peer(host, raw, self.now)
        self.perform_balancer(ip, effects)

    def _at_server(self, host, raw):
        segment = CODEC.decode_request(raw)
        port = int.from_bytes(segment.flow[4:6], "big")
        server = self.hosts[host].server
        out = server.on_packet(segment, port) if server else None
        agent = self.hosts[host].agent
        if out is not None and agent is not None:
            self.perform_agent(host, agent.on_backend(out, self.now))

    def _check_backend(self, host, sampled):
        agent, server = self.hosts[host].agent, self.hosts[host].server
        if agent is not None:
            listens = server is not None and server.listens
            ended = server is None if sampled else None
            effects = agent.on_backend_checked(listens, self.now, ended)
            self.perform_agent(host, effects)
