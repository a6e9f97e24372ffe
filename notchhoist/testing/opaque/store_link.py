"""Requests of balancers to the store, with simulated faults."""

from typing import TYPE_CHECKING
from urllib.parse import parse_qsl, urlsplit

import attrs

from notchhoist.platform.calls import StoreCall
from notchhoist.testing.opaque.hosts import Host
from notchhoist.testing.opaque.store import RESEND_S

if TYPE_CHECKING:
    from notchhoist.testing.opaque.world import OpaqueWorld

POLL_S = 0.02
"""Interval at which a waiting watch checks for changes, seconds."""


@attrs.define(eq=False)
class StoreLink:
    """Carries requests and responses between balancers and the store.

    Attributes:
        world: The simulated world.
    """

    world: "OpaqueWorld"

    def call(self, host: Host, generation: int) -> None:
        """Sends the next request of a balancer, if its feeder has one."""
        if host.generation != generation or host.feeder is None:
            return
        if host.frozen:
            self.world.later(POLL_S, lambda: self.call(host, generation))
            return
        call = host.feeder.next_call(self.world.now)
        if call is None:
            self._call_again(host, generation)
            return
        self.world.store.calls += 1
        host.request_number += 1
        number = host.request_number
        self.world.later(
            call.timeout_s,
            lambda: self._on_failed(host, generation, number, "timeout"),
        )
        trouble = self.world.store.trouble_for(host.ip)
        if trouble == "silent" or self._is_cut(host):
            return
        delay = self.world.store.answer_s + self.world.network.cross_zone_s
        if trouble == "reset":
            self.world.later(
                delay,
                lambda: self._on_failed(host, generation, number, "reset"),
            )
        elif trouble:
            status = {"busy": 503, "many": 429}[trouble]
            self.world.later(
                delay,
                lambda: self._on_answer(host, generation, number, status, b""),
            )
        else:
            self.world.later(
                delay,
                lambda: self._answer_call(host, generation, number, call),
            )

    def confirm(self, host: Host, generation: int) -> None:
        """Sends a confirming request, which the store answers at once.

        It is independent of the request that ``call`` has under way.
        """
        if host.feeder is None:
            return
        call = host.feeder.confirming_call(self.world.now)
        self.world.store.calls += 1
        trouble = self.world.store.trouble_for(host.ip)
        cut = self._is_cut(host)
        delay = self.world.store.answer_s + self.world.network.cross_zone_s
        if trouble in ("silent", "reset") or cut:
            delay = call.timeout_s

        def take() -> None:
            if host.generation != generation or host.feeder is None:
                return
            feeder, now = host.feeder, self.world.now
            if trouble or cut:
                feeder.on_confirmation_failed(trouble or "cut", now)
            else:
                query = dict(parse_qsl(urlsplit(call.target).query))
                status, body = self.world.store.read_changes(query)
                body = self.world.store.watch_body() if body is None else body
                headers = self.world.store.headers()
                feeder.on_confirmation(status, body, now, headers)
            self.world.perform(host, feeder.node.take_effects())

        self.world.later(delay, take)

    def _answer_call(
        self,
        host: Host,
        generation: int,
        number: int,
        call: StoreCall,
        ends_at: float = 0.0,
    ) -> None:
        parts = urlsplit(call.target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        if parts.path == "/kv-range":
            body = self.world.store.read_range(query)
            self._send(host, generation, number, 200, body)
            return
        status, changes = self.world.store.read_changes(query)
        ends_at = ends_at or self.world.now + int(query["wait_ms"]) / 1000
        if changes is None and self.world.now < ends_at:
            self.world.later(
                POLL_S,
                lambda: self._answer_call(
                    host, generation, number, call, ends_at
                ),
            )
            return
        body = self.world.store.watch_body() if changes is None else changes
        if not self.world.store.trouble_for(host.ip):
            self._send(host, generation, number, status, body)

    def _send(
        self, host: Host, generation: int, number: int, status: int, body: bytes
    ) -> None:
        """Sends a response; it is retransmitted while the host is cut off."""

        def arrive() -> None:
            if self._is_cut(host):
                self.world.later(RESEND_S, arrive)
                return
            self.world.network.when_awake(
                host,
                lambda: self._on_answer(host, generation, number, status, body),
            )

        self.world.later(self.world.store.resend_delay(), arrive)

    def _is_cut(self, host: Host) -> bool:
        return self.world.network.is_cut(host.ip, host.ip)

    def _is_current(self, host: Host, generation: int, number: int) -> bool:
        same = host.generation == generation and host.request_number == number
        return same and host.node is not None

    def _on_answer(
        self, host: Host, generation: int, number: int, status: int, body: bytes
    ) -> None:
        if not self._is_current(host, generation, number):
            return
        host.request_number += 1
        if host.feeder is not None:
            headers = self.world.store.headers()
            host.feeder.on_answer(status, body, self.world.now, headers)
        self._call_again(host, generation)

    def _on_failed(
        self, host: Host, generation: int, number: int, reason: str
    ) -> None:
        if not self._is_current(host, generation, number):
            return
        if host.frozen:
            # A stalled process reads queued responses before it times out.
            self.world.later(
                POLL_S,
                lambda: self._on_failed(host, generation, number, reason),
            )
            return
        host.request_number += 1
        if host.feeder is not None:
            silent = reason in ("silent", "cut")
            host.feeder.on_failed(reason, self.world.now, silent)
        self._call_again(host, generation)

    def _call_again(self, host: Host, generation: int) -> None:
        if host.feeder is None:
            return
        self.world.perform(host, host.feeder.node.take_effects())
        delay = max(0.0, host.feeder.reader.due - self.world.now)
        self.world.later(delay, lambda: self.call(host, generation))
