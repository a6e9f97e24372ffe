"""Runtime of a daemon: connects a node with sockets and the clock."""

import anyio
import anyio.abc
import attrs

from notchhoist import blackboards, controllers, model, publication, wire
from notchhoist.blackboards import Count
from notchhoist.daemon.peers import PeerTransport
from notchhoist.daemon.settings import Role, Settings
from notchhoist.daemon.sockets import UdpPort, open_flow, open_udp

STALL_THRESHOLD_S = 1.0
"""A longer gap between ticks means that the process was stalled."""

STOP_POLL_S = 0.05
RESTORE_INTERVAL_S = 0.5


@attrs.define(eq=False)
class Runtime:
    """Performs the effects of a node and passes events to it.

    Attributes:
        settings: The daemon's settings.
        node: Decides what to do on each event.
        source: The platform, from which the configuration is read.
        tasks: Task group in which all tasks of the daemon run.
        peers: Transport for messages between processes.
        listeners: Balancer only: the UDP port of each service.
        flows: Agent only: the socket of each flow, by its caller.
        listener_revision: Configuration revision that the listeners match.
        last_tick: Time of the last tick by the runtime's clock, seconds.
        stopped: Set at the end of a planned stop, after the drain.
    """

    settings: Settings
    node: controllers.Node
    source: publication.Platform
    tasks: anyio.abc.TaskGroup
    peers: PeerTransport = attrs.field(init=False)
    listeners: dict[str, UdpPort] = attrs.Factory(dict)
    flows: dict[model.Endpoint, UdpPort] = attrs.Factory(dict)
    listener_revision: int = 0
    last_tick: float = attrs.Factory(anyio.current_time)
    stopped: anyio.Event = attrs.Factory(anyio.Event)

    def handle(self, event: model.Event) -> None:
        """Passes an event to the node and performs the resulting effects.

        Datagrams that waited in the sockets during a stall are discarded:
        they may be older than the state that any process keeps about them.
        """
        now = anyio.current_time()
        if now - self.last_tick > STALL_THRESHOLD_S:
            self._discard_stale(now)
            if not isinstance(event, model.ConfigurationRead):
                return
        self.perform(self.node.handle(event, now))

    def _discard_stale(self, now: float) -> None:
        ports = [self.peers.port, *self.listeners.values()]
        ports.extend(self.flows.values())
        dropped = 1 + sum(port.discard() for port in ports)
        self.node.board.counters[Count.STALE_DROPPED] += dropped
        self.last_tick = now
        self.perform(self.node.tick(now))

    async def tick_forever(self) -> None:
        """Ticks the node periodically and detects stalls of the process."""
        while True:
            now = anyio.current_time()
            if now - self.last_tick > STALL_THRESHOLD_S:
                self._discard_stale(now)
            self.last_tick = now
            self.perform(self.node.tick(now))
            await anyio.sleep(controllers.TICK_S)

    def perform(self, effects: list[model.Effect]) -> None:
        """Performs effects, then updates the listeners if need be."""
        for effect in effects:
            self._perform_effect(effect)
        revision = self.node.board.config.store.revision
        if revision != self.listener_revision:
            self.listener_revision = revision
            self._update_listeners()

    def _perform_effect(self, effect: model.Effect) -> None:
        match effect:
            case model.SendPeer():
                self.peers.send(effect.to, effect.message)
            case model.SendCaller():
                port = self.listeners.get(effect.service)
                if port is not None:
                    port.send(effect.datagram, effect.caller)
            case model.SendBackend():
                self._send_backend(effect)
            case model.CloseFlowSocket():
                self._close_flow(effect.caller)
            case model.ReadConfiguration():
                self.tasks.start_soon(self._read_configuration, effect)
            case model.ReadHosts():
                self.tasks.start_soon(self._read_hosts)

    async def _read_configuration(
        self, effect: model.ReadConfiguration
    ) -> None:
        read = await self.source.read_configuration(effect.after, effect.wait_s)
        self.handle(publication.to_event(read))

    async def _read_hosts(self) -> None:
        self.handle(publication.to_event(await self.source.read_hosts()))

    def _send_backend(self, effect: model.SendBackend) -> None:
        if anyio.current_time() > effect.not_after:
            self.node.board.counters[Count.STALE_DROPPED] += 1
            return
        self.flow_port(effect.caller).send(effect.datagram)

    def flow_port(self, caller: model.Endpoint) -> UdpPort:
        """Returns the socket of a flow, opening it if necessary."""
        port = self.flows.get(caller)
        if port is not None:
            return port
        backend = self.settings.backend
        if backend is None:
            raise model.MisdirectedError(self.settings.name, str(caller))
        port = open_flow(self.settings.name, caller, backend)
        self.flows[caller] = port
        self.tasks.start_soon(self._run_flow, caller, port)
        return port

    async def _run_flow(self, caller: model.Endpoint, port: UdpPort) -> None:
        await port.run(
            lambda data, _: self.handle(model.BackendDatagram(caller, data))
        )

    def _close_flow(self, caller: model.Endpoint) -> None:
        port = self.flows.pop(caller, None)
        if port is not None:
            port.close()

    def _update_listeners(self) -> None:
        """Opens and closes listeners to match the configuration."""
        if self.settings.role is Role.AGENT:
            return
        services = self.node.board.config.store.services
        for name, port in list(self.listeners.items()):
            if name not in services or not self._is_bound_to(
                port, services[name]
            ):
                port.close()
                del self.listeners[name]
        for name, service in services.items():
            if name not in self.listeners:
                self._listen(service)

    def _address_of(self, service: model.Service) -> model.Endpoint:
        host = self.settings.listen_ip or service.address.host
        return model.Endpoint(host, service.address.port)

    def _is_bound_to(self, port: UdpPort, service: model.Service) -> bool:
        return port.endpoint == self._address_of(service)

    def _listen(self, service: model.Service) -> None:
        try:
            port = open_udp(self._address_of(service))
        except OSError:
            self.node.board.counters[Count.LISTEN_FAILED] += 1
            return
        self.listeners[service.name] = port
        self.tasks.start_soon(self._run_listener, service.name, port)

    async def _run_listener(self, name: str, port: UdpPort) -> None:
        await port.run(
            lambda data, sender: self.handle(
                model.CallerDatagram(name, sender, data)
            )
        )

    def on_message(self, envelope: wire.Envelope) -> None:
        """Handles a message from another process."""
        self.handle(model.PeerMessage(envelope.sender, envelope.message))

    def on_malformed(self) -> None:
        """Counts a message that could not be decoded."""
        self.node.board.counters[Count.PEER_MALFORMED] += 1

    def restore_flows(self) -> None:
        """Opens the sockets of flows that were restored after a restart."""
        board = self.node.board
        if not isinstance(board, blackboards.AgentBoard):
            return
        for flow in board.flows.values():
            if flow.restored:
                self.flow_port(flow.caller)

    async def restore_periodically(self) -> None:
        """Opens the sockets of restored flows periodically."""
        while self.settings.role is Role.AGENT:
            self.restore_flows()
            await anyio.sleep(RESTORE_INTERVAL_S)

    async def stop(self) -> None:
        """Drains the node, for at most ``drain_s``, and ends all tasks."""
        self.perform(self.node.stop(anyio.current_time()))
        with anyio.move_on_after(self.settings.drain_s):
            await anyio.sleep(STOP_POLL_S)
            while not self.node.is_idle():
                await anyio.sleep(STOP_POLL_S)
        self.stopped.set()
        await anyio.sleep(STOP_POLL_S * 4)
        self.tasks.cancel_scope.cancel()
