"""Exchanges: the message layer of CoAP between a caller and its flow.

It detects retransmissions, matches answers to requests, and passes messages of
streams through unchanged. A slow request is not acknowledged before its
answer: the caller keeps retransmitting, so that another agent receives the
request if this one fails.
"""

from collections.abc import Callable

import attrs
import xxhash

from notchhoist import model, wire
from notchhoist.blackboards import (
    AgentBoard,
    Count,
    Exchange,
    Flow,
    LocalOrigin,
    Origin,
    Run,
)
from notchhoist.controllers.load_tracker import LoadTracker

MAX_EXCHANGES_PER_FLOW = 64
DEFAULT_KIND = model.Kind(
    name="other", method="", path="", weight=1, repeatable=False
)
STREAM_SEND_TIMEOUT_S = 1.0


@attrs.define
class MessageLayer:
    """Processes the datagrams of owned flows and sends answers to callers.

    Attributes:
        board: State of the agent.
        loads: Chooses the balancer that sends a datagram to a caller.
        on_run: Called with each new run.
        on_pinned: Called when a stream ties a flow to its backend server.
    """

    board: AgentBoard
    loads: LoadTracker
    on_run: Callable[[Run, float], None] = attrs.field(init=False)
    on_pinned: Callable[[Flow], None] = attrs.field(init=False)

    def on_datagram(self, flow: Flow, datagram: bytes, now: float) -> None:
        """Processes a datagram that arrived on a flow that this agent owns."""
        service = self.board.service
        if service is not None and not service.kinds:
            self._pass_to_backend(flow.caller, datagram, now)
            return
        try:
            message = wire.decode_coap(datagram)
        except model.CodecError:
            self.board.counters[Count.CALLER_MALFORMED] += 1
            self.send_owner_hint(flow, now)
            return
        if message.is_request:
            self._on_request(flow, message, datagram, now)
        elif message.is_empty:
            self._on_empty(flow, message, datagram, now)
        else:
            self.board.counters[Count.CALLER_MALFORMED] += 1
            self.send_owner_hint(flow, now)

    def send_owner_hint(self, flow: Flow, now: float) -> None:
        """Tells the balancer which agent owns the flow, without a datagram."""
        self.send_to_caller(flow, b"", now)

    def _on_empty(
        self, flow: Flow, message: wire.CoapMessage, datagram: bytes, now: float
    ) -> None:
        if message.is_confirmable:
            self.send_to_caller(flow, wire.reset_for(message.mid), now)
            return
        if flow.streams or flow.restored:
            self._pass_to_backend(flow.caller, datagram, now)
        self.send_owner_hint(flow, now)

    def _pass_to_backend(
        self, caller: model.Endpoint, datagram: bytes, now: float
    ) -> None:
        self.board.outbox.append(
            model.SendBackend(caller, datagram, now + STREAM_SEND_TIMEOUT_S)
        )

    def _on_request(
        self, flow: Flow, request: wire.CoapMessage, datagram: bytes, now: float
    ) -> None:
        earlier = flow.exchanges.get(request.mid)
        if earlier is not None and earlier.request.token == request.token:
            self._on_retransmission(flow, earlier, now)
            return
        self.board.counters[Count.REQUESTS] += 1
        exchange = Exchange(request=request, at=now)
        flow.exchanges[request.mid] = exchange
        if len(flow.exchanges) > MAX_EXCHANGES_PER_FLOW:
            flow.exchanges.popitem(last=False)
        self._track_upload(flow, request, now)
        self.on_run(self._make_run(flow, request, datagram, now), now)

    def _on_retransmission(
        self, flow: Flow, exchange: Exchange, now: float
    ) -> None:
        self.board.counters[Count.RETRANSMISSIONS] += 1
        if exchange.reply is not None:
            self.send_to_caller(flow, exchange.reply, now)
        else:
            self.send_owner_hint(flow, now)

    def _track_upload(
        self, flow: Flow, request: wire.CoapMessage, now: float
    ) -> None:
        if request.block1 is None:
            return
        number, more = request.block1
        upload = upload_key(request)
        if not more:
            flow.uploads.pop(upload, None)
        elif number == 0 or upload in flow.uploads:
            flow.uploads[upload] = now

    def _make_run(
        self, flow: Flow, request: wire.CoapMessage, datagram: bytes, now: float
    ) -> Run:
        return self.make_run(
            flow.caller,
            request,
            datagram,
            LocalOrigin(flow.caller, request.mid),
            now,
        )

    def make_run(
        self,
        caller: model.Endpoint,
        request: wire.CoapMessage,
        datagram: bytes,
        origin: Origin,
        now: float,
    ) -> Run:
        """Makes a run for a request.

        The kinds of the service determine its weight, its deadline and
        whether it is repeatable.
        """
        kind = kind_of(self.board.service, request)
        run = Run(
            number=self.board.allocate_run_number(),
            caller=caller,
            request=request,
            datagram=datagram,
            kind=kind.name,
            weight=kind.weight,
            repeatable=kind.repeatable,
            arrived_at=now,
            deadline=now + kind.deadline_s,
            origins=[origin],
        )
        if not kind.repeatable:
            run.identity = identity_of(caller, request)
            run.attempt = attempt_of(run.identity, request)
        return run

    def answer(
        self,
        origin: LocalOrigin,
        render: Callable[[wire.CoapMessage], bytes],
        now: float,
    ) -> None:
        """Sends the final answer to a request, unless it has one already.

        Args:
            origin: Flow and message ID of the request.
            render: Encodes the answer to a request.
            now: Runtime clock, seconds.
        """
        flow = self.board.flows.get(origin.caller)
        exchange = flow.exchanges.get(origin.mid) if flow else None
        if flow is None or exchange is None or exchange.reply is not None:
            return
        exchange.reply = render(exchange.request)
        self.send_to_caller(flow, exchange.reply, now)

    def send_to_caller(self, flow: Flow, datagram: bytes, now: float) -> None:
        """Sends a datagram to the caller of a flow through a live balancer."""
        balancer = self.loads.choose_balancer(flow.balancer, now)
        if balancer is None:
            return
        self.board.send(
            balancer,
            model.Deliver(
                service=self.board.identity.service,
                caller=flow.caller,
                datagram=datagram,
                owner=self.board.identity.peer,
            ),
        )

    def open_stream(self, flow: Flow, token: bytes, now: float) -> None:
        """Records a stream that the backend server has accepted."""
        was_pinned = flow.is_pinned()
        flow.streams[token] = now
        if not was_pinned:
            self.on_pinned(flow)

    def on_notification(
        self,
        caller: model.Endpoint,
        message: wire.CoapMessage,
        datagram: bytes,
        now: float,
    ) -> bool:
        """Forwards a notification of a stream to the caller.

        Returns:
            False if the flow has no such stream.
        """
        flow = self.board.flows.get(caller)
        if flow is None:
            return False
        if message.token not in flow.streams and not flow.restored:
            return False
        flow.last_seen = now
        if message.observe is not None:
            flow.streams[message.token] = now
        else:
            flow.streams.pop(message.token, None)
        self.send_to_caller(flow, datagram, now)
        return True

    def on_opaque(
        self, caller: model.Endpoint, datagram: bytes, now: float
    ) -> None:
        """Forwards a datagram of a service without kinds to the caller."""
        flow = self.board.flows.get(caller)
        if flow is not None:
            flow.last_seen = now
            self.send_to_caller(flow, datagram, now)


def kind_of(
    service: model.Service | None, request: wire.CoapMessage
) -> model.Kind:
    """Returns the first kind of the service that matches a request.

    A request without a match gets the lowest weight and is not repeatable.
    """
    segment = request.path[0] if request.path else ""
    for kind in service.kinds if service else ():
        if kind.method == request.method and kind.path in ("", segment):
            return kind
    return DEFAULT_KIND


def identity_of(caller: model.Endpoint, request: wire.CoapMessage) -> bytes:
    """Returns the digest that identifies a request that is not repeatable.

    It covers the caller's endpoint and its Request-Tag with the block number,
    or, without a Request-Tag, its token and message ID.
    """
    tag = request.request_tag
    if tag is None:
        name = b"m%d:%s" % (request.mid, request.token)
    else:
        name = b"t%d:%s" % ((request.block1 or (0, False))[0], tag)
    return xxhash.xxh3_128_digest(b"%s|%s" % (str(caller).encode(), name))


def attempt_of(identity: bytes, request: wire.CoapMessage) -> bytes:
    """Returns the digest that identifies one sending of a request."""
    name = b"%d:%s" % (request.mid, request.token)
    return xxhash.xxh3_128_digest(identity + name)


def upload_key(request: wire.CoapMessage) -> bytes:
    """Returns the key that all blocks of one upload share."""
    return (request.request_tag or b"") + "/".join(request.path).encode()
