"""The daemon on the platform's hosts: both roles over the small loop.

The sockets are opened before anything else is loaded that can wait, so that a
restarted process serves as early as it can.
"""

import os
import signal
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, cast

from msgspec import Struct, field
from msgspec.structs import replace

from notchhoist.base import datagrams
from notchhoist.base.errors import CodecError, SettingsRefusedError
from notchhoist.daemon.decision_groups import grouped
from notchhoist.daemon.flow_journal import FlowJournal, flow_text
from notchhoist.daemon.flow_metrics import (
    METRICS_PATH,
    METRICS_PORT,
    metrics_text,
)
from notchhoist.daemon.http_port import Reply, open_http_port
from notchhoist.daemon.loop import Loop, Timer
from notchhoist.daemon.port_check import (
    BACKEND_WAIT_S,
    HOST_WAIT_S,
    check_packet_port,
    check_port,
)
from notchhoist.daemon.ports import Port, Ports
from notchhoist.daemon.signals import watch_signals
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
from notchhoist.flows.model.records import Count, Timing
from notchhoist.platform.packets import PacketCodec
from notchhoist.platform.readiness import status_for
from notchhoist.platform.settings import (
    HostSettings,
    load_host_settings,
    settings_path,
)

if TYPE_CHECKING:
    from notchhoist.flows.agent.node import AgentNode
    from notchhoist.flows.balancer.node import BalancerNode

LEAVE_S = 1.8
"""After a request to stop a balancer forwards for this long, seconds: routers
ask twice a second and leave after two misses, and packets are under way."""

LEAVE_SHARE = 0.6
"""The same as a share of the time until a kill, where that is short."""

AGENT_LEAVE_S = 0.05
"""An agent only tells the balancers; then a quick restart serves best."""

WATCH_END_S = 3.0
"""An agent whose server leaves waits for the server's end at most so long after
a request to stop, seconds: flows that rest there end with it."""

TIMED_EVERY = 64
"""One packet in so many is timed, to keep the clock out of the others."""

LOOK_EVERY_S = 5.0
"""How often the settings file is looked at, seconds: the platform may change it
without a signal, and nothing in it is urgent."""

MIN_TICK_S = 0.005
"""Least time between two ticks; a wake-up costs processor time."""


class FlowDaemon(Struct, eq=False):
    """One process: sockets, timers and a node.

    Attributes:
        settings: What the platform told.
        loop: The event loop.
        node: The decisions.
        codec: Codec of the packets.
        journal: The logs.
        ports: Its sockets.
        tick_timer: The next tick.
        confirm: Reads the store at once; set where the process may call it.
        packets_read: Packets so far; some are timed.
        settings_changed_at: When the settings file last changed, nanoseconds.
    """

    settings: HostSettings
    loop: Loop
    node: "BalancerNode | AgentNode"
    codec: PacketCodec
    journal: FlowJournal
    ports: Ports
    tick_timer: Timer = field(default_factory=lambda: Timer(float("inf"), None))
    confirm: Callable[[], None] | None = None
    packets_read: int = 0
    settings_changed_at: int = 0

    @property
    def balancer(self) -> "BalancerNode":
        """The node of a balancer.

        A process loads only its own role's modules: a balancer listens after
        0.91 of the processor time, an agent after 0.94 (means of three runs
        in turn, ratios to the interpreter alone), with 0.5 MB less.
        """
        return cast("BalancerNode", self.node)

    @property
    def agent(self) -> "AgentNode":
        """The node of an agent."""
        return cast("AgentNode", self.node)

    def start(self) -> None:
        """Begins to serve."""
        loop = self.loop
        sockets = self.ports.sockets
        loop.on_readable(sockets[Port.PACKETS], self._on_packets)
        loop.on_readable(sockets[Port.PEERS], self._on_peers)
        loop.on_readable(sockets[Port.CONTROL], self._on_control)
        open_http_port(loop, self.settings.ready, self._answer)
        metrics_at = (self.settings.bind_ip, METRICS_PORT)
        open_http_port(loop, metrics_at, self._answer_metrics)
        watch_signals(loop, self._on_signal)
        self.settings_changed_at = _changed_at(settings_path())
        loop.call_later(LOOK_EVERY_S, self._look_for_changes)
        self.journal.log(
            "start", role="balancer" if self.settings.balances else "agent"
        )
        self._log_problems(self.settings)
        off = [name for name in NAMES if not getattr(self.settings.uses, name)]
        if off:
            self.journal.log("mechanisms", outcome="out of use", off=off)
        self._tick()

    def _log_problems(self, settings: HostSettings) -> None:
        """Logs settings that were wrong and could be done without."""
        for problem in settings.problems:
            self.journal.log(
                "not understood", outcome=str(problem), place=problem.place
            )

    def _answer(self, path: str) -> Reply:
        return Reply(status_for(path, lambda: self.node.is_ready))

    def _metrics(self, now: float) -> str:
        return metrics_text(
            self.node, self.settings.balances, now, self.ports.link
        )

    def _answer_metrics(self, path: str) -> Reply:
        now = self.loop.clock()
        if path == METRICS_PATH:
            return Reply(200, self._metrics(now))
        from notchhoist.daemon.flow_state import answer_state

        settings = self.settings
        found = answer_state(self.node, settings.name, settings.zone, path, now)
        return found or Reply(404)

    def _on_packets(self) -> None:
        balances = self.settings.balances
        for raw, _ in datagrams.receive_batch(self.ports.sockets[Port.PACKETS]):
            now = self.loop.clock()
            try:
                if balances:
                    segment = self.codec.decode_request(raw)
                    effects = self.balancer.on_caller(segment, now)
                else:
                    segment = self.codec.decode_answer(raw)
                    effects = self.agent.on_backend(segment, now)
            except CodecError as error:
                self._on_malformed(error)
                continue
            self.perform(effects)
            self.packets_read += 1
            if self.packets_read % TIMED_EVERY == 0:
                self.observe(Timing.FORWARDING, "forwarded", now)

    def observe(self, timing: Timing, outcome: str, since: float) -> None:
        """Counts the time since a moment."""
        took_s = self.loop.clock() - since
        self.node.board.records.observe(timing, "", outcome, took_s)

    def _on_peers(self) -> None:
        balances = self.settings.balances
        for raw, (host, _) in datagrams.receive_batch(
            self.ports.sockets[Port.PEERS]
        ):
            now = self.loop.clock()
            try:
                segment = self.codec.decode_request(raw)
            except CodecError as error:
                self._on_malformed(error)
                continue
            if balances:
                self.perform(self.balancer.on_agent(host, segment, now))
            else:
                self.perform(self.agent.on_balancer(host, segment, now))

    def _on_control(self) -> None:
        from notchhoist.flows.codec.message_codec import decode_message

        for raw, (host, _) in datagrams.receive_batch(
            self.ports.sockets[Port.CONTROL]
        ):
            try:
                message = decode_message(raw)
            except CodecError as error:
                self._on_malformed(error)
                continue
            now = self.loop.clock()
            self.perform(self.node.on_peer(host, message, now))

    def _on_malformed(self, error: CodecError) -> None:
        counters = self.node.board.records.counters
        counters[Count.MALFORMED] += 1
        self.journal.log("malformed", reason=str(error))

    def perform(self, effects: Iterable[Effect]) -> None:
        """Carries out effects and sets the next tick."""
        for effect in effects:
            self._perform_one(effect)
        self._log_decisions()
        self._schedule()

    def _perform_one(self, effect: Effect) -> None:
        settings = self.settings
        match effect:
            case SendAgent(host, datagram, flow, seq):
                to = (host, settings.peer_ports[0])
                self.ports.send(Port.PEERS, datagram, to, flow, seq)
            case SendBalancer(host, datagram):
                to = (host, settings.peer_ports[0])
                self.ports.send(Port.PEERS, datagram, to)
            case SendCaller(host, datagram, flow, seq):
                to = (host, settings.packets[1])
                self.ports.send(Port.PACKETS, datagram, to, flow, seq)
            case SendBackend():
                # It is on this host: no link is between.
                sock = self.ports.sockets[Port.PACKETS]
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
        self.ports.send(Port.CONTROL, encode_message(effect.message), to)

    def _check_backend(self, sample: bytes) -> None:
        backend = self.settings.backend
        if backend is None:
            return

        def end(listens: bool, ended: bool | None = None) -> None:
            now = self.loop.clock()
            self.perform(self.agent.on_backend_checked(listens, now, ended))

        def on_packet_checked(reach: ConnectResult) -> None:
            end(listens=False, ended=reach is ConnectResult.REFUSED)

        def on_checked(reach: ConnectResult) -> None:
            # One that does not answer at all may be slow, and its flows live.
            if reach is not ConnectResult.REFUSED:
                end(listens=True)
            elif sample:
                check_packet_port(self.loop, backend, sample, on_packet_checked)
            else:
                end(listens=False)

        check_port(self.loop, backend, BACKEND_WAIT_S, on_checked)

    def _check_host(self, host: str) -> None:

        def on_checked(reach: ConnectResult) -> None:
            now = self.loop.clock()
            self.perform(self.balancer.on_host_checked(host, reach, now))

        # Every agent listens there as soon as it serves.
        address = (host, METRICS_PORT)
        check_port(self.loop, address, HOST_WAIT_S, on_checked)

    def _log_decisions(self) -> None:
        decisions = self.node.board.records.decisions
        if not decisions:
            return
        lines = grouped(decisions)
        decisions.clear()
        for decision in lines:
            fields = dict(decision.inputs)
            if decision.flow:
                fields["flow"] = flow_text(decision.flow)
            self.journal.log(decision.event, outcome=decision.outcome, **fields)

    def _tick(self) -> None:
        self.tick_timer = Timer(float("inf"), None)
        self.perform(self.node.tick(self.loop.clock()))

    def _schedule(self) -> None:
        """Sets the next tick; one that is set is never put off.

        Packets that came faster than ``MIN_TICK_S`` put an overdue tick off
        again and again: after a loss of power agents with a packet each 3 ms
        told, released and gave up nothing for 0.1 s and longer, balancers
        likewise, and the searches that ran out of time meanwhile kept the
        packets coming.
        """
        soonest = self.loop.clock() + MIN_TICK_S
        if self.tick_timer.when <= soonest:
            return
        when = max(self.node.due(), soonest)
        if when >= self.tick_timer.when:
            return
        self.tick_timer.cancel()
        self.tick_timer = self.loop.call_at(when, self._tick)

    def _look_for_changes(self) -> None:
        """Reads the settings anew where their file has changed unannounced."""
        changed_at = _changed_at(settings_path())
        if changed_at != self.settings_changed_at:
            self._reload()
        self.loop.call_later(LOOK_EVERY_S, self._look_for_changes)

    def _reload(self) -> None:
        """Reads the settings anew; a bad file leaves the old ones in force."""
        path = settings_path()
        self.settings_changed_at = _changed_at(path)
        try:
            settings = load_host_settings(path or "")
        except SettingsRefusedError as error:
            self.journal.log("reload", outcome="refused", reason=str(error))
            return
        self._log_problems(settings)
        if any(item.place.startswith("seeds") for item in settings.problems):
            settings = replace(settings, peers=self.settings.peers)
        if self.settings.balances:
            self.balancer.synchronizer.seeds = settings.peers
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        # Addresses that are bound stay until the next start.
        self.settings = replace(self.settings, peers=settings.peers)
        self.journal.log("reload", outcome="read", changed=changed)

    def _on_signal(self, number: int) -> None:
        if number == signal.SIGHUP:
            self._reload()
            return
        if self.node.board.stopping:
            return
        self.journal.log("stop", signal=signal.Signals(number).name)
        if not self.settings.balances:
            self.perform(self.agent.stop(self.loop.clock()))
            self.loop.call_later(AGENT_LEAVE_S, self._leave_agent)
            leave_s = min(WATCH_END_S, LEAVE_SHARE * self.settings.grace_s)
            self.loop.call_later(leave_s, self.loop.stop)
        else:
            self.balancer.stop()
            leave_s = min(LEAVE_S, LEAVE_SHARE * self.settings.grace_s)
            self.loop.call_later(leave_s, self.loop.stop)

    def _leave_agent(self) -> None:
        """Ends an agent, unless it is to see its server's end."""
        if self.agent.awaits_backend_exit():
            self.loop.call_later(AGENT_LEAVE_S, self._leave_agent)
        else:
            self.loop.stop()


def _changed_at(path: str | None) -> int:
    """Returns when a file last changed, nanoseconds; 0 where there is none."""
    try:
        return os.stat(path).st_mtime_ns if path else 0
    except OSError:
        return 0  # A reload says what is wrong with it.
