"""Models of callers, which reuse flows or open one for each request."""

import random
from collections.abc import Callable
from functools import partial

import attrs

from notchhoist.testing.opaque.frames import RST, SYN, Address, Frame
from notchhoist.testing.opaque.judge import Judge
from notchhoist.testing.opaque.streams import StreamEnd
from notchhoist.testing.opaque.traffic import (
    Answer,
    Workload,
    read_answer,
    write_request,
)

SYN_RETRANSMITS_S = (0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
MAX_RETRIES = 2
FIRST_PORT = 40_000
SERVICE_HOST = "198.18.0.1"
MAX_IDLE_FLOWS = 3


@attrs.define(eq=False)
class Pending:
    """A request that waits for its answer; ``over`` once it has an outcome."""

    number: int
    workload: Workload
    started_at: float
    work_ms: int
    retries: int = MAX_RETRIES
    over: bool = False


@attrs.define(eq=False)
class Flow:
    """A flow at its caller; ``end`` is None until the flow is open."""

    own: Address
    service: Address
    pending: Pending | None
    first_seq: int
    end: StreamEnd | None = None
    data: bytes = b""
    closed: bool = False


@attrs.define(eq=False)
class CallerModel:
    """All callers of one availability zone.

    Attributes:
        zone: Name of the zone.
        hosts: Their IP numbers.
        rng: Source of random draws.
        judge: Records what the callers observe.
        send: Sends a packet to the routers.
        later: Schedules an action after a delay, seconds.
        register: Numbers a request and tells the servers its workload.
        is_alive: Tells whether a running server holds a flow.
        flows: Flows by the caller's address.
        idle: Open flows without a pending request, by host and kind of
            request.
        next_port: Port of the newest flow.
    """

    zone: str
    hosts: list[str]
    rng: random.Random
    judge: Judge
    send: Callable[[Frame], None]
    later: Callable[[float, Callable[[], None]], None]
    register: Callable[[Workload], int]
    is_alive: Callable[[Address, Address], bool]
    flows: dict[Address, Flow] = attrs.Factory(dict)
    idle: dict[tuple[str, str], list[Flow]] = attrs.Factory(dict)
    next_port: int = FIRST_PORT

    def ask(self, workload: Workload, now: float) -> None:
        """Sends a new request on an idle flow or a new one.

        A request is retried where its flow did not open or the server
        rejected it; after a reset only if it is safe to repeat.
        """
        mean = workload.work_ms
        work_ms = max(1, int(self.rng.gammavariate(4, mean / 4)))
        pending = Pending(self.register(workload), workload, now, work_ms)
        self.judge.tallies[workload.name].asked += 1
        deadline = workload.deadline_s
        self.later(deadline, lambda: self._on_deadline(pending, now + deadline))
        self._send_request(pending, now)

    def _send_request(self, pending: Pending, now: float) -> None:
        host = self.rng.choice(self.hosts)
        idle = self.idle.get((host, pending.workload.name), [])
        while idle:
            flow = idle.pop()
            if not flow.closed and flow.end is not None:
                flow.pending = pending
                self._write(flow, flow.end, now)
                return
        self._open(host, pending, now)

    def _open(self, host: str, pending: Pending, now: float) -> None:
        self.next_port = FIRST_PORT + (self.next_port - FIRST_PORT + 1) % 25_000
        flow = Flow(
            own=(host, self.next_port),
            service=(SERVICE_HOST, pending.workload.port),
            pending=pending,
            first_seq=self.rng.getrandbits(32),
        )
        self.flows[flow.own] = flow
        self._send_opening(flow, 0)
        for retransmits, delay in enumerate(SYN_RETRANSMITS_S, 1):
            self.later(delay, partial(self._send_opening, flow, retransmits))
        self.later(
            OPENING_TIMEOUT_S,
            lambda: self._on_not_opened(flow, now + OPENING_TIMEOUT_S),
        )

    def _send_opening(self, flow: Flow, retransmits: int) -> None:
        if flow.end is None and not flow.closed:
            self.send(
                Frame(flow.own, flow.service, SYN, flow.first_seq, retransmits)
            )

    def _on_not_opened(self, flow: Flow, now: float) -> None:
        if flow.end is None and not flow.closed:
            self._drop(flow)
            self._retry(flow.pending, "not opened", now)

    def _write(self, flow: Flow, end: StreamEnd, now: float) -> None:
        pending = flow.pending
        if pending is not None:
            workload = pending.workload
            text = write_request(
                pending.number, workload.request_bytes, pending.work_ms
            )
            end.write(text, now)

    def on_frame(self, frame: Frame, now: float) -> None:
        """Handles a packet for one of the callers."""
        flow = self.flows.get(frame.dst)
        if flow is None or flow.closed:
            return
        if frame.flags & RST:
            self._on_reset(flow, frame, now)
        elif frame.flags & SYN:
            self._on_accepted(flow, frame, now)
        elif flow.end is not None:
            flow.data += flow.end.on_frame(frame, now)
            self._read(flow, now)

    def _on_accepted(self, flow: Flow, frame: Frame, now: float) -> None:
        if flow.end is not None:
            return  # Redundant acceptance or retransmission.
        flow.end = StreamEnd(
            lambda flags, seq, ack, data: self.send(
                Frame(flow.own, flow.service, flags, seq, ack, data)
            ),
            (flow.first_seq + 1) % (1 << 32),
            (frame.seq + 1) % (1 << 32),
            max_retransmits=1000,
        )
        self._write(flow, flow.end, now)

    def _on_reset(self, flow: Flow, frame: Frame, now: float) -> None:
        opened = flow.end is not None
        if opened:
            by_server = frame.checksum != 0
            alive = self.is_alive(flow.own, flow.service)
            self.judge.on_reset(alive, by_server, now)
        self._drop(flow)
        self._retry(flow.pending, "reset" if opened else "not opened", now)

    def _read(self, flow: Flow, now: float) -> None:
        answer = read_answer(flow.data)
        if answer is not None:
            flow.data = flow.data[answer.size :]
            self._on_answer(flow, answer, now)
        if flow.end is not None and flow.end.peer_closed:
            pending = flow.pending
            flow.end.write(b"", now, closes=True)
            self._drop(flow)
            self._retry(pending, "reset", now)

    def _on_answer(self, flow: Flow, answer: Answer, now: float) -> None:
        pending = flow.pending
        if pending is None or pending.number != answer.number:
            self.judge.break_rule("MIXED", f"answer {answer.number}", now)
            return
        flow.pending = None
        if answer.status != 200:
            self._retry(pending, "rejected", now)
        elif not pending.over:
            pending.over = True
            latency_s = now - pending.started_at
            self._end(pending, "answered", latency_s)
        self._keep_or_close(flow, pending.workload, now)

    def _keep_or_close(
        self, flow: Flow, workload: Workload, now: float
    ) -> None:
        key = (flow.own[0], workload.name)
        idle_flows = self.idle.setdefault(key, [])
        if workload.long_flows and len(idle_flows) < MAX_IDLE_FLOWS:
            idle_flows.append(flow)
        elif flow.end is not None:
            flow.end.write(b"", now, closes=True)
            self.later(2.0, lambda: self._drop(flow))

    def _retry(self, pending: Pending | None, reason: str, now: float) -> None:
        if pending is None or pending.over:
            return
        safe = pending.workload.kind == "safe"
        if pending.retries and (safe or reason != "reset"):
            pending.retries -= 1
            pending.number = self.register(pending.workload)
            self._send_request(pending, now)
            return
        pending.over = True
        outcome = "failed" if reason == "reset" else "refused"
        self._end(pending, outcome)

    def _end(
        self, pending: Pending, outcome: str, latency_s: float = 0.0
    ) -> None:
        self.judge.on_outcome(
            pending.workload, outcome, latency_s, pending.started_at, self.zone
        )

    def _on_deadline(self, pending: Pending, now: float) -> None:
        if pending.over:
            return
        pending.over = True
        self._end(pending, "failed")
        for flow in list(self.flows.values()):
            if flow.pending is pending:
                self._abandon(flow)

    def _abandon(self, flow: Flow) -> None:
        if flow.end is not None:
            flow.end.emit(RST, flow.end.next_seq, flow.end.next_in, b"")
        self._drop(flow)

    def _drop(self, flow: Flow) -> None:
        flow.closed = True
        self.flows.pop(flow.own, None)

    def tick(self, now: float) -> None:
        """Sends due retransmissions and acknowledgements."""
        for flow in list(self.flows.values()):
            if flow.end is not None:
                flow.end.tick(now)
