"""Feeds a balancer with what the store holds; no I/O."""

from collections.abc import Mapping, Sequence
from types import MappingProxyType

from msgspec import Struct

from notchhoist.base.errors import ConfigurationProblem, PlatformError
from notchhoist.flows.balancer.node import BalancerNode
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.revisions import count_of, era_of
from notchhoist.platform import items
from notchhoist.platform.calls import HISTORY_GONE, StoreCall
from notchhoist.platform.changes import read_confirmation
from notchhoist.platform.checking import FieldError
from notchhoist.platform.eras import ERA_HEADER, read_era
from notchhoist.platform.items import ServersListed, StoreEvent
from notchhoist.platform.store import StoreReader
from notchhoist.platform.unnamed_eras import went_back

RECONSIDER_S = 0.2
"""How often a balancer that is told enough looks whether it still is, seconds;
a fifteenth of the bound of a change."""

RECONSIDER_AT_LEAST_S = 0.01
"""Least time between two looks where what is known is nearly too old."""

NO_HEADERS: Mapping[str, str] = MappingProxyType({})

PROBLEMS_KEPT = 200
"""Fields that were not understood are kept for questions; a page of them."""


class StoreFeeder(Struct, eq=False):
    """Decides when to call the store and hands over what it tells.

    Attributes:
        node: The balancer.
        reader: Decides which call is next.
        lost: The last call had no usable answer.
        unsure: An outage may have hidden a restore; a list shows whether.
        named: The last answer named its era, so that no list is needed.
        asked_from: What was known when the list under way was asked for.
        called_at: When the call under way was made, the first one of a list,
            seconds.
        confirming_since: When the confirmation under way was asked for.
        reading: Why the last look made a call, or why it did not.
        confirmed_era: Era of what was known when the confirmation under way was
            asked for.
    """

    node: BalancerNode
    reader: StoreReader
    lost: bool = False
    unsure: bool = False
    named: bool = False
    asked_from: int = 0
    called_at: float = float("-inf")
    confirming_since: float = float("-inf")
    reading: str = ""
    confirmed_era: int = 0

    def next_call(self, now: float) -> StoreCall | None:
        """Returns the call to make now.

        Returns:
            None where another balancer tells enough; ``reader.due`` then says
            when to ask again.
        """
        needed = self.node.synchronizer.must_read(now)
        self._note_reading(needed, now)
        if not needed:
            stale_at = self.node.synchronizer.stale_at()
            soonest = now + RECONSIDER_AT_LEAST_S
            self.reader.due = min(now + RECONSIDER_S, max(stale_at, soonest))
            return None
        board = self.node.board
        if board.fleet_known:
            self.reader.resume(board.view.revision)
        if self._is_unsure(now) or self.node.fleet.must_list_again(now):
            self.reader.list_anew()
        if not self.reader.page_after:
            self.asked_from = board.view.revision
            self.called_at = now
        # Its end is to find what is known no older than one whole watch.
        certain_s = board.confirmed_at + self.reader.watch_s - now
        return self.reader.next_call(certain_s)

    def _note_reading(self, needed: bool, now: float) -> None:
        """Logs when this balancer begins to read the store, or ends."""
        reader = self.node.synchronizer.membership.is_reader(now)
        reading = ("reader" if reader else "stale") if needed else "told"
        if reading == self.reading:
            return
        self.reading = reading
        clock = self.node.board.confirmed_clock
        by = self.node.board.confirmed_by or None
        self._decide("reading", reading, confirmed_clock=clock, confirmed_by=by)

    def on_answer(
        self,
        status: int,
        body: bytes,
        now: float,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> None:
        """Takes an answer of the store.

        Args:
            status: HTTP status.
            body: Its body.
            now: Runtime clock, seconds.
            headers: Its headers, by their names in small letters.
        """
        era = self._note_era(headers, self.reader.era)
        if status == HISTORY_GONE:
            self._note_history_lost()
        try:
            events = self.reader.on_answer(status, body, now, era)
        except PlatformError as error:
            self._note_lost(str(error), now)
            return
        self._note_revision()
        listed = _list_in(events)
        self.named = ERA_HEADER in headers
        self.node.board.store_answered_at = now
        if not self.named and self._is_unnamed_era(listed):
            self._begin_unnamed_era(now)
            return
        if self.lost:
            self._note_regained()
        self.unsure = self.unsure and listed is None
        if listed is not None:
            self.node.synchronizer.reconciler.on_listed()
        for event in events:
            self._apply(event, now)
        board = self.node.board
        # A refused watch or a first page of several confirms nothing.
        if board.fleet_known and self.reader.confirms:
            board.view.advance_to(self.reader.revision)
            self.node.synchronizer.on_confirmed(
                now, self.reader.answer_age_s(now - self.called_at)
            )
            self.node.on_published(now)

    def _note_regained(self) -> None:
        """Takes account of the end of an outage."""
        self.lost = False
        self.unsure = not self.named
        self._decide("store regained", "reading")

    def _is_unsure(self, now: float) -> bool:
        """Tells whether a restore may have been missed.

        A store that names no era may have come back from a copy, during an
        outage or while this process was told by others, and be ahead of what
        was known again: only a list shows that.
        """
        answered_at = self.node.board.store_answered_at
        told = now - answered_at > self.node.synchronizer.max_age_s
        doubtful = self.node.synchronizer.reconciler.needs_store_read
        return self.unsure or doubtful or (told and not self.named)

    def _is_unnamed_era(self, listed: ServersListed | None) -> bool:
        """Tells whether a list without an era is of a new one."""
        view = self.node.board.view
        return listed is not None and went_back(listed, view, self.asked_from)

    def _begin_unnamed_era(self, now: float) -> None:
        """Counts a new era that the store does not name; lists in it.

        All balancers that knew the former one count alike, and the others are
        told by them.
        """
        era = self.reader.era + 1
        self._decide("store era", f"{self.reader.era} -> {era}, not named")
        self.reader.see_era(era)
        self.reader.due = now
        self.node.board.store_era = era

    def _note_era(self, headers: Mapping[str, str], known: int) -> int:
        """Notes and returns which era of the store an answer is of.

        Args:
            headers: Headers of the answer.
            known: Era of an answer that names none.
        """
        board = self.node.board
        try:
            era = read_era(headers, known)
        except FieldError as error:
            self._note_problem(error.problem)
            return known
        if era != board.store_era:
            self._decide("store era", f"{board.store_era} -> {era}")
        board.store_era = max(era, board.store_era)
        return era

    def _note_history_lost(self) -> None:
        """Logs that the store does not have the history that was asked for."""
        board = self.node.board
        board.records.counters[Count.HISTORY_LOST] += 1
        self._decide("history lost", "listing")

    def _note_revision(self) -> None:
        """Notes the store's revision; logs when it falls behind what is known.

        It cannot by itself: the store has come back with an older state.
        """
        board = self.node.board
        before, after = board.store_revision, self.reader.seen_revision
        board.store_revision = after
        known = board.view.revision
        if count_of(after) < count_of(known) and after != before:
            self._decide("store behind", f"at {count_of(after)}")

    def on_failed(self, reason: str, now: float, silent: bool = False) -> None:
        """Takes account of a call without an answer.

        Args:
            reason: Why there is none.
            now: Runtime clock, seconds.
            silent: All of the call's time has passed.
        """
        self.reader.on_failed(now, silent)
        self._note_lost(reason, now)

    def needs_answer(self, now: float) -> bool:
        """Tells whether the answer that is coming in is still of use.

        A whole list fills a narrow link for longer than other balancers take to
        tell the same.
        """
        told = self.node.board.fleet_known and not self.reader.knows
        return not told or self.node.synchronizer.must_read(now)

    def on_not_needed(self, now: float) -> None:
        """Takes account of a call that ``needs_answer`` has ended."""
        self.reader.on_not_needed(now)
        if self.lost:
            self.lost = False
            self._decide("store regained", "told by others")

    def confirming_call(self, now: float) -> StoreCall:
        """Returns the call that confirms what is known."""
        self.confirming_since = now
        known = self.node.board.view.revision
        self.confirmed_era = era_of(known)
        return self.reader.confirming_call(known)

    def on_confirmation(
        self,
        status: int,
        body: bytes,
        now: float,
        headers: Mapping[str, str] = NO_HEADERS,
    ) -> None:
        """Takes the answer to a ``confirming_call``; see ``on_answer``."""
        era = self._note_era(headers, self.confirmed_era)
        board = self.node.board
        try:
            changes = read_confirmation(status, body, era)
            self._check_era_of_view(era)
        except PlatformError as error:
            self.on_confirmation_failed(str(error), now)
            return
        board.store_answered_at = now
        for event in changes.events:
            self._apply(event, now)
        board.view.advance_to(changes.revision)
        self.node.synchronizer.on_confirmed(now, now - self.confirming_since)
        self.node.finder.on_view_confirmed(now)

    def _check_era_of_view(self, era: int) -> None:
        """Checks that what is known is of the era of an answer.

        Raises:
            PlatformError: It is not, so the answer does not say what came after
                it. The watch under way ends with the same news.
        """
        known = era_of(self.node.board.view.revision)
        if known != era:
            raise PlatformError("confirmation", f"of era {era}, not {known}")

    def on_confirmation_failed(self, reason: str, now: float) -> None:
        """Takes account of a ``confirming_call`` without a usable answer."""
        self.node.board.store_failed_at = now
        self._decide("confirmation failed", reason)
        self.node.finder.confirmer.on_failed(now)

    def _note_lost(self, reason: str, now: float) -> None:
        self.node.board.store_failed_at = now
        if not self.lost:
            self.lost = True
            self._decide("store lost", reason)

    def _decide(self, event: str, outcome: str, **inputs: object) -> None:
        records = self.node.board.records
        revision = self.node.board.view.revision
        records.record_decision(
            event, b"", outcome, revision=revision, **inputs
        )

    def _apply(self, event: StoreEvent, now: float) -> None:
        fleet = self.node.fleet
        match event:
            case items.TablePublished():
                self.node.board.refused = ""
                for problem in event.table.problems:
                    self._note_problem(problem)
                fleet.tables.on_table(
                    event.table, event.revision, replace_same_version=True
                )
            case items.ServersListed():
                fleet.on_listing(
                    event.entries,
                    event.revision,
                    now,
                    refused=event.refused,
                    evacuated=event.evacuated,
                )
            case items.ServerPublished():
                fleet.on_entry(event.entry, event.revision, now)
            case items.ServerRemoved():
                fleet.on_removed(event.server_id, event.revision, now)
            case items.TableRefused():
                self.node.board.refused = str(event.error)
                self._decide("refused", str(event.error))
            case items.EntryRefused():
                self._note_problem(event.error.problem)
                fleet.on_refused(event.server_id, event.revision)
            case items.ZoneEvacuated():
                fleet.zones.on_evacuated(event.zone, event.revision, now)
            case items.ZoneReturned():
                fleet.zones.on_returned(event.zone, event.revision, now)
            case items.ItemRefused():
                self._note_problem(event.error.problem)

    def _note_problem(self, problem: ConfigurationProblem) -> None:
        """Logs and keeps what could not be read, once while it stays so."""
        board = self.node.board
        board.records.counters[Count.PARTS_REFUSED] += 1
        text = str(problem)
        if text in board.problems or len(board.problems) >= PROBLEMS_KEPT:
            return
        board.problems.append(text)
        self._decide("not understood", text)


def _list_in(events: Sequence[StoreEvent]) -> ServersListed | None:
    """Returns the whole list among what an answer told, or None."""
    lists = [event for event in events if isinstance(event, ServersListed)]
    return lists[0] if lists else None
