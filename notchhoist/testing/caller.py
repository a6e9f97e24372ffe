"""Model of a caller: a sans-I/O CoAP client with retransmission.

A caller has one endpoint and performs its tasks one after another. Paths are
``/KIND/SERVICE/NAME``. The name is unique, so that each response can be matched
with its request.
"""

import enum
import random
from collections.abc import Sequence

import attrs
from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type
from aiocoap.optiontypes import BlockOption

from notchhoist import model, wire
from notchhoist.testing.history import FinalResult, History, Result

ACK_TIMEOUT_S = 2.0
ACK_RANDOM = 1.5
MAX_RETRANSMIT = 4
ANSWER_TIMEOUT_S = 60.0
STREAM_SILENCE_S = 5.0
MID_BITS = 16
MAX_MID = 0xFFFF
BLOCK_EXPONENT = 4
BLOCK_BYTES = 2 ** (BLOCK_EXPONENT + 4)


class Mode(enum.StrEnum):
    """Form of a task."""

    REQUEST = "request"
    UPLOAD = "upload"
    STREAM = "stream"


@attrs.frozen
class Task:
    """A request, an upload or a stream of a caller.

    Attributes:
        kind: Name of the kind of request, the first segment of the path.
        method: CoAP method.
        service: Service to which the request goes.
        name: Name of the request, unique in a run.
        mode: Plain request, block-wise upload or stream.
        size: Bytes of an upload, or notifications after which a stream is
            closed.
        tagged: Whether a plain request carries its name as Request-Tag;
            uploads always do.
        pause_s: Time to wait before the task, seconds.
    """

    kind: str
    method: str
    service: str
    name: str
    mode: Mode = Mode.REQUEST
    size: int = 0
    tagged: bool = False
    pause_s: float = 0.0


@attrs.define
class CallerModel:
    """A simulated caller.

    Attributes:
        tasks: Tasks not yet begun, in order.
        history: Records the result of each task.
        rng: Source of tokens, retransmission timeouts and the first message
            ID.
        current: The current task, or None.
        mid: Message ID of the last request.
        token: Token of the last request.
        datagram: The last request, encoded for retransmission.
        began_at: Start of the current task, seconds.
        start_at: Start of the next task, seconds; 0 if not yet determined.
        resend_at: Time of the next retransmission, seconds, or None.
        resend_gap: Current retransmission timeout, seconds.
        resends: Retransmissions of the last request.
        block: Number of the current block of an upload.
        notified: Notifications received by the current stream.
        heard_at: Time of the last notification, seconds.
        told: Number of finished tasks.
    """

    tasks: list[Task]
    history: History
    rng: random.Random
    current: Task | None = None
    mid: int = 0
    token: bytes = b""
    datagram: bytes = b""
    began_at: float = 0.0
    start_at: float = 0.0
    resend_at: float | None = None
    resend_gap: float = 0.0
    resends: int = 0
    block: int = 0
    notified: int = 0
    heard_at: float = 0.0
    told: int = 0

    def is_done(self) -> bool:
        """Returns whether every task has finished."""
        return self.current is None and not self.tasks

    def tick(self, now: float) -> list[bytes]:
        """Returns the datagrams that are due; ends a task that timed out."""
        if self.current is None:
            return self._next_task(now)
        if self.notified:
            return self._check_stream(now)
        if now - self.began_at > ANSWER_TIMEOUT_S:
            return self._end(Result.SILENT, "", now)
        if self.resend_at is not None and now >= self.resend_at:
            return self._resend(now)
        return []

    def _next_task(self, now: float) -> list[bytes]:
        if not self.tasks:
            return []
        if not self.start_at:
            self.start_at = now + self.tasks[0].pause_s
        if now < self.start_at:
            return []
        self.start_at = 0.0
        self.current = self.tasks.pop(0)
        self.began_at = now
        self.block = 0
        self.notified = 0
        return self._send(self._first_message(self.current), now)

    def _first_message(self, task: Task) -> Message:
        message = self._message(task)
        if task.mode is Mode.STREAM:
            message.opt.observe = 0
        elif task.mode is Mode.UPLOAD:
            self._put_block(message, task)
        else:
            message.payload = task.name.encode()
        return message

    def _message(self, task: Task) -> Message:
        message = Message(code=getattr(Code, task.method))
        message.opt.uri_path = (task.kind, task.service, task.name)
        if task.tagged or task.mode is Mode.UPLOAD:
            message.opt.request_tag = [task.name.encode()[:8]]
        return message

    def _put_block(self, message: Message, task: Task) -> None:
        start = self.block * BLOCK_BYTES
        size = min(BLOCK_BYTES, task.size - start)
        more = start + size < task.size
        message.payload = b"u" * size
        message.opt.block1 = BlockOption.BlockwiseTuple(
            self.block, more, BLOCK_EXPONENT
        )

    def _send(self, message: Message, now: float) -> list[bytes]:
        self.mid = (self.mid + 1) & MAX_MID
        self.token = self.rng.getrandbits(32).to_bytes(4, "big")
        message.mtype = Type.CON
        message.mid = self.mid
        message.token = self.token
        self.datagram = message.encode()
        self.resends = 0
        self.resend_gap = ACK_TIMEOUT_S * self.rng.uniform(1.0, ACK_RANDOM)
        self.resend_at = now + self.resend_gap
        return [self.datagram]

    def _resend(self, now: float) -> list[bytes]:
        if self.resends >= MAX_RETRANSMIT:
            return self._end(Result.SILENT, "", now)
        self.resends += 1
        self.resend_gap *= 2
        self.resend_at = now + self.resend_gap
        return [self.datagram]

    def _check_stream(self, now: float) -> list[bytes]:
        if now - self.heard_at <= STREAM_SILENCE_S:
            return []
        self.history.broken["stream_silent"] += 1
        return self._end(Result.FAILED, "silent", now)

    def receive(self, datagram: bytes, now: float) -> list[bytes]:
        """Handles a received datagram and returns the datagrams to send."""
        try:
            message = wire.decode_coap(datagram)
        except model.CodecError:
            return []
        if message.is_empty:
            if message.mid == self.mid and not message.is_reset:
                self.resend_at = None
            return []
        replies = self._acknowledgement(message)
        if self.current is None or message.token != self.token:
            return replies
        self.resend_at = None
        return replies + self._on_response(self.current, message, now)

    def _acknowledgement(self, message: wire.CoapMessage) -> list[bytes]:
        if not message.is_confirmable:
            return []
        return [wire.empty_ack(message.mid)]

    def _on_response(
        self, task: Task, message: wire.CoapMessage, now: float
    ) -> list[bytes]:
        text = message.payload.decode(errors="replace")
        if not message.code.is_successful():
            return self._on_refusal(task, message, text, now)
        if task.mode is Mode.STREAM:
            return self._on_notification(task, text, now)
        if message.code is Code.CONTINUE:
            self.block += 1
            following = self._message(task)
            self._put_block(following, task)
            return self._send(following, now)
        return self._end(Result.ANSWERED, text, now)

    def _on_refusal(
        self, task: Task, message: wire.CoapMessage, text: str, now: float
    ) -> list[bytes]:
        result = _result_of(message, text)
        established = self.block > 0 or self.notified > 0
        if established:
            self.history.broken[f"{task.mode}_{result}"] += 1
        return self._end(result, text, now)

    def _on_notification(
        self, task: Task, text: str, now: float
    ) -> list[bytes]:
        self.notified += 1
        self.heard_at = now
        if self.notified < task.size:
            return []
        ended = self._end(Result.ANSWERED, text, now)
        message = Message(code=Code.GET)
        message.opt.uri_path = (task.kind, task.service, task.name)
        message.opt.observe = 1
        message.mtype = Type.NON
        self.mid = (self.mid + 1) & MAX_MID
        message.mid = self.mid
        message.token = self.token
        return [*ended, message.encode()]

    def _end(self, result: Result, text: str, now: float) -> list[bytes]:
        task = self.current
        if task is None:
            return []
        if result is Result.SILENT and self.block > 0:
            self.history.broken["upload_silent"] += 1
        self.history.told.append(
            FinalResult(
                at=now,
                service=task.service,
                request=task.name,
                result=result,
                payload=text,
                latency_s=now - self.began_at,
                kind=task.kind,
            )
        )
        self.told += 1
        self.current = None
        self.notified = 0
        self.resend_at = None
        return []


def _result_of(message: wire.CoapMessage, text: str) -> Result:
    if message.code is Code.GATEWAY_TIMEOUT:
        return Result.UNKNOWN
    if message.code is Code.SERVICE_UNAVAILABLE:
        return Result.NOT_RUN if text.startswith("not run") else Result.BUSY
    return Result.FAILED


def make_caller(
    tasks: Sequence[Task], history: History, seed: int
) -> CallerModel:
    """Creates a caller that performs tasks in order."""
    rng = random.Random(seed)
    return CallerModel(list(tasks), history, rng, mid=rng.getrandbits(MID_BITS))
