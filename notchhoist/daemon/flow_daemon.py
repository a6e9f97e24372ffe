"""The daemon on the platform's hosts, in both roles, on the small event loop.

Modules that are not needed at once are loaded after the sockets are opened, so
that a restarted process serves as early as possible.
"""

import signal
import socket
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, cast

from msgspec import Struct
from msgspec.structs import replace

from notchhoist.base import datagrams
from notchhoist.daemon.decision_groups import group_decisions
from notchhoist.daemon.flow_journal import FlowJournal, flow_text
from notchhoist.daemon.flow_metrics import (
    METRICS_PATH,
    METRICS_PORT,
    metrics_text,
)
from notchhoist.daemon.http_port import Reply, serve_http
from notchhoist.daemon.loop import Loop
from notchhoist.daemon.port_check import check_backend, check_host
from notchhoist.daemon.ports import Ports, SocketRole
from notchhoist.daemon.receiving import DatagramReceiver
from notchhoist.daemon.signals import watch_signals
from notchhoist.daemon.ticking import Ticker
from notchhoist.flows.model.effects import (
    CheckBackend,
    CheckHost,
    ConfirmView,
    ConnectResult,
    Effect,
    SendAgent,
    SendBackend,
    SendBalancer,
    SendCaller,
    SendPeer,
)
from notchhoist.flows.model.mechanisms import NAMES
from notchhoist.flows.model.records import Decision, Timing
from notchhoist.platform.packets import PacketCodec
from notchhoist.platform.readiness import answer_check
from notchhoist.platform.settings import FileVersion, HostSettings

if TYPE_CHECKING:
    from notchhoist.daemon.settings_watch import SettingsWatch
    from notchhoist.flows.agent.node import AgentNode
    from notchhoist.flows.balancer.node import BalancerNode

BALANCER_STOP_DELAY_S = 1.8
"""How long a balancer goes on forwarding after a request to stop, seconds.
Routers check its readiness twice a second and stop using it after two failures,
and some packets are in flight."""

MAX_GRACE_SHARE = 0.6
"""Largest share of the time between a request to stop and the kill that a
process uses before it stops, which matters where that time is short."""

AGENT_STOP_DELAY_S = 0.05
"""How long an agent runs after a request to stop, seconds. It only notifies the
balancers; after that a quick restart is best for its flows."""

BACKEND_EXIT_WAIT_S = 3.0
"""How long an agent of a draining server waits at most for the exit of the
server after a request to stop, seconds: idle flows there end with the exit."""

DROPPED_LINES_INTERVAL_S = 5.0
"""How often the number of log lines that were left out is logged, seconds."""


class FlowDaemon(Struct, eq=False):
    """One process: sockets, timers and a node; see ``make_flow_daemon``.

    Attributes:
        settings: Settings from the platform.
        loop: The event loop.
        node: Takes packets and messages, and decides on effects.
        codec: Codec of the packets.
        journal: Writer of the logs.
        ports: The sockets of the process.
        ticker: Ticks of the node.
        confirm: Reads the store at once; None in a process that does not read
            it.
        readiness: Listens for readiness checks.
        settings_watch: Follows changes of the settings file.
    """

    settings: HostSettings
    loop: Loop
    node: "BalancerNode | AgentNode"
    codec: PacketCodec
    journal: FlowJournal
    ports: Ports
    ticker: Ticker
    confirm: Callable[[], None] | None = None
    readiness: socket.socket | None = None
    settings_watch: "SettingsWatch | None" = None

    @property
    def balancer(self) -> "BalancerNode":
        """The node, in the role of balancer.

        A process loads only the modules of its own role. This reduces the
        processor time until a balancer listens to 0.91 and until an agent
        listens to 0.94 of what it was (each in relation to the start of the
        interpreter alone), and saves 0.5 MB.
        """
        return cast("BalancerNode", self.node)

    @property
    def agent(self) -> "AgentNode":
        """The node, in the role of agent."""
        return cast("AgentNode", self.node)

    def start(self) -> None:
        """Starts to serve: sets up sockets, HTTP ports, signals and timers."""
        from notchhoist.daemon.metrics_port import open_metrics_port

        loop = self.loop
        watch_signals(loop, self._on_signal)
        DatagramReceiver(
            self.settings.balances,
            self.ports,
            self.node,
            self.codec,
            self.journal,
            self.perform,
        ).start(loop)
        if self.readiness is not None:
            serve_http(loop, self.readiness, self._answer_readiness)
        open_metrics_port(
            loop,
            self.journal,
            (self.settings.bind_ip, METRICS_PORT),
            self._answer_metrics_port,
        )
        loop.call_later(DROPPED_LINES_INTERVAL_S, self._log_dropped_lines)
        self.journal.log_start(self.settings.balances)
        self._log_invalid_settings(self.settings)
        disabled = [
            name for name in NAMES if not getattr(self.settings.uses, name)
        ]
        if disabled:
            self.journal.log("mechanisms", outcome="out of use", off=disabled)
        self.ticker.tick()

    def watch_settings(self, path: str, version: FileVersion | None) -> None:
        """Follows changes of the settings file.

        Args:
            path: Path of the file.
            version: Version of the file that was read.
        """
        from notchhoist.daemon.settings_watch import SettingsWatch

        self.settings_watch = SettingsWatch(
            path, self.loop, self.journal, self._apply_settings, version
        )
        self.settings_watch.check()

    def _log_invalid_settings(self, settings: HostSettings) -> None:
        """Logs invalid settings for which a default is used."""
        for problem in settings.problems:
            self.journal.log(
                "not understood", outcome=str(problem), place=problem.place
            )

    def _answer_readiness(self, path: str) -> Reply:
        node = self.node
        not_ready_s = node.readiness.not_ready_s(self.loop.clock())
        return Reply(*answer_check(path, node.board.not_ready, not_ready_s))

    def _answer_metrics_port(self, path: str) -> Reply:
        now, settings = self.loop.clock(), self.settings
        if path == METRICS_PATH:
            link = self.ports.link
            text = metrics_text(self.node, settings.balances, now, link)
            return Reply(200, text)
        from notchhoist.daemon.flow_state import answer_state

        reply = answer_state(self.node, settings.name, settings.zone, path, now)
        return reply or Reply(404)

    def observe(self, timing: Timing, outcome: str, since: float) -> None:
        """Adds the time since a moment to the histogram of a duration."""
        elapsed_s = self.loop.clock() - since
        self.node.board.records.observe(timing, "", outcome, elapsed_s)

    def perform(self, effects: Iterable[Effect]) -> None:
        """Performs effects and schedules the next tick."""
        for effect in effects:
            try:
                self._perform_one(effect)
            except Exception as error:  # Any type: it must cost one effect.
                self.loop.report(f"perform {type(effect).__name__}", error)
        self.loop.call(self._log_decisions)
        self.ticker.schedule()

    def _perform_one(self, effect: Effect) -> None:
        settings = self.settings
        match effect:
            case SendAgent(host, datagram, flow, seq):
                to = (host, settings.peer_ports[0])
                self.ports.send(SocketRole.PEERS, datagram, to, flow, seq)
            case SendBalancer(host, datagram):
                to = (host, settings.peer_ports[0])
                self.ports.send(SocketRole.PEERS, datagram, to)
            case SendCaller(host, datagram, flow, seq):
                to = (host, settings.packets[1])
                self.ports.send(SocketRole.PACKETS, datagram, to, flow, seq)
            case SendBackend():
                # It is on this host: the packet does not use the link.
                sock = self.ports.sockets[SocketRole.PACKETS]
                datagrams.send(sock, effect.datagram, settings.backend)
            case SendPeer():
                self._send_peer(effect)
            case CheckBackend():
                self._check_backend(effect.packet)
            case CheckHost():
                self._check_host(effect.host)
            case ConfirmView():
                if self.confirm is not None:
                    self.confirm()

    def _send_peer(self, effect: SendPeer) -> None:
        from notchhoist.flows.codec.message_codec import encode_message

        to = (effect.host, self.settings.peer_ports[0] + 1)
        self.ports.send(SocketRole.CONTROL, encode_message(effect.message), to)

    def _check_backend(self, sample: bytes) -> None:
        def report(listens: bool, exited: bool | None) -> None:
            now = self.loop.clock()
            self.perform(self.agent.on_backend_checked(listens, now, exited))

        if self.settings.backend is not None:
            check_backend(self.loop, self.settings.backend, sample, report)

    def _check_host(self, host: str) -> None:
        def report(result: ConnectResult) -> None:
            now = self.loop.clock()
            self.perform(self.balancer.on_host_checked(host, result, now))

        # Every agent listens on the metrics port as soon as it serves.
        check_host(self.loop, (host, METRICS_PORT), report)

    def _log_decisions(self) -> None:
        decisions = self.node.board.records.decisions
        if not decisions:
            return
        try:
            lines = group_decisions(decisions)
        finally:
            decisions.clear()
        for decision in lines:
            try:
                self._log_decision(decision)
            except Exception as error:  # Any type: it must cost one line.
                self.loop.report("log", error)

    def _log_decision(self, decision: Decision) -> None:
        fields = dict(decision.inputs)
        if decision.flow:
            fields["flow"] = flow_text(decision.flow)
        self.journal.log(decision.event, outcome=decision.outcome, **fields)

    def _log_dropped_lines(self) -> None:
        """Logs periodically how many log lines were left out."""
        self.loop.call_later(DROPPED_LINES_INTERVAL_S, self._log_dropped_lines)
        self.journal.log_dropped()

    def _apply_settings(self, settings: HostSettings) -> None:
        """Puts those of changed settings in force that may change."""
        self._log_invalid_settings(settings)
        if any(item.place.startswith("seeds") for item in settings.problems):
            settings = replace(settings, peers=self.settings.peers)
        if self.settings.balances:
            self.balancer.synchronizer.seeds = settings.peers
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        # Only the peers change at run time: bound addresses stay as they are
        # until the next start.
        self.settings = replace(self.settings, peers=settings.peers)
        self.journal.log("reload", outcome="read", changed=changed)

    def _on_signal(self, number: int) -> None:
        if number == signal.SIGHUP:
            if self.settings_watch is not None:
                self.loop.call(self.settings_watch.reload)
            return
        if self.node.board.stopping:
            return
        self.journal.log("stop", signal=signal.Signals(number).name)
        if not self.settings.balances:
            self.loop.call_later(AGENT_STOP_DELAY_S, self._stop_agent)
            stop_after_s = min(
                BACKEND_EXIT_WAIT_S, MAX_GRACE_SHARE * self.settings.grace_s
            )
            self.loop.call_later(stop_after_s, self.loop.stop)
            self.perform(self.agent.stop(self.loop.clock()))
        else:
            self.balancer.stop()
            stop_after_s = min(
                BALANCER_STOP_DELAY_S, MAX_GRACE_SHARE * self.settings.grace_s
            )
            self.loop.call_later(stop_after_s, self.loop.stop)

    def _stop_agent(self) -> None:
        """Stops an agent, unless it must wait until its server exits."""
        if self.agent.awaits_backend_exit():
            self.loop.call_later(AGENT_STOP_DELAY_S, self._stop_agent)
        else:
            self.loop.stop()


def make_flow_daemon(
    settings: HostSettings,
    loop: Loop,
    node: "BalancerNode | AgentNode",
    codec: PacketCodec,
    journal: FlowJournal,
    ports: Ports,
    readiness: socket.socket | None = None,
) -> FlowDaemon:
    """Creates the daemon of a process; see ``FlowDaemon``."""
    ticker = Ticker(loop, node)
    daemon = FlowDaemon(settings, loop, node, codec, journal, ports, ticker)
    daemon.readiness = readiness
    ticker.perform = daemon.perform
    return daemon
