"""A fleet of real daemons and their simulated environment."""

import random
import signal
import time
from collections import Counter
from functools import partial
from pathlib import Path

import attrs

from notchhoist.daemon.loop import Loop
from notchhoist.testing.opaque import published
from notchhoist.testing.opaque.judge import Judge
from notchhoist.testing.opaque.store import StoreModel
from notchhoist.testing.opaque.traffic import Workload
from notchhoist.testing.soak import addresses
from notchhoist.testing.soak.addresses import Block
from notchhoist.testing.soak.daemons import COMMAND, Daemon, Signals
from notchhoist.testing.soak.datagram_proxy import DatagramProxy
from notchhoist.testing.soak.endpoints import (
    CALLERS_PER_ZONE,
    Endpoints,
    ServerHost,
)
from notchhoist.testing.soak.routers import Routers
from notchhoist.testing.soak.stream_proxy import StreamProxy, open_stream_proxy

ZONES = ("war-memorial", "castlecliff", "aramoho")
SERVICES = {"hallbook": 2, "scoredrop": 1}
"""Number of backend servers of each service in each zone."""

SLOTS = 3
PROPAGATION_S = 3.0
"""Propagation deadline of a configuration, seconds."""

ENTRY_LEASE_S = 3.6
"""Lease of a server's entry, seconds: three missed heartbeats of 1.2 s."""

TICK_INTERVAL_S = 0.02
SUPERVISE_INTERVAL_S = 0.05
SEED_BALANCERS = 3
MAX_LAG_S = 0.25
"""An iteration of the event loop that is delayed by more than this many seconds
counts as a disruption, as it stalls the whole environment of the daemons. Half
of the time that a balancer waits for an agent."""

WORKLOADS = (
    Workload(
        *("roster-feed", "safe", "hallbook", 8443, 24, 40, 60, 2000),
        *(0.5, 6.0, 2, 1.0, 0.3, True),
    ),
    Workload(
        *("slot-booking", "unsafe", "hallbook", 8080, 8, 50, 900, 600),
        *(0.5, 6.0, 1, 2.0, 0.6),
    ),
    Workload(
        *("score-upload", "upload", "scoredrop", 9443, 3, 6, 20_000, 300),
        *(1.0, 8.0),
    ),
)
"""Kinds of requests, at rates that one process sustains with thirty daemons."""


@attrs.define(eq=False)
class Fleet:
    """All daemons of one run and everything around them.

    Attributes:
        rng: Source of all random draws.
        block: Addresses of the run.
        folder: Folder of settings files and logs.
        per_zone: Balancers in each zone.
        factor: Multiplier of the numbers in ``SERVICES``.
        command: Command line of the daemons.
        loop: The event loop.
        judge: Collects outcomes and violations.
        store: Model of the platform's store.
        store_port: Port of the store itself.
        proxy: Forwards datagrams between daemons.
        routers: Pick the balancers for callers' packets.
        endpoints: Callers and backend servers.
        balancers: Daemons on entry hosts, without a backend server.
        streams: Proxy between each balancer and the store, by its name.
        version: Newest version of the configuration.
        active_faults: Faults in progress, by name; while there are any, time
            bounds do not hold.
        planned_until: When planned work that began has ended, seconds; it takes
            longer the more daemons there are.
        drops: Number of current troubles that drop a route, by port.
        splits: Services with weights of split routes, by port.
        traffic_on: Whether callers send requests.
        lag_s: Longest delay of the event loop so far, seconds.
        ticked_at: When ``_tick`` last ran, seconds.
    """

    rng: random.Random
    block: Block
    folder: Path
    store_port: int
    store: StoreModel
    per_zone: int = 1
    factor: int = 1
    command: tuple[str, ...] = COMMAND
    loop: Loop = attrs.Factory(lambda: Loop(time.monotonic))
    judge: Judge = attrs.Factory(Judge)
    proxy: DatagramProxy = attrs.field(init=False)
    routers: Routers = attrs.field(init=False)
    endpoints: Endpoints = attrs.field(init=False)
    balancers: list[Daemon] = attrs.Factory(list)
    streams: dict[str, StreamProxy] = attrs.Factory(dict)
    version: int = 0
    active_faults: set[str] = attrs.Factory(set)
    planned_until: float = 0.0
    drops: Counter[int] = attrs.Factory(Counter)
    splits: dict[int, tuple[tuple[str, int], ...]] = attrs.Factory(dict)
    traffic_on: bool = False
    lag_s: float = 0.0
    ticked_at: float = float("inf")

    def __attrs_post_init__(self) -> None:
        self.proxy = DatagramProxy(self.loop, random.Random(self.rng.random()))
        self.routers = Routers(self.loop)
        self.endpoints = Endpoints(
            self.loop,
            random.Random(self.rng.random()),
            self.judge,
            self.routers,
        )

    @property
    def agents(self) -> list[Daemon]:
        """Daemons on the hosts of backend servers."""
        return [
            server_host.daemon for server_host in self.endpoints.server_hosts
        ]

    @property
    def daemons(self) -> list[Daemon]:
        """All daemons, balancers first."""
        return self.balancers + self.agents

    def build(self) -> None:
        """Creates all parts of the fleet and starts them.

        Raises:
            OSError: An address cannot be bound.
        """
        for zone_number, zone in enumerate(ZONES):
            number = 0
            for _ in range(self.per_zone):
                self._add_balancer(zone_number, number)
                number += 1
            for service, count in SERVICES.items():
                for _ in range(count * self.factor):
                    self._add_server(zone_number, number, service)
                    number += 1
            hosts = [
                self.block.caller_ip(zone_number, item)
                for item in range(CALLERS_PER_ZONE)
            ]
            self.endpoints.add_callers(zone, hosts)
        self.publish()
        seeds = [
            daemon.advertised_ip for daemon in self.balancers[:SEED_BALANCERS]
        ]
        for daemon in self.daemons:
            daemon.make_settings(seeds)
            daemon.write_settings()
        self._supervise()
        self._tick()
        self.routers.probe()

    def _create_daemon(self, zone: int, number: int, service: str) -> Daemon:
        daemon = Daemon(
            name=f"{service or 'entry'}-{zone}-{number}",
            zone=ZONES[zone],
            bound_ip=self.block.bound_ip(zone, number),
            advertised_ip=self.block.advertised_ip(zone, number),
            service=service,
            folder=self.folder,
            command=self.command,
        )
        self.proxy.add(daemon.bound_ip, daemon.advertised_ip)
        return daemon

    def _add_balancer(self, zone: int, number: int) -> None:
        daemon = self._create_daemon(zone, number, "")
        self.balancers.append(daemon)
        self.routers.add(daemon)
        self.streams[daemon.name] = open_stream_proxy(
            self.loop,
            (daemon.advertised_ip, addresses.STORE_PORT),
            (self.block.store_ip(), self.store_port),
        )

    def _add_server(self, zone: int, number: int, service: str) -> None:
        server_host = ServerHost(
            self._create_daemon(zone, number, service), SLOTS
        )
        self.endpoints.server_hosts.append(server_host)
        self.start_server(server_host)

    def start_server(
        self, server_host: ServerHost, server_id: str = ""
    ) -> None:
        """Starts a backend server and writes its entry.

        Args:
            server_host: Host of the server.
            server_id: Id of the server; empty for a new one.
        """
        self.endpoints.start_server(server_host, server_id)
        self.announce(server_host)

    def announce(self, server_host: ServerHost) -> None:
        """Writes a server's entry into the store if it is alive."""
        server = server_host.server
        if server is not None and server.alive:
            entry = published.entry_of(server_host, server, self.loop.clock())
            self.store.put(f"servers/{server.server_id}", entry)

    def publish(self) -> None:
        """Publishes a new version of the configuration."""
        self.version += 1
        self.write_configuration()

    def configuration(self) -> dict[str, object]:
        """Returns the newest version of the configuration."""
        kinds = [
            attrs.evolve(item, split=self.splits.get(item.port, ()))
            for item in WORKLOADS
            if not self.drops[item.port]
        ]
        return published.configuration_of(self.version, kinds)

    def write_configuration(self) -> None:
        """Writes the newest version into the store."""
        self.store.put("op/config", self.configuration())

    def split_route(
        self, workload: Workload, targets: tuple[tuple[str, int], ...]
    ) -> None:
        """Publishes a route with weighted services; none for its own only."""
        self.judge.permit(workload.name, [service for service, _ in targets])
        self.splits[workload.port] = targets
        self.publish()

    def drop_route(self, port: int) -> None:
        """Drops a route; its callers send no requests until it is restored."""
        self.drops[port] += 1
        self.endpoints.unrouted.add(port)
        self.publish()

    def restore_route(self, port: int) -> None:
        """Undoes one drop; callers resume after the last one has propagated."""
        self.drops[port] -= 1
        self.publish()
        self.loop.call_later(PROPAGATION_S, lambda: self._resume_route(port))

    def _resume_route(self, port: int) -> None:
        if not self.drops[port]:
            self.endpoints.unrouted.discard(port)

    def disturb(self) -> None:
        """Records an unplanned disruption at the present time.

        Its effects may be read as late as the event loop may lag.
        """
        self.judge.disturb(self.loop.clock() + MAX_LAG_S)

    def add_fault(self, lasts_s: float) -> None:
        """Records a fault that ends by itself after some seconds."""
        token = f"fault that began at {self.loop.clock()} for {lasts_s} s"
        self.active_faults.add(token)
        end = partial(self.active_faults.discard, token)
        self.loop.call_later(lasts_s, end)

    def begin_traffic(self) -> None:
        """Starts Poisson arrivals of requests for each workload."""
        self.traffic_on = True
        for workload in WORKLOADS:
            self._schedule_request(workload)

    def _schedule_request(self, workload: Workload) -> None:
        pause = self.rng.expovariate(workload.per_s)
        self.loop.call_later(pause, partial(self._send_request, workload))

    def _send_request(self, workload: Workload) -> None:
        if not self.traffic_on:
            return
        if workload.port not in self.endpoints.unrouted:
            zone = self.rng.choice(ZONES)
            self.endpoints.callers[zone].ask(workload, self.loop.clock())
        self._schedule_request(workload)

    def _tick(self) -> None:
        now = self.loop.clock()
        lag = now - self.ticked_at - TICK_INTERVAL_S
        self.ticked_at = now
        self.lag_s = max(self.lag_s, lag)
        if self.active_faults or lag > MAX_LAG_S:
            self.disturb()
        self.endpoints.tick(now)
        self.loop.call_later(TICK_INTERVAL_S, self._tick)

    def _supervise(self) -> None:
        now = self.loop.clock()
        for daemon in self.daemons:
            if daemon.killed:
                # Nothing is promised until some seconds after its next start.
                self.disturb()
            starts = daemon.starts
            status = daemon.supervise(now)
            if daemon.starts > starts and daemon.signals_at_starts:
                self._send_signals(daemon, daemon.signals_at_starts.pop(0))
            if status is not None:
                text = f"{daemon.name} ended by itself with {status}"
                self.judge.break_rule("EXIT", text, now)
        self.loop.call_later(SUPERVISE_INTERVAL_S, self._supervise)

    def _send_signals(self, daemon: Daemon, signals: Signals) -> None:
        """Sends signals to a process that has just started."""
        process = daemon.process

        def send(number: signal.Signals) -> None:
            if daemon.process is process:
                daemon.send(number, self.loop.clock())

        for delay_s, number in signals:
            self.loop.call_later(delay_s, partial(send, number))

    def run_until(self, when: float) -> None:
        """Runs the event loop until a time."""
        self.loop.running = True
        self.loop.call_at(when, self.loop.stop)
        self.loop.run()

    def close(self) -> None:
        """Kills all daemons and closes all sockets."""
        for daemon in self.daemons:
            daemon.shut_down()
        self.endpoints.close()
        self.proxy.close()
        for stream in self.streams.values():
            stream.close()
