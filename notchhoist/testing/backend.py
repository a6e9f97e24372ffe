"""Model of a backend server: a sans-I/O CoAP server with slots.

It processes as many requests at a time as it has slots and sheds the rest. It
can be slow after its start and can be drained. It supports cancellation (a
reset of the request), deadlines, notifications to observers and block-wise
uploads. The figure of its load endpoint may be late or wrong.
"""

import heapq
import itertools
from collections import OrderedDict, deque

import attrs
from aiocoap import Message
from aiocoap.numbers.codes import Code
from aiocoap.numbers.types import Type

from notchhoist import model, wire
from notchhoist.testing.history import History, Started

MAX_CACHED_ANSWERS = 4096
NOTIFY_INTERVAL_S = 0.5
COLD_FACTOR = 4.0
MAX_PIGGYBACKED_S = 0.8
LOAD_PATH = "load"
NON_REPEATABLE_METHOD = "POST"


@attrs.frozen
class BackendProfile:
    """Behavior of a simulated backend server.

    Attributes:
        service: Name of the service.
        name: Name of the backend server.
        slots: Number of requests processed at the same time.
        service_s: Time to process a request, seconds.
        cold_s: Time after the start in which requests take ``COLD_FACTOR``
            times as long, seconds.
        shed_every: Every n-th request is shed although a slot may be free;
            0 disables this.
        load_lag_s: Age of the figure that the load endpoint shows, seconds.
        load_lie: Factor by which the load endpoint multiplies the true figure.
    """

    service: str
    name: str
    slots: int
    service_s: float = 0.05
    cold_s: float = 0.0
    shed_every: int = 0
    load_lag_s: float = 5.0
    load_lie: float = 1.0


@attrs.define
class Work:
    """A request in progress.

    Attributes:
        number: Orders requests that finish at the same time.
        source: Endpoint that receives the response.
        request: The request.
        deadline: Runtime clock after which no response is sent, seconds, or
            None.
        acknowledged: Whether the response follows a separate, empty
            acknowledgement.
        cancelled: Whether the request was reset.
    """

    number: int
    source: model.Endpoint
    request: wire.CoapMessage
    deadline: float | None
    acknowledged: bool
    cancelled: bool = False


@attrs.define
class Observer:
    """A caller that observes a resource (a stream).

    Attributes:
        source: Endpoint that receives the notifications.
        request: The request that registered the observer.
        count: Number of notifications so far, with the first response.
        next_at: Runtime clock at which the next notification is due, seconds.
    """

    source: model.Endpoint
    request: wire.CoapMessage
    count: int
    next_at: float


@attrs.frozen
class Reply:
    """A datagram that the backend server sends.

    Attributes:
        to: Destination.
        datagram: Encoded CoAP message.
    """

    to: model.Endpoint
    datagram: bytes


@attrs.define
class BackendModel:
    """A simulated backend server.

    Attributes:
        profile: Behavior of the server.
        started_at: Runtime clock at its start, seconds.
        history: Records the start of each request.
        draining: Whether new requests are refused.
        slow_factor: Factor by which the processing time is multiplied.
        in_progress: Requests in progress by source and message ID.
        peak: Largest number of requests in progress at the same time.
        finished: Number of requests that finished before their deadline.
        requests_received: Number of requests received, without retransmissions
            and load queries.
        answers: Responses by source and message ID, resent for
            retransmitted requests.
        observers: Observers by source and token.
        uploads: Blocks received so far, by source and path.
        loads: Requests in progress, with the runtime clock from which the
            load endpoint shows each figure.
        due: Heap of requests in progress, ordered by the time they finish.
        numbers: Source of message IDs and of the numbers of requests.
    """

    profile: BackendProfile
    started_at: float
    history: History
    draining: bool = False
    slow_factor: float = 1.0
    in_progress: dict[tuple[model.Endpoint, int], Work] = attrs.Factory(dict)
    peak: int = 0
    finished: int = 0
    requests_received: int = 0
    answers: OrderedDict[tuple[model.Endpoint, int], bytes] = attrs.Factory(
        OrderedDict
    )
    observers: dict[tuple[model.Endpoint, bytes], Observer] = attrs.Factory(
        dict
    )
    uploads: dict[tuple[model.Endpoint, str], list[bytes]] = attrs.Factory(dict)
    loads: deque[tuple[float, int]] = attrs.Factory(deque)
    due: list[tuple[float, int, Work]] = attrs.Factory(list)
    numbers: "itertools.count[int]" = attrs.Factory(lambda: itertools.count(1))

    def receive(
        self, datagram: bytes, source: model.Endpoint, now: float
    ) -> list[Reply]:
        """Handles a received datagram and returns the datagrams to send."""
        try:
            message = wire.decode_coap(datagram)
        except model.CodecError:
            return []
        key = (source, message.mid)
        if message.is_empty:
            self._on_empty(message, key)
            return []
        if not message.is_request:
            return []
        if key in self.answers:
            return [Reply(source, self.answers[key])]
        if key in self.in_progress:
            return []
        return self._on_request(message, source, now)

    def _on_empty(
        self, message: wire.CoapMessage, key: tuple[model.Endpoint, int]
    ) -> None:
        if not message.is_reset:
            return
        work = self.in_progress.pop(key, None)
        if work is not None:
            work.cancelled = True
        for name in list(self.observers):
            if name[0] == key[0] and work is None:
                del self.observers[name]

    def _on_request(
        self, request: wire.CoapMessage, source: model.Endpoint, now: float
    ) -> list[Reply]:
        if request.path[:1] == (LOAD_PATH,):
            return [self._load_response(request, source, now)]
        self.requests_received += 1
        if not self._matches_service(request):
            self.history.misdirected.append(request_name(request))
        is_continuation = wire.is_block_continuation(request)
        if self.draining and not is_continuation and request.observe != 1:
            return [self._refusal(request, source, b"draining")]
        if self._should_shed():
            return [self._refusal(request, source, b"shed")]
        self._record_start(request, now)
        return self._start(request, source, now)

    def _load_response(
        self, request: wire.CoapMessage, source: model.Endpoint, now: float
    ) -> Reply:
        """Answers ``GET /load`` with a figure that may be late or wrong."""
        self._record_load(now)
        old = [item for item in self.loads if item[0] <= now]
        shown = int(old[-1][1] * self.profile.load_lie) if old else 0
        text = f"{shown} of {self.profile.slots}".encode()
        answer = Message(code=Code.CONTENT, payload=text)
        return self._direct_response(request, source, answer)

    def _record_load(self, now: float) -> None:
        due = now + self.profile.load_lag_s
        self.loads.append((due, len(self.in_progress)))
        while len(self.loads) > 1 and self.loads[1][0] <= now:
            self.loads.popleft()

    def _matches_service(self, request: wire.CoapMessage) -> bool:
        return len(request.path) > 1 and request.path[1] == self.profile.service

    def _should_shed(self) -> bool:
        every = self.profile.shed_every
        if every and self.requests_received % every == 0:
            return True
        return len(self.in_progress) >= self.profile.slots

    def _refusal(
        self, request: wire.CoapMessage, source: model.Endpoint, why: bytes
    ) -> Reply:
        answer = Message(code=Code.SERVICE_UNAVAILABLE, payload=why)
        answer.opt.max_age = 1
        return self._direct_response(request, source, answer)

    def _record_start(self, request: wire.CoapMessage, now: float) -> None:
        self.history.started.append(
            Started(
                at=now,
                service=self.profile.service,
                server=self.profile.name,
                request=request_name(request),
                once=request.method == NON_REPEATABLE_METHOD,
            )
        )

    def _start(
        self, request: wire.CoapMessage, source: model.Endpoint, now: float
    ) -> list[Reply]:
        duration_s = self._service_time(now)
        remaining_s = wire.deadline_of(request)
        work = Work(
            number=next(self.numbers),
            source=source,
            request=request,
            deadline=None if remaining_s is None else now + remaining_s,
            acknowledged=duration_s > MAX_PIGGYBACKED_S,
        )
        self.in_progress[source, request.mid] = work
        self.peak = max(self.peak, len(self.in_progress))
        self._record_load(now)
        heapq.heappush(self.due, (now + duration_s, work.number, work))
        if work.acknowledged and request.is_confirmable:
            return [Reply(source, wire.empty_ack(request.mid))]
        return []

    def _service_time(self, now: float) -> float:
        is_cold = now - self.started_at < self.profile.cold_s
        factor = COLD_FACTOR if is_cold else 1.0
        return self.profile.service_s * factor * self.slow_factor

    def next_due(self) -> float | None:
        """Returns when ``tick`` is next due (runtime clock), or None."""
        times = [item.next_at for item in self.observers.values()]
        if self.due:
            times.append(self.due[0][0])
        return min(times, default=None)

    def tick(self, now: float) -> list[Reply]:
        """Finishes requests and sends notifications that are due."""
        replies = []
        while self.due and self.due[0][0] <= now:
            work = heapq.heappop(self.due)[2]
            replies.extend(self._finish(work, now))
        for observer in self.observers.values():
            if observer.next_at <= now:
                replies.append(self._notify(observer, now))
        return replies

    def _finish(self, work: Work, now: float) -> list[Reply]:
        if work.cancelled:
            return []
        self.in_progress.pop((work.source, work.request.mid), None)
        if work.deadline is not None and now > work.deadline:
            return []
        self.finished += 1
        answer = self._result(work, now)
        if work.acknowledged:
            return [self._separate_response(work.request, work.source, answer)]
        return [self._direct_response(work.request, work.source, answer)]

    def _result(self, work: Work, now: float) -> Message:
        request = work.request
        if request.block1 is not None:
            return self._receive_block(work)
        if wire.is_observe_registration(request):
            return self._open_stream(work, now)
        if request.observe == 1:
            self.observers.pop((work.source, request.token), None)
        code = Code.CONTENT if request.method == "GET" else Code.CHANGED
        return Message(code=code, payload=self._payload(request))

    def _payload(self, request: wire.CoapMessage) -> bytes:
        return f"{self.profile.name}|{request_name(request)}".encode()

    def _receive_block(self, work: Work) -> Message:
        request = work.request
        number, more = request.block1 or (0, False)
        key = (work.source, "/".join(request.path))
        if number == 0:
            self.uploads[key] = []
        blocks = self.uploads.get(key)
        if blocks is None or len(blocks) != number:
            return Message(code=Code.REQUEST_ENTITY_INCOMPLETE)
        blocks.append(request.payload)
        code = Code.CONTINUE
        payload = b""
        if more:
            answer = Message(code=code, payload=payload)
        else:
            del self.uploads[key]
            size = sum(len(block) for block in blocks)
            text = self._payload(request) + f"|{size}".encode()
            answer = Message(code=Code.CHANGED, payload=text)
        answer.opt.block1 = request.raw.opt.block1
        return answer

    def _open_stream(self, work: Work, now: float) -> Message:
        key = (work.source, work.request.token)
        self.observers[key] = Observer(
            work.source, work.request, 1, now + NOTIFY_INTERVAL_S
        )
        answer = Message(
            code=Code.CONTENT, payload=self._payload(work.request) + b"|1"
        )
        answer.opt.observe = 1
        return answer

    def _notify(self, observer: Observer, now: float) -> Reply:
        observer.count += 1
        observer.next_at = now + NOTIFY_INTERVAL_S
        text = self._payload(observer.request) + b"|%d" % observer.count
        answer = Message(code=Code.CONTENT, payload=text)
        answer.opt.observe = observer.count
        return self._separate_response(
            observer.request, observer.source, answer
        )

    def _separate_response(
        self, request: wire.CoapMessage, source: model.Endpoint, answer: Message
    ) -> Reply:
        answer.mtype = Type.NON
        answer.mid = (next(self.numbers) * 7919) & 0xFFFF
        answer.token = request.token
        return Reply(source, answer.encode())

    def _direct_response(
        self, request: wire.CoapMessage, source: model.Endpoint, answer: Message
    ) -> Reply:
        data = wire.encode_response_for(wire.CoapMessage(answer), request)
        self.answers[source, request.mid] = data
        if len(self.answers) > MAX_CACHED_ANSWERS:
            self.answers.popitem(last=False)
        return Reply(source, data)


def request_name(request: wire.CoapMessage) -> str:
    """Returns the name of a request: the last segment of its path."""
    return request.path[-1] if request.path else ""
