"""Reads the platform's store: decides the calls and decodes the answers.

There is no I/O here: the caller makes one call at a time and reports its
outcome. A listing covers the whole state, so a listing and then watches on all
keys are enough.
"""

import enum
from collections.abc import Sequence

from msgspec import Struct, field

from notchhoist.base.draws import Draw
from notchhoist.base.errors import PlatformError
from notchhoist.flows.model.fleet import ServerEntry
from notchhoist.flows.model.ranges import MAX_REVISION
from notchhoist.flows.model.revisions import count_of, era_of, make_revision
from notchhoist.flows.published.budget import PropagationBudget
from notchhoist.platform.calls import (
    BATCHING_PAUSE_S,
    CONFIRM_TIMEOUT_S,
    HISTORY_GONE,
    LISTING_MAX_S,
    MIN_WAIT_S,
    StoreCall,
    answer_timeout_s,
    listing_timeout_s,
    pause_s,
    relisting_pause_s,
)
from notchhoist.platform.changes import read_changes
from notchhoist.platform.documents import decode_json
from notchhoist.platform.items import (
    EntryRefused,
    ServerPublished,
    ServersListed,
    StoreEvent,
    TablePublished,
    ZoneEvacuated,
    read_item,
)
from notchhoist.platform.json_fields import FieldError, Fields

BUDGET = PropagationBudget()


class ReadKind(enum.Enum):
    """Kind of data that a call reads."""

    LISTING = "listing"
    CHANGES = "changes"


class StoreReader(Struct, eq=False):
    """Decides the next call and reads the answers.

    Attributes:
        draw: Random source of the jitter.
        watch_s: Watch time: how long the store may hold a watch, seconds.
        answer_s: First timeout of an answer beyond the watch time, seconds.
        held_s: How long the store held its last answer at least, seconds: the
            full watch time if the watch returned no changes, otherwise 0.
        wait_s: Watch time of the pending watch, seconds.
        next_read: What the next call reads.
        revision: Everything up to this revision of the store is known.
        era: Era of the store in its last answer.
        answer_complete: The last answer, with the pages before it, held
            everything that is newer than the state known before.
        due: When to make the next call, seconds.
        failures: Number of consecutive failed calls.
        histories_lost: Number of watches in a row whose history was lost.
        calls: Number of calls so far.
        listed: Entries on the pages read so far.
        table: Configuration on these pages; applied after the last page.
        refused: Servers on these pages whose entries are invalid, with the
            revisions.
        evacuated: Evacuated zones on these pages, with the revisions.
        page_after: Key after which the next page starts; empty for the first.
        page_revision: Revision of the first page.
        seen_revision: Revision of the store in its last answer.
    """

    draw: Draw
    watch_s: float = BUDGET.watch_s
    answer_s: float = BUDGET.answer_s
    held_s: float = 0.0
    wait_s: float = 0.0
    next_read: ReadKind = ReadKind.LISTING
    revision: int = 0
    era: int = 0
    answer_complete: bool = False
    due: float = 0.0
    failures: int = 0
    histories_lost: int = 0
    calls: int = 0
    listed: list[tuple[ServerEntry, int]] = field(default_factory=list)
    table: TablePublished | None = None
    refused: dict[str, int] = field(default_factory=dict)
    evacuated: dict[str, int] = field(default_factory=dict)
    page_after: str = ""
    page_revision: int = 0
    seen_revision: int = 0

    def next_call(self, wait_s: float = float("inf")) -> StoreCall:
        """Returns the call to make at ``due``.

        Args:
            wait_s: Upper limit of the watch time, seconds.
        """
        self.calls += 1
        if self.next_read is ReadKind.LISTING:
            target = "/kv-range?path_prefix="
            if self.page_after:
                target += f"&after={_quote_key(self.page_after)}"
            timeout_s = listing_timeout_s(self.has_state, self.failures)
            return StoreCall("listing", target, timeout_s, LISTING_MAX_S)
        wait_ms = int(min(max(wait_s, MIN_WAIT_S), self.watch_s) * 1000)
        self.wait_s = wait_ms / 1000
        after = count_of(self.revision)
        target = f"/kv-watch?path_prefix=&after={after}&wait_ms={wait_ms}"
        timeout_s = self.wait_s + answer_timeout_s(self.answer_s, self.failures)
        return StoreCall("watch", target, timeout_s, timeout_s + LISTING_MAX_S)

    def answer_age_s(self, since_call_s: float) -> float:
        """Returns the greatest possible age of an answer read now, seconds.

        The answer may have been delayed in the network or in a buffer of this
        host. The store gave it after the call, and after the watch time if the
        watch returned no changes.

        Args:
            since_call_s: Time since the call, seconds.
        """
        watch_elapsed = since_call_s >= self.held_s
        return since_call_s - self.held_s if watch_elapsed else since_call_s

    def confirming_call(self, revision: int) -> StoreCall:
        """Returns a call for all changes since a revision, answered at once.

        It may be made while another call is pending and does not affect the
        next call.
        """
        self.calls += 1
        after = count_of(revision)
        wait_ms = int(MIN_WAIT_S * 1000)
        target = f"/kv-watch?path_prefix=&after={after}&wait_ms={wait_ms}"
        return StoreCall("confirmation", target, CONFIRM_TIMEOUT_S)

    @property
    def has_state(self) -> bool:
        """Whether any published state is known."""
        return self.revision > 0

    def resume(self, revision: int) -> None:
        """Records that everything up to a revision is known from elsewhere.

        A revision of an earlier era than the store's is ignored: the state that
        the store has there now has not been read.
        """
        if revision > self.revision and era_of(revision) >= self.era:
            self.revision = revision
            self.era = era_of(revision)
            self.next_read = ReadKind.CHANGES
            self._discard_pages()

    def request_listing(self) -> None:
        """Makes the next call a listing, unless one is in progress."""
        if self.next_read is ReadKind.CHANGES:
            self.restart_listing()

    def restart_listing(self) -> None:
        """Makes the next call the first one of a new listing."""
        self.next_read = ReadKind.LISTING
        self._discard_pages()

    def update_era(self, era: int) -> bool:
        """Records the era of an answer and restarts the listing in a new era.

        Returns:
            Whether the answer can be used. A watch or a further page that was
            requested from a revision or page of another era cannot: its
            revisions stand for other changes.

        Raises:
            PlatformError: The era is earlier than that of a former answer.
        """
        if era < self.era:
            raise PlatformError(
                self.next_read.value,
                f"answer of era {era}, expected era {self.era}",
            )
        if era == self.era:
            return True
        self.era = era
        first_page = self.next_read is ReadKind.LISTING and not self.page_after
        self.restart_listing()
        return first_page

    def on_failed(self, now: float, silent: bool = False) -> None:
        """Schedules the retry of a call without a usable answer.

        Args:
            now: Runtime clock, seconds.
            silent: Whether the call timed out, so that time has passed already.
        """
        pause = pause_s(self.failures)
        if silent and not self.has_state:
            pause = 0.0
        self.failures += 1
        self.due = now + self._with_jitter(pause)
        self._discard_pages()

    def _with_jitter(self, pause: float) -> float:
        return pause * (0.5 + 0.5 * self.draw())

    def on_not_needed(self, now: float) -> None:
        """Handles a call that was ended because its answer is not needed."""
        self.due = now
        self._discard_pages()

    def _discard_pages(self) -> None:
        self.listed = []
        self.table = None
        self.refused = {}
        self.evacuated = {}
        self.page_after = ""

    def on_answer(
        self, status: int, body: bytes, now: float, era: int = 0
    ) -> Sequence[StoreEvent]:
        """Reads an answer and schedules the next call.

        Args:
            status: HTTP status of the answer.
            body: Body of the answer.
            now: Runtime clock, seconds.
            era: Era of the store in the answer.

        Returns:
            The events in the answer; those of a listing come with its last
            page, except for errors in single items.

        Raises:
            PlatformError: The answer cannot be used; ``on_failed`` has been
                called.
        """
        self.answer_complete = False
        self.held_s = 0.0
        try:
            usable = self.update_era(era)
        except PlatformError:
            self.on_failed(now)
            raise
        history_lost = (
            status == HISTORY_GONE and self.next_read is ReadKind.CHANGES
        )
        if history_lost or not usable:
            self.restart_listing()
            self.histories_lost += history_lost
            pause = relisting_pause_s(self.histories_lost) if usable else 0.0
            self.due = now + self._with_jitter(pause)
            return ()
        if status != 200:
            self.on_failed(now)
            raise PlatformError(self.next_read.value, f"status {status}")
        try:
            fields = Fields(decode_json(body, "answer"), "answer")
            if self.next_read is ReadKind.LISTING:
                events = self._on_page(fields, now)
            else:
                events = self._on_changes(fields, now)
        except FieldError as error:
            self.next_read = ReadKind.LISTING
            self.on_failed(now)
            raise PlatformError("answer", str(error)) from error
        if self.answer_complete:
            self.failures = 0
        return events

    def _on_page(self, fields: Fields, now: float) -> list[StoreEvent]:
        count = fields.integer("as_of", 0, MAX_REVISION)
        revision = make_revision(self.era, count)
        self.seen_revision = revision
        if not self.page_after:
            self.page_revision = revision
        events: list[StoreEvent] = []
        last_key = ""
        for _, item in fields.elements("items"):
            key, event = read_item(item, self.era)
            last_key = key or last_key
            if isinstance(event, ServerPublished):
                self.listed.append((event.entry, event.revision))
                continue
            if isinstance(event, TablePublished):
                self.table = event
                continue
            if isinstance(event, EntryRefused):
                self.refused[event.server_id] = event.revision
            if isinstance(event, ZoneEvacuated):
                self.evacuated[event.zone] = event.revision
                continue
            if event is not None:
                events.append(event)
        self.due = now
        if fields.boolean("more_pages", default=False):
            if last_key <= self.page_after:
                expected = "a key after the last page"
                raise FieldError("answer.more_pages", expected, last_key)
            self.page_after = last_key
            return events
        listed = ServersListed(
            tuple(self.listed),
            self.page_revision,
            tuple(self.refused.items()),
            tuple(self.evacuated.items()),
        )
        if self.table is not None:
            events.append(self.table)
        events.append(listed)
        self._discard_pages()
        self.revision = self.page_revision
        self.next_read = ReadKind.CHANGES
        self.answer_complete = True
        return events

    def _on_changes(self, fields: Fields, now: float) -> list[StoreEvent]:
        changes = read_changes(fields, self.era)
        self.histories_lost = 0
        self.answer_complete = True
        self.seen_revision = changes.revision
        self.revision = max(self.revision, changes.revision)
        self.held_s = 0.0 if changes.has_items else self.wait_s
        self.due = now + BATCHING_PAUSE_S if changes.has_items else now
        return changes.events


def _quote_key(key: str) -> str:
    """Returns a key quoted for a URL's query.

    ``urllib.parse`` is imported only here: the import takes 5 ms when a process
    starts, and a listing of up to 500 items needs no second page.
    """
    from urllib.parse import quote

    return quote(key, safe="")
