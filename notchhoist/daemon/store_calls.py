"""A balancer's calls to the platform's store, on the small loop."""

from collections.abc import Callable, Iterable, Mapping

from msgspec import Struct

from notchhoist.daemon.http_call import NO_ANSWER, NOT_NEEDED, HttpCaller
from notchhoist.daemon.loop import Loop
from notchhoist.flows.model.effects import Effect
from notchhoist.flows.model.records import Timing
from notchhoist.platform.calls import StoreCall
from notchhoist.platform.feeding import StoreFeeder


class StoreCalls(Struct, eq=False):
    """Makes a balancer's calls to the platform's store.

    Attributes:
        loop: The event loop.
        feeder: Decides the calls.
        caller: Makes them.
        confirmer: Makes those that cannot wait for a watch to end.
        perform: Carries out effects.
        observe: Counts the time since a moment.
    """

    loop: Loop
    feeder: StoreFeeder
    caller: HttpCaller
    confirmer: HttpCaller
    perform: Callable[[Iterable[Effect]], None]
    observe: Callable[[Timing, str, float], None]

    def call(self) -> None:
        """Makes the next call, if one is needed."""
        call = self.feeder.next_call(self.loop.clock())
        if call is None:
            self._schedule()
            return
        feeder = self.feeder
        self._make(
            self.caller,
            call,
            feeder.on_answer,
            self._on_failed,
            lambda: feeder.needs_answer(self.loop.clock()),
        )

    def _on_failed(self, reason: str, now: float) -> None:
        if reason == NOT_NEEDED:
            self.feeder.on_not_needed(now)
            return
        self.feeder.on_failed(reason, now, silent=reason == NO_ANSWER)

    def confirm(self) -> None:
        """Makes a call beside the others; one is under way at the most."""
        feeder = self.feeder
        self._make(
            self.confirmer,
            feeder.confirming_call(self.loop.clock()),
            feeder.on_confirmation,
            feeder.on_confirmation_failed,
        )

    def _make(
        self,
        caller: HttpCaller,
        call: StoreCall,
        on_answer: Callable[[int, bytes, float, Mapping[str, str]], None],
        on_failed: Callable[[str, float], None],
        is_needed: Callable[[], bool] = lambda: True,
    ) -> None:
        clock = self.loop.clock
        called_at = clock()

        def done(status: int, body: bytes) -> None:
            outcome = f"{call.purpose} {status}"
            self.observe(Timing.STORE, outcome, called_at)
            on_answer(status, body, clock(), caller.headers)
            self._after(caller)

        def failed(reason: str) -> None:
            self.observe(Timing.STORE, f"{call.purpose} failed", called_at)
            on_failed(reason, clock())
            self._after(caller)

        caller.get(
            call.target, call.timeout_s, done, failed, call.most_s, is_needed
        )

    def _after(self, caller: HttpCaller) -> None:
        if caller is self.caller:
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
