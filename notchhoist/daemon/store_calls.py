"""Requests of a balancer to the platform's store, on the event loop."""

from collections.abc import Callable, Iterable, Mapping

from msgspec import Struct

from notchhoist.daemon.http_call import (
    NO_ANSWER,
    NOT_NEEDED,
    TOO_LONG,
    HttpClient,
)
from notchhoist.daemon.loop import Loop
from notchhoist.flows.model.effects import Effect
from notchhoist.flows.model.records import Timing
from notchhoist.platform.calls import StoreCall
from notchhoist.platform.feeding import StoreFeeder

NOT_APPLIED = "answer not applied"
"""Failure reason of a request whose response caused an exception."""

RETRY_S = 1.0
"""Time until the next request after an exception, seconds."""


class StoreCalls(Struct, eq=False):
    """Sends the requests of a balancer to the platform's store.

    Attributes:
        loop: The event loop.
        feeder: Decides which requests are sent and handles the responses.
        client: Sends the requests of ``call``.
        confirming_client: Sends those of ``confirm``, which cannot wait for a
            watch to end.
        perform: Performs effects.
        observe: Records the time since a given time, by timing and outcome.
    """

    loop: Loop
    feeder: StoreFeeder
    client: HttpClient
    confirming_client: HttpClient
    perform: Callable[[Iterable[Effect]], None]
    observe: Callable[[Timing, str, float], None]

    def call(self) -> None:
        """Sends the next request, if one is needed."""
        if not self.loop.call(self._call):
            self.loop.call_later(RETRY_S, self.call)

    def _call(self) -> None:
        call = self.feeder.next_call(self.loop.clock())
        if call is None:
            self._schedule()
            return
        feeder = self.feeder
        self._send(
            self.client,
            call,
            feeder.on_answer,
            self._on_failed,
            lambda: feeder.needs_answer(self.loop.clock()),
        )

    def _on_failed(self, reason: str, now: float) -> None:
        if reason == NOT_NEEDED:
            self.feeder.on_not_needed(now)
            return
        if reason == TOO_LONG:
            # The changes since then will not get fewer; pages are short.
            self.feeder.reader.request_listing()
        self.feeder.on_failed(reason, now, silent=reason == NO_ANSWER)

    def confirm(self) -> None:
        """Sends a confirming request; no other one may be pending."""
        feeder = self.feeder
        self._send(
            self.confirming_client,
            feeder.confirming_call(self.loop.clock()),
            feeder.on_confirmation,
            feeder.on_confirmation_failed,
        )

    def _send(
        self,
        caller: HttpClient,
        call: StoreCall,
        on_answer: Callable[[int, bytes, float, Mapping[str, str]], None],
        on_failed: Callable[[str, float], None],
        is_needed: Callable[[], bool] = lambda: True,
    ) -> None:
        clock = self.loop.clock
        sent_at = clock()

        def done(status: int, body: bytes) -> None:
            outcome = f"{call.purpose} {status}"
            self.observe(Timing.STORE, outcome, sent_at)
            try:
                on_answer(status, body, clock(), caller.headers)
            except Exception as error:  # Any type: the reading must go on.
                self.loop.report(f"{call.purpose} answer", error)
                self._on_not_applied(on_failed)
            self._on_finished(caller)

        def failed(reason: str) -> None:
            self.observe(Timing.STORE, f"{call.purpose} failed", sent_at)
            self.loop.call(lambda: on_failed(reason, clock()))
            self._on_finished(caller)

        caller.get(
            call.target,
            call.timeout_s,
            done,
            failed,
            call.total_timeout_s,
            is_needed,
        )

    def _on_not_applied(self, on_failed: Callable[[str, float], None]) -> None:
        """Reads everything again, as the answer was applied in part."""
        now, reader = self.loop.clock(), self.feeder.reader
        reader.restart_listing()
        self.loop.call(lambda: on_failed(NOT_APPLIED, now))
        reader.due = max(reader.due, now + RETRY_S)

    def _on_finished(self, caller: HttpClient) -> None:
        if caller is self.client:
            self._schedule()
        else:
            self.perform(self.feeder.node.take_effects())

    def _schedule(self) -> None:
        self.perform(self.feeder.node.take_effects())
        due = self.feeder.reader.due
        if due <= self.loop.clock():
            self.call()
        else:
            self.loop.call_at(due, self.call)
