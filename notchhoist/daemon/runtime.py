"""The runtime of a daemon: it drives a node with sockets and the clock."""

import anyio
import anyio.abc
import attrs

from notchhoist import blackboards, controllers, model, publication, wire
from notchhoist.blackboards import Count
from notchhoist.daemon.peers import PeerTransport
from notchhoist.daemon.settings import Role, Settings
from notchhoist.daemon.sockets import UdpPort, open_flow, open_udp

PAUSE_S = 1.0
"""A gap between ticks that is longer means that the process was stopped."""

STOP_POLL_S = 0.05
RESTART_WAIT_S = 0.5


@attrs.define(eq=False)
class Runtime:
    """Carries out the effects of a node and feeds it events.

    Attributes:
        settings: The daemon's settings.
        node: The decisions.
        source: The platform.
        tasks: Where everything runs.
        peers: Messages between processes.
        listeners: Balancer: the port of each service.
        flows: Agent: the socket of each flow.
        listening_at: Revision that the listeners follow.
        last_tick: Runtime clock of the last tick, seconds.
        stopped: Set at the end of a planned stop.
    """

    settings: Settings
    node: controllers.Node
    source: publication.Platform
    tasks: anyio.abc.TaskGroup
    peers: PeerTransport = attrs.field(init=False)
    listeners: dict[str, UdpPort] = attrs.Factory(dict)
    flows: dict[model.Endpoint, UdpPort] = attrs.Factory(dict)
    listening_at: int = 0
    last_tick: float = attrs.Factory(anyio.current_time)
    stopped: anyio.Event = attrs.Factory(anyio.Event)

    def handle(self, event: model.Event) -> None:
        """Hands an event to the node and carries out what it answers.

        What waited in the sockets while the process was stopped is thrown
        away: it may be older than anybody's memory of it.
        """
        now = anyio.current_time()
        if now - self.last_tick > PAUSE_S:
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
        """Ticks the node."""
        while True:
            now = anyio.current_time()
            if now - self.last_tick > PAUSE_S:
                self._discard_stale(now)
            self.last_tick = now
            self.perform(self.node.tick(now))
            await anyio.sleep(controllers.TICK_S)

    def perform(self, effects: list[model.Effect]) -> None:
        """Carries out effects."""
        for effect in effects:
            self._perform_one(effect)
        revision = self.node.board.config.store.revision
        if revision != self.listening_at:
            self.listening_at = revision
            self._follow_configuration()

    def _perform_one(self, effect: model.Effect) -> None:
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
        self.handle(publication.to_events(read))

    async def _read_hosts(self) -> None:
        self.handle(publication.to_events(await self.source.read_hosts()))

    def _send_backend(self, effect: model.SendBackend) -> None:
        if anyio.current_time() > effect.not_after:
            self.node.board.counters[Count.STALE_DROPPED] += 1
            return
        self.flow_port(effect.caller).send(effect.datagram)

    def flow_port(self, caller: model.Endpoint) -> UdpPort:
        """Returns the socket of a flow, opened if need be."""
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

    def _follow_configuration(self) -> None:
        """Opens and closes the ports that the configuration asks for."""
        if self.settings.role is Role.AGENT:
            return
        services = self.node.board.config.store.services
        for name, port in list(self.listeners.items()):
            if name not in services or not self._is_at(port, services[name]):
                port.close()
                del self.listeners[name]
        for name, service in services.items():
            if name not in self.listeners:
                self._listen(service)

    def _address_of(self, service: model.Service) -> model.Endpoint:
        host = self.settings.listen_ip or service.address.host
        return model.Endpoint(host, service.address.port)

    def _is_at(self, port: UdpPort, service: model.Service) -> bool:
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
        """Takes a message of another process."""
        self.handle(model.PeerMessage(envelope.sender, envelope.message))

    def on_malformed(self) -> None:
        """Counts bytes that are no message."""
        self.node.board.counters[Count.PEER_MALFORMED] += 1

    def restore_flows(self) -> None:
        """Opens the sockets of flows taken over after a restart."""
        board = self.node.board
        if not isinstance(board, blackboards.AgentBoard):
            return
        for flow in board.flows.values():
            if flow.restored:
                self.flow_port(flow.caller)

    async def keep_restored(self) -> None:
        """Looks for flows to restore now and then."""
        while self.settings.role is Role.AGENT:
            self.restore_flows()
            await anyio.sleep(RESTART_WAIT_S)

    async def stop(self) -> None:
        """Stops as planned: waits until nothing is in progress."""
        self.perform(self.node.stop(anyio.current_time()))
        with anyio.move_on_after(self.settings.drain_s):
            await anyio.sleep(STOP_POLL_S)
            while not self.node.is_idle():
                await anyio.sleep(STOP_POLL_S)
        self.stopped.set()
        await anyio.sleep(STOP_POLL_S * 4)
        self.tasks.cancel_scope.cancel()
