"""Keeps a balancer's view up to date with the platform's store; no I/O."""

from collections.abc import Mapping, Sequence
from types import MappingProxyType

from msgspec import Struct

from notchhoist.base.errors import PlatformError
from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.revisions import count_of, era_of
from notchhoist.flows.published import problems
from notchhoist.platform.applying import apply_events
from notchhoist.platform.calls import HISTORY_GONE, StoreCall
from notchhoist.platform.changes import read_confirmation
from notchhoist.platform.eras import ERA_HEADER, read_era
from notchhoist.platform.items import ServersListed, StoreEvent
from notchhoist.platform.json_fields import FieldError
from notchhoist.platform.store import StoreReader
from notchhoist.platform.unnamed_eras import shows_older_state

CHECK_INTERVAL_S = 0.2
"""Interval at which a balancer that gets its view from other balancers checks
whether it must read the store itself, seconds. It is a fifteenth of the
propagation deadline of a change."""

MIN_CHECK_INTERVAL_S = 0.01
"""Shortest time between two checks if the view is nearly too old, seconds."""

NO_HEADERS: Mapping[str, str] = MappingProxyType({})


class StoreFeeder(Struct, eq=False):
    """Decides when to call the store, and applies its answers to a balancer.

    Attributes:
        node: The balancer.
        reader: Decides which call is next.
        restore_possible: The store may have been restored during an outage; a
            listing shows whether it was.
        era_named: Whether the last answer named its era. Then no listing is
            needed to detect a restore.
        revision_at_listing: Revision of the view when the pending listing was
            requested.
        called_at: When the pending call was made, or the first call of the
            pending listing, seconds.
        confirmation_sent_at: When the pending confirmation was requested,
            seconds.
        read_reason: Why the last check led to a call (``reader``, ``stale``)
            or to none (``told``).
        confirmation_era: Era of the view when the pending confirmation was
            requested.
    """

    node: BalancerNode
    reader: StoreReader
    restore_possible: bool = False
    era_named: bool = False
    revision_at_listing: int = 0
    called_at: float = float("-inf")
    confirmation_sent_at: float = float("-inf")
    read_reason: str = ""
    confirmation_era: int = 0

    @property
    def last_call_failed(self) -> bool:
        """Whether the last call had no usable answer."""
        return self.node.board.store_failures > 0

    def next_call(self, now: float) -> StoreCall | None:
        """Returns the call to make now.

        Returns:
            None if other balancers keep the view fresh enough;
            ``reader.due`` is then the time of the next check.
        """
        call = self._next_call(now)
        self.node.board.store_call = call.purpose if call is not None else ""
        return call

    def _next_call(self, now: float) -> StoreCall | None:
        must_read = self.node.synchronizer.must_read(now)
        self._record_read_reason(must_read, now)
        if not must_read:
            stale_at = self.node.synchronizer.stale_at()
            soonest = now + MIN_CHECK_INTERVAL_S
            self.reader.due = min(
                now + CHECK_INTERVAL_S, max(stale_at, soonest)
            )
            return None
        board = self.node.board
        if board.fleet_known:
            self.reader.resume(board.view.revision)
        if self._needs_listing(now) or self.node.fleet.must_list_again(now):
            self.reader.request_listing()
        if not self.reader.page_after:
            self.revision_at_listing = board.view.revision
            self.called_at = now
        # The watch ends before the view is older than one full watch time.
        max_wait_s = board.confirmed_at + self.reader.watch_s - now
        return self.reader.next_call(max_wait_s)

    def _record_read_reason(self, must_read: bool, now: float) -> None:
        """Logs when this balancer starts or stops reading the store."""
        reader = self.node.synchronizer.membership.is_reader(now)
        reason = ("reader" if reader else "stale") if must_read else "told"
        if reason == self.read_reason:
            return
        self.read_reason = reason
        clock = self.node.board.confirmed_clock
        by = self.node.board.confirmed_by or None
        self._record_decision(
            "reading", reason, confirmed_clock=clock, confirmed_by=by
        )

    def on_answer(
        self,
        status: int,
        body: bytes,
        now: float,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> None:
        """Handles an answer of the store.

        Args:
            status: HTTP status of the answer.
            body: Body of the answer.
            now: Runtime clock, seconds.
            headers: Headers of the answer by their names in lower case.
        """
        self.node.board.store_call = ""
        era = self._record_era(headers, self.reader.era)
        if status == HISTORY_GONE:
            self._record_history_lost()
        try:
            events = self.reader.on_answer(status, body, now, era)
        except PlatformError as error:
            self._record_store_lost(str(error), now)
            return
        self._record_store_revision()
        listed = _find_listing(events)
        self.era_named = ERA_HEADER in headers
        self.node.board.store_answered_at = now
        if not self.era_named and self._shows_unnamed_era(listed):
            self._start_unnamed_era(now)
            return
        if self.last_call_failed:
            self._on_store_regained()
        self.restore_possible = self.restore_possible and listed is None
        if listed is not None:
            self.node.synchronizer.reconciler.on_listed()
        board = self.node.board
        apply_events(self.node, events, board.store_revision, now)
        # A refused watch or the first of several pages confirms nothing.
        if board.fleet_known and self.reader.answer_complete:
            # A listing older than the view shows that the view's revision is
            # wrong: others that have it must read the store themselves.
            if not listed or listed.revision >= self.revision_at_listing:
                board.view.advance_to(self.reader.revision)
                age_s = self.reader.answer_age_s(now - self.called_at)
                self.node.synchronizer.on_confirmed(now, age_s)
            self.node.on_published(now)

    def _on_store_regained(self) -> None:
        """Handles the first usable answer after an outage."""
        self.node.board.store_failures = 0
        self.restore_possible = not self.era_named
        self._record_decision("store regained", "reading")

    def _needs_listing(self, now: float) -> bool:
        """Tells whether a listing is needed because the view may be wrong.

        A store that names no era may have been restored from a backup during an
        outage, or while this process got its view from other balancers. Its
        revision may have passed the known one since then, so that only a
        listing shows the restore.
        """
        answered_at = self.node.board.store_answered_at
        view_from_others = now - answered_at > self.node.synchronizer.max_age_s
        needs_reconciling = self.node.synchronizer.reconciler.needs_store_read
        return (
            self.restore_possible
            or needs_reconciling
            or (view_from_others and not self.era_named)
        )

    def _shows_unnamed_era(self, listed: ServersListed | None) -> bool:
        """Tells whether a listing that names no era is of a new era."""
        view = self.node.board.view
        return listed is not None and shows_older_state(
            listed, view, self.revision_at_listing
        )

    def _start_unnamed_era(self, now: float) -> None:
        """Starts a new era that the store does not name, with a listing.

        All balancers that know the former era get the same number, and send it
        to the other balancers.
        """
        era = self.reader.era + 1
        self._record_decision(
            "store era", f"{self.reader.era} -> {era}, not named by the store"
        )
        self.reader.update_era(era)
        self.reader.due = now
        self.node.board.store_era = era

    def _record_era(self, headers: Mapping[str, str], known: int) -> int:
        """Records and returns the era of the store in an answer.

        Args:
            headers: Headers of the answer.
            known: Era to assume if the answer names none.
        """
        board = self.node.board
        try:
            era = read_era(headers, known)
        except FieldError as error:
            text = str(error.problem)
            seen_at = self.reader.seen_revision
            new = problems.record_item(board, text, seen_at)
            problems.log_problems(board, new)
            return known
        if era != board.store_era:
            self._record_decision("store era", f"{board.store_era} -> {era}")
        board.store_era = max(era, board.store_era)
        return era

    def _record_history_lost(self) -> None:
        """Records that the store does not have the requested history."""
        board = self.node.board
        board.records.counters[Count.HISTORY_LOST] += 1
        self._record_decision("history lost", "listing")

    def _record_store_revision(self) -> None:
        """Records the store's revision and logs if it falls behind the view.

        It falls behind only if the store was restored to an older state.
        """
        board = self.node.board
        before, after = board.store_revision, self.reader.seen_revision
        board.store_revision = after
        known = board.view.revision
        if count_of(after) < count_of(known) and after != before:
            self._record_decision("store behind", f"at {count_of(after)}")

    def on_failed(self, reason: str, now: float, silent: bool = False) -> None:
        """Handles a call that got no answer.

        Args:
            reason: Why it got none.
            now: Runtime clock, seconds.
            silent: Whether the call timed out.
        """
        self.node.board.store_call = ""
        self.reader.on_failed(now, silent)
        self._record_store_lost(reason, now)

    def needs_answer(self, now: float) -> bool:
        """Tells whether the answer that is arriving is still needed.

        A full listing occupies a low-bandwidth link for longer than other
        balancers need to send the same state.
        """
        view_from_others = (
            self.node.board.fleet_known and not self.reader.has_state
        )
        return not view_from_others or self.node.synchronizer.must_read(now)

    def on_not_needed(self, now: float) -> None:
        """Handles a call that was ended because of ``needs_answer``."""
        self.node.board.store_call = ""
        self.reader.on_not_needed(now)
        if self.last_call_failed:
            self.node.board.store_failures = 0
            self._record_decision("store regained", "told by others")

    def confirming_call(self, now: float) -> StoreCall:
        """Returns a call that confirms the view."""
        self.confirmation_sent_at = now
        known = self.node.board.view.revision
        self.confirmation_era = era_of(known)
        return self.reader.confirming_call(known)

    def on_confirmation(
        self,
        status: int,
        body: bytes,
        now: float,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> None:
        """Handles the answer to a ``confirming_call``; see ``on_answer``."""
        era = self._record_era(headers, self.confirmation_era)
        board = self.node.board
        try:
            changes = read_confirmation(status, body, era)
            self._check_era_of_view(era)
        except PlatformError as error:
            self.on_confirmation_failed(str(error), now)
            return
        board.store_answered_at = now
        apply_events(self.node, changes.events, changes.revision, now)
        board.view.advance_to(changes.revision)
        self.node.synchronizer.on_confirmed(
            now, now - self.confirmation_sent_at
        )
        self.node.finder.on_view_confirmed(now)

    def _check_era_of_view(self, era: int) -> None:
        """Checks that the view is of the era of an answer.

        Raises:
            PlatformError: The view is of another era, so the answer does not
                hold the changes since the view. The pending watch detects the
                new era too.
        """
        known = era_of(self.node.board.view.revision)
        if known != era:
            raise PlatformError(
                "confirmation", f"answer of era {era}, expected era {known}"
            )

    def on_confirmation_failed(self, reason: str, now: float) -> None:
        """Handles a ``confirming_call`` without a usable answer."""
        self.node.board.store_failed_at = now
        self._record_decision("confirmation failed", reason)
        self.node.finder.confirmer.on_failed(now)

    def _record_store_lost(self, reason: str, now: float) -> None:
        board = self.node.board
        if not self.last_call_failed:
            self._record_decision("store lost", reason)
        board.store_failed_at = now
        board.store_failures += 1
        board.store_error = reason

    def _record_decision(
        self, event: str, outcome: str, **inputs: object
    ) -> None:
        records = self.node.board.records
        revision = self.node.board.view.revision
        records.record_decision(
            event, b"", outcome, revision=revision, **inputs
        )


def _find_listing(events: Sequence[StoreEvent]) -> ServersListed | None:
    """Returns the full listing among the events of an answer, or None."""
    listings = [event for event in events if isinstance(event, ServersListed)]
    return listings[0] if listings else None
