"""Models of backend servers with slots, a queue and slow start."""

import random
from collections.abc import Callable

import attrs

from notchhoist.testing.opaque.frames import (
    ACK,
    BOUNCED,
    RST,
    SYN,
    Address,
    Frame,
)
from notchhoist.testing.opaque.judge import Judge
from notchhoist.testing.opaque.streams import StreamEnd
from notchhoist.testing.opaque.traffic import (
    Request,
    Workload,
    read_request,
    write_answer,
)

COLD_S = 2.0
COLD_SLOWDOWN = 1.6
ENDED_FLOW_KEPT_S = 10.0
REJECTED_STATUS = 503

FlowEnds = tuple[Address, Address]


@attrs.define(eq=False)
class _ServerFlow:
    """A flow at the server; ``end`` is None until the handshake is done."""

    first_seq: int
    caller_seq: int
    end: StreamEnd | None = None
    data: bytes = b""
    waiting: int = 0
    ended_at: float = float("inf")


@attrs.define(eq=False)
class ServerModel:
    """One incarnation of a backend server.

    Attributes:
        server_id: Its id.
        service: Its service.
        rng: Source of random draws.
        judge: Records what the server observes.
        send: Sends a packet to the agent on its host.
        later: Schedules an action after a delay, seconds.
        workloads: Workload of each request by its number.
        slots: Requests that it runs concurrently.
        queue_length: Limit of the requests that wait for a slot.
        started_at: When it started, seconds.
        zone: Availability zone of its host.
        returned_at: When its zone last returned to service, which puts it in
            slow start, seconds.
        draining: It closes each flow after the flow's next answer.
        slowness: Factor on the time of all work.
        alive: Its process runs.
        flows: Flows by their two addresses.
        running: Number of requests that run.
        queue: Requests that wait for a slot.
    """

    server_id: str
    service: str
    rng: random.Random
    judge: Judge
    send: Callable[[Frame], None]
    later: Callable[[float, Callable[[], None]], None]
    workloads: dict[int, Workload]
    slots: int
    queue_length: int = 10
    started_at: float = 0.0
    zone: str = ""
    returned_at: float = float("-inf")
    draining: bool = False
    slowness: float = 1.0
    alive: bool = True
    flows: dict[FlowEnds, _ServerFlow] = attrs.Factory(dict)
    running: int = 0
    queue: list[tuple[FlowEnds, Request]] = attrs.Factory(list)

    def __attrs_post_init__(self) -> None:
        self.judge.on_started(self.server_id)

    @property
    def cold_since(self) -> float:
        """When its slow start last began, seconds."""
        return max(self.started_at, self.returned_at)

    @property
    def state(self) -> str:
        """State that its entry in the store announces."""
        return "draining" if self.draining else "ready"

    def is_cold(self, now: float) -> bool:
        """Tells whether it is in slow start."""
        return now - self.cold_since < COLD_S

    def on_frame(self, frame: Frame, now: float) -> None:
        """Handles a packet from the agent."""
        ends = (frame.src, frame.dst)
        flow = self.flows.get(ends)
        if frame.flags & SYN:
            self._on_opening(ends, frame, now)
        elif flow is None:
            self.send(attrs.evolve(frame, flags=frame.flags | BOUNCED))
        elif frame.flags & RST:
            del self.flows[ends]
        elif flow.ended_at < now and frame.data:
            self._emit(ends, RST, flow.first_seq, 0, b"")
        else:
            self._on_packet(ends, flow, frame, now)

    def _on_opening(self, ends: FlowEnds, frame: Frame, now: float) -> None:
        flow = self.flows.get(ends)
        if flow is None:
            cold = self.is_cold(now)
            self.judge.on_opening(self.server_id, self.zone, cold, now)
            flow = _ServerFlow(self.rng.getrandbits(32), frame.seq + 1)
            self.flows[ends] = flow
        self._emit(ends, SYN | ACK, flow.first_seq, flow.caller_seq, b"")

    def _emit(
        self, ends: FlowEnds, flags: int, seq: int, ack: int, data: bytes
    ) -> None:
        caller, service = ends
        self.send(Frame(service, caller, flags, seq % (1 << 32), ack, data))

    def _on_packet(
        self, ends: FlowEnds, flow: _ServerFlow, frame: Frame, now: float
    ) -> None:
        if flow.end is None:
            if frame.ack != (flow.first_seq + 1) % (1 << 32):
                bounced = attrs.evolve(frame, flags=frame.flags | BOUNCED)
                self.send(bounced)
                return
            flow.end = StreamEnd(
                lambda *packet: self._emit(ends, *packet),
                (flow.first_seq + 1) % (1 << 32),
                flow.caller_seq,
            )
        flow.data += flow.end.on_frame(frame, now)
        if flow.end.peer_closed and flow.ended_at == float("inf"):
            flow.ended_at = now
            flow.end.write(b"", now, closes=True)
        while (request := read_request(flow.data)) is not None:
            flow.data = flow.data[request.size :]
            self._on_request(ends, request, now)

    def _on_request(self, ends: FlowEnds, request: Request, now: float) -> None:
        self.judge.arrivals[self.service][self.server_id] += 1
        if self.running < self.slots:
            self._run(ends, request, now)
        elif len(self.queue) < self.queue_length:
            self.queue.append((ends, request))
        else:
            self._answer(ends, request, REJECTED_STATUS, now)

    def _run(self, ends: FlowEnds, request: Request, now: float) -> None:
        self.running += 1
        workload = self.workloads[request.number]
        self.judge.on_run(request.number, workload, self.service, now)
        cold = COLD_SLOWDOWN if self.is_cold(now) else 1.0
        work_s = request.work_ms / 1000 * cold * self.slowness
        self.later(work_s, lambda: self._done(ends, request, now + work_s))

    def _done(self, ends: FlowEnds, request: Request, now: float) -> None:
        if not self.alive:
            return
        self.running -= 1
        self._answer(ends, request, 200, now)
        if self.queue:
            self._run(*self.queue.pop(0), now)

    def _answer(
        self, ends: FlowEnds, request: Request, status: int, now: float
    ) -> None:
        flow = self.flows.get(ends)
        if flow is None or flow.end is None:
            return
        size = self.workloads[request.number].answer_bytes
        text = write_answer(request.number, status, self.server_id, size)
        flow.end.write(text, now, closes=self.draining)

    def tick(self, now: float) -> None:
        """Sends due retransmissions; removes ended and failed flows."""
        for ends, flow in list(self.flows.items()):
            if now - flow.ended_at > ENDED_FLOW_KEPT_S:
                del self.flows[ends]
            elif flow.end is not None:
                flow.end.tick(now)
                if flow.end.failed:
                    del self.flows[ends]

    def holds(self, ends: FlowEnds) -> bool:
        """Tells whether a flow is open at this server."""
        flow = self.flows.get(ends)
        return self.alive and flow is not None and flow.end is not None
