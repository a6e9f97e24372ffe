"""Discrete-event simulation of a network of nodes on a simulated clock.

It carries the effects of nodes to other nodes, backend servers and callers,
with delays. A test can kill, restart and pause nodes, cut links, and have
datagrams lost or duplicated. The simulation makes no load-balancing
decisions: nodes, backend servers and callers are the same objects that run
behind real sockets.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Sequence

import attrs

from notchhoist import controllers, documents, model, parts, wire
from notchhoist.daemon.sockets import derived_endpoint
from notchhoist.testing.backend import BackendModel, BackendProfile, Reply
from notchhoist.testing.caller import CallerModel, Task, make_caller
from notchhoist.testing.history import History
from notchhoist.testing.platform_service import PlatformState
from notchhoist.testing.world_host import Host, MakeNode

STALE_BACKLOG_S = 1.0
BACKEND_DELAY_S = 0.0001
CALLER_TICK_S = 0.05
PLATFORM_DELAY_S = 0.002
WATCH_POLL_S = 0.05


@attrs.define
class World:
    """State of one simulated run.

    Attributes:
        rng: Source of all randomness.
        history: Events recorded by callers and backend servers.
        delay_s: One-way delay between processes, seconds.
        loss: Fraction of messages between nodes that are lost.
        duplication: Fraction of datagrams that are delivered twice, the
            second time late.
        max_late_s: Longest extra delay of a duplicate, seconds.
        now: Simulated time, seconds.
        messages: Number of messages sent between nodes so far.
        by_type: Number of these messages by message type.
        adapt: Modifies each node at its start, for example into a baseline
            version.
        count_bytes: Whether each message is encoded to count its bytes.
        bytes_by_type: Encoded size of the messages by message type, if
            ``count_bytes`` is set.
        hosts: Hosts by peer endpoint.
        entries: Balancers among which the fabric spreads datagrams.
        backends: Backend server of each agent, by peer endpoint of the agent.
        callers: Callers by endpoint.
        flow_names: Agent and caller by the source endpoint that the backend
            server sees.
        backend_wake_times: Time of the next scheduled tick of each backend
            server, by its object identity.
        cuts: Pairs of nodes that cannot reach each other.
        platform: Simulated platform that stores the configuration.
        queue: Heap of scheduled events, ordered by time.
        sequence_numbers: Source of the numbers that order events scheduled
            for the same time.
    """

    rng: random.Random
    history: History = attrs.Factory(History)
    delay_s: float = 0.0015
    loss: float = 0.0
    duplication: float = 0.0
    max_late_s: float = 2.0
    now: float = 0.0
    messages: int = 0
    by_type: dict[str, int] = attrs.Factory(dict)
    adapt: Callable[[controllers.Node], None] | None = None
    count_bytes: bool = False
    bytes_by_type: dict[str, int] = attrs.Factory(dict)
    hosts: dict[model.Endpoint, Host] = attrs.Factory(dict)
    entries: list[model.Endpoint] = attrs.Factory(list)
    backends: dict[model.Endpoint, BackendModel] = attrs.Factory(dict)
    callers: dict[model.Endpoint, CallerModel] = attrs.Factory(dict)
    flow_names: dict[model.Endpoint, tuple[model.Endpoint, model.Endpoint]] = (
        attrs.Factory(dict)
    )
    backend_wake_times: dict[int, float] = attrs.Factory(dict)
    cuts: set[frozenset[model.Endpoint]] = attrs.Factory(set)
    platform: PlatformState = attrs.Factory(PlatformState)
    queue: list[tuple[float, int, Callable[[], None]]] = attrs.Factory(list)
    sequence_numbers: "itertools.count[int]" = attrs.Factory(itertools.count)

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay in seconds."""
        entry = (self.now + delay, next(self.sequence_numbers), action)
        heapq.heappush(self.queue, entry)

    def run(self, seconds: float) -> None:
        """Advances the clock and runs the events that become due."""
        until = self.now + seconds
        while self.queue and self.queue[0][0] <= until:
            when, _, action = heapq.heappop(self.queue)
            self.now = when
            action()
        self.now = until

    def run_until(self, done: Callable[[], bool], limit: float) -> bool:
        """Runs until a condition holds; returns False at the time limit.

        The condition is checked every 0.1 s.
        """
        until = self.now + limit
        while self.now < until:
            if done():
                return True
            self.run(0.1)
        return done()

    def callers_done(self) -> bool:
        """Returns whether every caller has finished its tasks."""
        return all(caller.is_done() for caller in self.callers.values())

    def add_host(self, name: str, peer: model.Endpoint, make: MakeNode) -> Host:
        """Adds a host and starts its node."""
        host = Host(name, peer, make)
        self.hosts[peer] = host
        self.start(peer)
        return host

    def start(self, peer: model.Endpoint) -> None:
        """Starts or restarts the node of a host."""
        host = self.hosts[peer]
        host.generation += 1
        host.node = host.make(self.now, self.rng.getrandbits(30))
        if self.adapt is not None:
            self.adapt(host.node)
        host.paused = False
        host.backlog.clear()
        host.unsent_effects.clear()
        host.last_tick = self.now
        self._tick_later(host, host.generation)

    def kill(self, peer: model.Endpoint) -> None:
        """Kills the node of a host; its state is lost."""
        self.hosts[peer].node = None

    def pause(self, peer: model.Endpoint, seconds: float) -> None:
        """Pauses the node of a host for some seconds.

        Incoming events are queued until it resumes. Unless
        ``handles_stale_backlog`` is set, a node drops them if its last tick was
        longer than ``STALE_BACKLOG_S`` ago, except for responses of the
        platform.
        """
        host = self.hosts[peer]
        host.paused = True
        generation = host.generation
        self.at(seconds, lambda: self._resume(host, generation))

    def _resume(self, host: Host, generation: int) -> None:
        if host.generation != generation or not host.paused:
            return
        host.paused = False
        waited, host.backlog = host.backlog, []
        held, host.unsent_effects = host.unsent_effects, []
        self._perform(host, held)
        is_stale = self.now - host.last_tick > STALE_BACKLOG_S
        if is_stale and not host.handles_stale_backlog:
            waited = [
                event
                for event in waited
                if isinstance(event, model.ConfigurationRead | model.HostsRead)
            ]
        self._tick(host)
        for event in waited:
            self._deliver(host, event)

    def cut(
        self, one: Sequence[model.Endpoint], other: Sequence[model.Endpoint]
    ) -> None:
        """Cuts all links between two groups of nodes."""
        for left, right in itertools.product(one, other):
            self.cuts.add(frozenset([left, right]))

    def heal(self) -> None:
        """Restores all links."""
        self.cuts.clear()

    def _tick_later(self, host: Host, generation: int) -> None:
        def due() -> None:
            if host.generation != generation or host.node is None:
                return
            if not host.paused:
                self._tick(host)
            self._tick_later(host, generation)

        self.at(controllers.TICK_S, due)

    def _tick(self, host: Host) -> None:
        if host.node is not None:
            host.last_tick = self.now
            self._perform(host, host.node.tick(self.now))

    def _deliver(self, host: Host, event: model.Event) -> None:
        if host.node is None:
            return
        if host.paused:
            host.backlog.append(event)
            return
        self._perform(host, host.node.handle(event, self.now))

    def _perform(self, host: Host, effects: list[model.Effect]) -> None:
        for effect in effects:
            if host.paused:
                host.unsent_effects.append(effect)
            else:
                self._perform_one(host, effect)

    def _perform_one(self, host: Host, effect: model.Effect) -> None:
        match effect:
            case model.SendPeer():
                self._send_peer(host, effect)
            case model.SendCaller():
                self._send_caller(effect)
            case model.SendBackend():
                self._send_backend(host, effect)
            case model.ReadConfiguration():
                self._read_configuration(host, effect, host.generation)
            case model.ReadHosts():
                self._read_hosts(host)
            case model.CloseFlowSocket():
                pass

    def _send_peer(self, host: Host, effect: model.SendPeer) -> None:
        self.messages += 1
        name = type(effect.message).__name__
        self.by_type[name] = self.by_type.get(name, 0) + 1
        if self.count_bytes:
            envelope = wire.Envelope(host.peer, effect.message)
            size = len(wire.encode_peer(envelope))
            self.bytes_by_type[name] = self.bytes_by_type.get(name, 0) + size
        if self.rng.random() < self.loss:
            return
        event = model.PeerMessage(host.peer, effect.message)
        self._schedule_delivery(host.peer, effect.to, event, 0.0)
        if self.rng.random() < self.duplication:
            late = self.rng.uniform(0.0, self.max_late_s)
            self._schedule_delivery(host.peer, effect.to, event, late)

    def _schedule_delivery(
        self,
        source: model.Endpoint,
        to: model.Endpoint,
        event: model.Event,
        late: float,
    ) -> None:
        def arrive() -> None:
            target = self.hosts.get(to)
            is_cut = frozenset([source, to]) in self.cuts
            if target is not None and not is_cut:
                self._deliver(target, event)

        delay = self.delay_s * self.rng.uniform(0.5, 1.5) + late
        self.at(delay, arrive)

    def _send_caller(self, effect: model.SendCaller) -> None:
        def arrive() -> None:
            caller = self.callers.get(effect.caller)
            if caller is not None:
                replies = caller.receive(effect.datagram, self.now)
                self.spray(effect.service, effect.caller, replies)

        self.at(self.delay_s, arrive)

    def spray(
        self, service: str, caller: model.Endpoint, datagrams: list[bytes]
    ) -> None:
        """Sends each datagram of a caller to a randomly chosen balancer."""
        for datagram in datagrams:
            event = model.CallerDatagram(service, caller, datagram)
            entry = self.rng.choice(self.entries)
            self._schedule_delivery(caller, entry, event, 0.0)
            if self.rng.random() < self.duplication:
                late = self.rng.uniform(0.0, self.max_late_s)
                entry = self.rng.choice(self.entries)
                self._schedule_delivery(caller, entry, event, late)

    def _send_backend(self, host: Host, effect: model.SendBackend) -> None:
        if self.now > effect.not_after:
            return
        backend = self.backends.get(host.peer)
        if backend is None:
            return
        source = derived_endpoint(host.name, effect.caller, 0)
        self.flow_names[source] = (host.peer, effect.caller)

        def arrive() -> None:
            current = self.backends.get(host.peer)
            if current is backend:
                replies = backend.receive(effect.datagram, source, self.now)
                self._schedule_replies(host, replies)
                self._wake_backend(host, backend)

        self.at(BACKEND_DELAY_S, arrive)

    def _wake_backend(self, host: Host, backend: BackendModel) -> None:
        due = backend.next_due()
        planned = self.backend_wake_times.get(id(backend))
        if due is None or (planned is not None and planned <= due):
            return
        self.backend_wake_times[id(backend)] = due

        def finish() -> None:
            if self.backend_wake_times.get(id(backend)) != due:
                return
            del self.backend_wake_times[id(backend)]
            if self.backends.get(host.peer) is backend:
                self._schedule_replies(host, backend.tick(self.now))
                self._wake_backend(host, backend)

        self.at(max(0.0, due - self.now), finish)

    def _schedule_replies(self, host: Host, replies: list[Reply]) -> None:
        for reply in replies:
            _, caller = self.flow_names[reply.to]
            event = model.BackendDatagram(caller, reply.datagram)
            self.at(BACKEND_DELAY_S, self._delivery(host, event))

    def _delivery(self, host: Host, event: model.Event) -> Callable[[], None]:
        return lambda: self._deliver(host, event)

    def _read_configuration(
        self, host: Host, effect: model.ReadConfiguration, generation: int
    ) -> None:
        self.platform.reads += 1
        until = self.now + effect.wait_s

        def poll() -> None:
            if host.generation != generation:
                return
            text = self.platform.read(effect.after)
            if text is None:
                self._deliver(host, model.ConfigurationRead(b"", failed=True))
            elif text or self.now >= until:
                self._deliver(host, model.ConfigurationRead(text, False))
            else:
                self.at(WATCH_POLL_S, poll)

        self.at(PLATFORM_DELAY_S, poll)

    def _read_hosts(self, host: Host) -> None:
        self.platform.reads += 1
        state = self.platform
        state.refresh(self.now)
        event = model.HostsRead(
            frozenset(state.live), frozenset(state.leaving), state.down
        )
        self.at(PLATFORM_DELAY_S, lambda: self._deliver(host, event))

    def publish(self, configuration: model.Configuration) -> None:
        """Publishes a configuration document as an operator does.

        Raises:
            PlatformError: The platform does not accept the document.
        """
        text = documents.write_configuration(configuration)
        if not self.platform.publish(text):
            raise model.PlatformError("publish", "not the next revision")

    def add_backend(
        self, agent: model.Endpoint, profile: BackendProfile
    ) -> BackendModel:
        """Starts or restarts the backend server of an agent."""
        backend = BackendModel(profile, self.now, self.history)
        self.backends[agent] = backend
        return backend

    def add_caller(
        self, endpoint: model.Endpoint, tasks: Sequence[Task]
    ) -> CallerModel:
        """Adds a caller whose first tick is within ``CALLER_TICK_S``."""
        caller = make_caller(tasks, self.history, self.rng.getrandbits(30))
        self.callers[endpoint] = caller
        service = tasks[0].service

        def due() -> None:
            self.spray(service, endpoint, caller.tick(self.now))
            if not caller.is_done():
                self.at(CALLER_TICK_S, due)

        self.at(self.rng.uniform(0.0, CALLER_TICK_S), due)
        return caller

    def agents_of(self, service: model.Service) -> list[model.Endpoint]:
        """Returns the agents of a service in rendezvous order of its name."""
        return parts.rank_nodes(service.name.encode(), service.agents())
