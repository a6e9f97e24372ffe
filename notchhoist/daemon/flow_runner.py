"""Creates and runs the daemon on the platform's hosts.

A process loads only the modules of its own role, because loading takes
processor time: a start takes 0.8 s on a host with 0.163 of a core.
"""

from __future__ import annotations

import gc
import math
import os
import time
from typing import TYPE_CHECKING

from notchhoist.base.draws import make_draw
from notchhoist.base.errors import AddressError
from notchhoist.daemon.flow_daemon import FlowDaemon, make_flow_daemon
from notchhoist.daemon.flow_journal import FlowJournal, write_to_stdout
from notchhoist.daemon.loop import Clock, ExceptionHandler, Loop
from notchhoist.daemon.ports import HostSockets, Ports, open_host_sockets
from notchhoist.links.scheduler import make_scheduler
from notchhoist.platform.packets import PacketCodec
from notchhoist.platform.settings import FileVersion, HostSettings

if TYPE_CHECKING:
    from notchhoist.flows.agent.node import AgentNode
    from notchhoist.flows.balancer.node import BalancerNode


def make_daemon(
    settings: HostSettings,
    loop: Loop,
    journal: FlowJournal,
    started_at: float,
) -> FlowDaemon:
    """Creates the daemon of a process and opens its sockets.

    Args:
        settings: Settings from the platform.
        loop: The event loop.
        journal: Writes the log.
        started_at: When the process started by the loop's clock, seconds.

    Raises:
        AddressError: An address cannot be bound.
    """
    codec = PacketCodec()
    _load_role(settings.balances)
    sockets = _open_sockets(settings, loop.clock, journal)
    # An agent has seen the packets of its server since its sockets are open.
    node: BalancerNode | AgentNode
    if settings.balances:
        node = _make_balancer(settings, codec, started_at)
    else:
        node = _make_agent(settings, codec, loop.clock())
    return make_flow_daemon(
        settings=settings,
        loop=loop,
        node=node,
        codec=codec,
        journal=journal,
        ports=Ports(
            loop=loop,
            sockets=sockets.datagrams,
            link=make_scheduler(settings.link_mbps),
            records=node.board.records,
        ),
        readiness=sockets.readiness,
    )


def _load_role(balances: bool) -> None:
    """Loads the modules of a role, so that no packet waits for that."""
    if balances:
        import notchhoist.flows.balancer.node
    else:
        import notchhoist.flows.agent.node
        import notchhoist.flows.agent.opening_gate  # noqa: F401


def _open_sockets(
    settings: HostSettings, clock: Clock, journal: FlowJournal
) -> HostSockets:
    """Opens the sockets; waits while a former process holds an address.

    Raises:
        AddressError: An address cannot be bound.
    """
    packets = settings.packets
    if not settings.balances:
        packets = settings.outbound or settings.packets
    first_peer_port = settings.peer_ports[0]
    udp_addresses = (
        packets,
        (settings.bind_ip, first_peer_port),
        (settings.bind_ip, first_peer_port + 1),
    )

    def open_all() -> HostSockets:
        return open_host_sockets(udp_addresses, settings.ready)

    try:
        return open_all()
    except AddressError as error:
        if not error.may_become_free:
            raise
        journal.log("start waits", outcome="for an address", reason=str(error))
    from notchhoist.daemon.start_waits import (
        ADDRESS_WAIT_MARGIN_S,
        await_addresses,
    )

    wait_s = settings.grace_s + ADDRESS_WAIT_MARGIN_S
    return await_addresses(open_all, wait_s, clock, time.sleep)


def _make_balancer(
    settings: HostSettings, codec: PacketCodec, started_at: float
) -> BalancerNode:
    from notchhoist.flows.balancer.node import make_balancer

    return make_balancer(
        settings.zone,
        codec,
        os.urandom(8).hex(),
        settings.ip,
        settings.peers,
        math.ceil(settings.link_mbps),
        settings.uses,
        settings.contact_s,
        settings.first_start,
        started_at,
    )


def _make_agent(
    settings: HostSettings, codec: PacketCodec, now: float
) -> AgentNode:
    from notchhoist.flows.agent.node import make_agent
    from notchhoist.flows.agent.opening_gate import OpeningLimits

    return make_agent(
        settings.service,
        codec,
        now,
        settings.uses,
        settings.first_start,
        OpeningLimits(
            settings.evacuate_s,
            settings.cold_overage,
            settings.cold_slack,
            settings.drain_s,
        ),
    )


def run_host(
    settings: HostSettings,
    path: str,
    version: FileVersion | None,
    clock: Clock,
    wall: Clock,
    started_at: float,
) -> None:
    """Runs a process until it gets a request to stop.

    Args:
        settings: Settings from the platform.
        path: Path of the settings file.
        version: Version of the file that was read.
        clock: The runtime's clock.
        wall: Time of day.
        started_at: When the process started by that clock, seconds.

    Raises:
        AddressError: An address cannot be bound.
    """
    loop = Loop(clock)
    journal = FlowJournal(settings.name, clock, wall, write_to_stdout)
    daemon = make_daemon(settings, loop, journal, started_at)
    daemon.start()
    daemon.watch_settings(path, version)
    loop.on_exception = _exception_handler(daemon)
    gc.enable()
    if settings.balances:
        _read_store(daemon, daemon.balancer)
    loop.run()
    # The journal may have reached its limit of lines.
    from notchhoist.daemon.exits import log_record

    log_record(settings.name, "stopped", status=0)


def _exception_handler(daemon: FlowDaemon) -> ExceptionHandler:
    """Returns what records the exceptions that leave callbacks."""
    from notchhoist.daemon.exceptions import ExceptionRecorder

    records = daemon.node.board.records
    return ExceptionRecorder(records, daemon.journal).record


def _read_store(daemon: FlowDaemon, node: BalancerNode) -> None:
    """Starts to read the platform's store."""
    from notchhoist.daemon.http_call import HttpClient
    from notchhoist.daemon.store_calls import StoreCalls
    from notchhoist.flows.published.budget import PropagationBudget
    from notchhoist.platform.feeding import StoreFeeder
    from notchhoist.platform.store import StoreReader

    settings, loop = daemon.settings, daemon.loop
    propagation_deadline_s = min(
        settings.apply_s, settings.drain_s, settings.evacuate_s
    )
    budget = PropagationBudget(propagation_deadline_s)
    node.synchronizer.max_age_s = budget.max_age_s
    draw = make_draw(settings.name)
    reader = StoreReader(draw, budget.watch_s, budget.answer_s)
    calls = StoreCalls(
        loop=loop,
        feeder=StoreFeeder(node, reader),
        client=HttpClient(loop, settings.store),
        confirming_client=HttpClient(loop, settings.store),
        perform=daemon.perform,
        observe=daemon.observe,
    )
    daemon.confirm = calls.confirm
    calls.call()
