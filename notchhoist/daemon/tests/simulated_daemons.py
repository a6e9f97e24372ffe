"""Daemons with simulated sockets and a paused clock."""

import collections
import json
import random
import socket

import httptools

from notchhoist.daemon.flow_daemon import FlowDaemon
from notchhoist.daemon.flow_journal import FlowJournal
from notchhoist.daemon.http_port import HttpPort, _Connection
from notchhoist.daemon.loop import Loop
from notchhoist.daemon.ports import Ports, SocketRole
from notchhoist.daemon.receiving import DatagramReceiver
from notchhoist.daemon.store_calls import StoreCalls
from notchhoist.daemon.ticking import Ticker
from notchhoist.flows.agent.node import make_agent
from notchhoist.flows.balancer.node import make_balancer
from notchhoist.flows.model.effects import ConnectResult
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.crafting import CODEC
from notchhoist.links.scheduler import make_scheduler
from notchhoist.platform.feeding import StoreFeeder
from notchhoist.platform.settings import decode_host_settings
from notchhoist.platform.store import StoreReader

BALANCERS = ("10.0.1.1", "10.0.1.2")
AGENT = "10.0.0.1"
PEER_PORTS = (27_720, 27_735)
PACKETS_PORT = 28_172
LINK_MBPS = 20.0


class SimulatedSocket:
    """A UDP socket whose datagrams go to other simulated sockets."""

    family = socket.AF_INET

    def __init__(self, network, address):
        self.network = network
        self.address = address
        self.arrived = collections.deque()
        network[address] = self

    def recvfrom(self, _):
        if not self.arrived:
            raise BlockingIOError
        return self.arrived.popleft()

    def sendto(self, data, to):
        target = self.network.get(to)
        if target is not None and len(target.arrived) < 200:
            target.arrived.append((bytes(data), self.address))


class Selector:
    """Finds no socket ready."""

    def select(self, timeout):
        return []

    def get_map(self):
        return {}

    def register(self, *_):
        pass

    def unregister(self, *_):
        pass


class Daemon(FlowDaemon):
    """A daemon whose checks of ports are drawn."""

    def _check_backend(self, sample):
        self.perform(self.agent.on_backend_checked(True, self.loop.clock()))

    def _check_host(self, host):
        result = random.Random(f"{host} {self.loop.clock()}").choice(
            list(ConnectResult)
        )
        now = self.loop.clock()
        self.perform(self.balancer.on_host_checked(host, result, now))


class Client:
    """An HTTP client whose answers the fuzzer gives."""

    headers: dict[str, str] = {}  # noqa: RUF012

    def __init__(self):
        self.pending = None

    def get(self, target, timeout_s, on_done, on_failed, *_):
        assert self.pending is None
        self.pending = (target, on_done, on_failed)

    def answer(self, status, body):
        if self.pending is not None:
            (_, on_done, _), self.pending = self.pending, None
            on_done(status, body)


class SimulatedConnection:
    """A TCP connection that keeps what the server sends."""

    def __init__(self):
        self.sent = b""

    def sendall(self, data):
        self.sent += data

    def close(self):
        pass


class Process:
    """A process on simulated sockets."""

    def __init__(self, network, clock, ip, balances):
        self.lines = collections.deque(maxlen=200)
        self.loop = Loop(clock, selector=Selector())
        self.settings = decode_host_settings(_settings(ip, balances))
        if balances:
            node = make_balancer("a", CODEC, ip, ip, BALANCERS, 20)
        else:
            node = make_agent(crafting.SERVICE, CODEC, clock())
        ports = (
            (ip, PACKETS_PORT),
            (ip, PEER_PORTS[0]),
            (ip, PEER_PORTS[0] + 1),
        )
        self.sockets = [SimulatedSocket(network, item) for item in ports]
        journal = FlowJournal(ip, clock, clock, self.lines.append)
        link = make_scheduler(LINK_MBPS)
        sending = Ports(
            self.loop, tuple(self.sockets), link, node.board.records
        )
        ticker = Ticker(self.loop, node)
        self.daemon = Daemon(
            self.settings, self.loop, node, CODEC, journal, sending, ticker
        )
        ticker.perform = self.daemon.perform
        self.node = node
        self.receiver = DatagramReceiver(
            balances, sending, node, CODEC, journal, self.daemon.perform
        )
        self.http = HttpPort(self.loop, None, self.daemon._answer_metrics_port)
        ticker.tick()
        self.client, self.confirming = Client(), Client()
        if balances:
            feeder = StoreFeeder(node, StoreReader(random.Random(ip).random))
            self.calls = StoreCalls(
                self.loop,
                feeder,
                self.client,
                self.confirming,
                self.daemon.perform,
                self.daemon.observe,
            )
            self.daemon.confirm = self.confirm
            self.calls.call()

    def confirm(self):
        if self.confirming.pending is None:
            self.calls.confirm()

    def receive(self, role, data, sender):
        self.sockets[role].arrived.append((data, sender))
        self.read()

    def read(self):
        """Reads all sockets, as the loop would."""
        receiver = self.receiver
        for role, read in (
            (SocketRole.PACKETS, receiver.on_packets),
            (SocketRole.PEERS, receiver.on_peers),
            (SocketRole.CONTROL, receiver.on_control),
        ):
            if self.sockets[role].arrived:
                read()

    def request(self, data):
        """Returns what a connection gets for some bytes."""
        sock = SimulatedConnection()
        connection = _Connection(sock, 0.0)
        connection.parser = httptools.HttpRequestParser(connection)
        self.http._feed(connection, data)
        return sock.sent


def _settings(ip, balances):
    listen = {"datagram_addr": f"{ip}:{PACKETS_PORT}", "ready": f"{ip}:28167"}
    document = {
        "node": ip,
        "serves": ["front" if balances else "side"],
        "ip": ip,
        "zone": "a",
        "listen": listen,
        "internal_ports": list(PEER_PORTS),
        "seeds": [f"{host}:1" for host in BALANCERS],
        "limits": {"link_mbps": LINK_MBPS},
        "platform": {"address": "10.0.9.9:80"},
    }
    if not balances:
        listen["outbound"] = f"{ip}:28162"
        document.update(app=f"{ip}:28165", service=crafting.SERVICE)
    return json.dumps(document).encode()
