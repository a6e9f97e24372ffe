"""Simulation of kills of many processes, judged as the platform promises.

Balancers exchange their views, and read the store once it answers them. A reset
of an open flow is an error if the store, the balancer that sent it and the host
of the flow's server have been undisturbed for a while.
"""

import collections
from functools import partial

from msgspec import Struct

from notchhoist.flows.decisions.completeness import CONTACT_S, STARTUP_MAX_S
from notchhoist.flows.model.effects import SendPeer
from notchhoist.flows.tests import crafting
from notchhoist.flows.tests.history import Simulation
from notchhoist.flows.tests.network import BALANCERS, HOSTS

SERVICES = (crafting.SERVICE, "tidepool")
"""The service that the route names first, and another one."""

IN_TOUCH_S = CONTACT_S - STARTUP_MAX_S + 0.2
"""Time without disturbance after which promises hold, seconds. Processes of the
simulation start at once, those of the platform take up to ``STARTUP_MAX_S``;
0.2 s cover the way of a reset."""

POWER_LOSS_S = 1.2
"""Time that hosts are without power, seconds."""

REGISTERED_AGAIN_S = (0.2, 1.9)
"""Time from the return of the store until a server that became unlisted is
listed again, seconds."""


class BrokenPromise(Struct, frozen=True):
    """A reset of an open flow that the platform's promises exclude.

    Attributes:
        at: When the caller got it, seconds.
        sender: IP of the balancer or agent that sent it.
        host: IP of the flow's host.
        port: Port of the caller.
    """

    at: float
    sender: str
    host: str
    port: int


class Fleet(Simulation):
    """Simulation with disturbances of many processes at once.

    Attributes:
        services: Service of each host's server, by IP.
        disturbed_at: Until when each process or host was disturbed, seconds, by
            IP of its host.
        store_disturbed_at: Until when the store was silent, seconds.
        listed: Ids of the servers that the store lists.
        unread: IPs of balancers that have not read the store yet.
        broken: Resets that the platform's promises exclude.
    """

    def __init__(self, seed, services=SERVICES[:1] * 3, loss=0.0):
        self.services = dict(zip(HOSTS, services, strict=True))
        self.disturbed_at = collections.defaultdict(lambda: float("-inf"))
        self.store_disturbed_at = float("-inf")
        self.listed = set()
        self.unread = set()
        self.broken = []
        super().__init__(seed, loss=loss)
        for ip, service in self.services.items():
            if service != crafting.SERVICE:
                self.reassign_host(ip, service=service)
        self.run(1.0)

    # The store, and the balancers' messages to each other.

    def _balancer(self, ip):
        self.unread.add(ip)
        return self._unread_balancer(ip, BALANCERS)

    def _serve_store(self, ip):
        if self.store_cut_until.get(ip, 0.0) <= self.now:
            if ip in self.unread:
                self._read_all(ip)
            node = self.balancers[ip]
            node.synchronizer.on_confirmed(self.now)
        super()._serve_store(ip)

    def _read_all(self, ip):
        self.unread.discard(ip)
        self.unread_events[ip].clear()
        hosts = self.hosts.values()
        entries = [host.entry for host in hosts if host.entry is not None]
        listed = [item for item in entries if item.server_id in self.listed]
        self._read_store(self.balancers[ip], listed)
        self.balancers[ip].on_published(self.now)

    def publish(self, ip, entry):
        self.listed.add(entry.server_id)
        super().publish(ip, entry)

    def remove(self, server_id):
        self.listed.discard(server_id)
        super().remove(server_id)

    def perform_balancer(self, ip, effects):
        others = []
        for effect in effects:
            match effect:
                case SendPeer(host, message) if host in BALANCERS:
                    take = partial(self._at_peer, ip, host, message)
                    self.travel(ip, host, take)
                case _:
                    others.append(effect)
        super().perform_balancer(ip, others)

    def _at_peer(self, sender, ip, message):
        effects = self.balancers[ip].on_peer(sender, message, self.now)
        self.perform_balancer(ip, effects)

    # Disturbances.

    def _disturb(self, *ips, for_s=0.0):
        for ip in ips:
            until = self.now + for_s
            self.disturbed_at[ip] = max(self.disturbed_at[ip], until)

    def kill_agents(self, ips, away_s):
        self._disturb(*ips, for_s=away_s)
        for ip in ips:
            self.stop_agent(ip, away_s, planned=False)

    def kill_balancers(self, ips):
        self._disturb(*ips)
        for ip in ips:
            self.restart_balancer(ip)

    def lose_power(self, cold_s):
        """Takes the power from all machines; returns when they are back."""
        for ip in HOSTS:
            self.power_off(ip)
        self.run(POWER_LOSS_S)
        for ip in HOSTS:
            self._return_power(ip, cold_s)
        self.kill_balancers(BALANCERS)

    def lose_power_of(self, ip, cold_s):
        if not self.hosts[ip].powered_off:
            self.power_off(ip)
            self._disturb(ip, for_s=POWER_LOSS_S)
            self.later(POWER_LOSS_S, partial(self._return_power, ip, cold_s))

    def _return_power(self, ip, cold_s):
        if not self.hosts[ip].powered_off:
            return
        self.hosts[ip].powered_off = False
        self._disturb(ip)
        self.start_server(ip, self.services[ip], cold_s=cold_s)
        self.start_agent(ip)

    def replace_server(self, ip, cold_s):
        if self.hosts[ip].server is not None:
            self._disturb(ip)
            self.crash(ip)
            self.start_server(ip, self.services[ip], cold_s=cold_s)

    def silence_store(self, for_s, lapse):
        """Silences the store; with ``lapse`` all entries expire meanwhile."""
        self.cut_store(BALANCERS, for_s)
        until = self.now + for_s
        self.store_disturbed_at = max(self.store_disturbed_at, until)
        for ip in HOSTS if lapse else ():
            back_s = for_s + self.rng.uniform(*REGISTERED_AGAIN_S)
            if not self.hosts[ip].powered_off:
                self.unlist(ip, back_s, outage=True)

    def cut_from_store(self, ip, for_s):
        self.cut_store([ip], for_s)
        self._disturb(ip, for_s=for_s)

    def cut_link(self, one, other, for_s):
        self.cut(one, other, for_s)
        self._disturb(one, other, for_s=for_s)

    # Callers.

    def ask_some(self, copies):
        for port in sorted(self.callers):
            if self.rng.random() < 0.5:
                self.ask(port, copies)

    def _check_reset(self, sender, port):
        self.resets += bool(self.callers[port].server_seq)
        if self._is_failed_opening(sender, port):
            return
        for host in self.hosts.values():
            if host.server is None or port not in host.server.open:
                continue
            disturbed_at = max(
                self.store_disturbed_at,
                self.disturbed_at[sender],
                self.disturbed_at[host.ip],
            )
            if self.now - disturbed_at >= IN_TOUCH_S:
                self.broken.append(
                    BrokenPromise(self.now, sender, host.ip, port)
                )
