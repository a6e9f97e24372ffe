"""Reading the platform's store: what to call next, what answers mean.

No I/O: the caller makes one call at a time and reports its outcome. One call
holds the whole state, so a first read and a watch on everything are enough.
"""

import enum
from collections.abc import Sequence

from msgspec import Struct, field

from notchhoist.base.draws import Draw
from notchhoist.base.errors import PlatformError
from notchhoist.flows.model.fleet import ServerEntry
from notchhoist.flows.model.revisions import count_of, era_of, make_revision
from notchhoist.flows.published.budget import PropagationBudget
from notchhoist.platform.calls import (
    CONFIRM_TIMEOUT_S,
    GATHER_S,
    HISTORY_GONE,
    LEAST_WAIT_S,
    LISTING_MAX_S,
    StoreCall,
    answer_timeout_s,
    listing_timeout_s,
    pause_s,
)
from notchhoist.platform.changes import read_changes
from notchhoist.platform.checking import FieldError, Fields
from notchhoist.platform.documents import decode_json
from notchhoist.platform.items import (
    MAX_REVISION,
    EntryRefused,
    ServerPublished,
    ServersListed,
    StoreEvent,
    TablePublished,
    ZoneEvacuated,
    read_item,
)

BUDGET = PropagationBudget()


class Want(enum.Enum):
    """What the next call reads."""

    LISTING = "listing"
    CHANGES = "changes"


class StoreReader(Struct, eq=False):
    """Decides the next call and reads the answers.

    Attributes:
        draw: Source of the jitter.
        watch_s: How long the store may hold a watch, seconds.
        answer_s: How long a call waits for an answer at first, beyond a
            watch's time, seconds.
        held_s: How long the store has held its last answer for certain, since
            it was called: all of a watch's time where there was no news.
        wait_s: How long it may hold the watch under way, seconds.
        want: What the next call reads.
        revision: Everything up to this revision of the store is known.
        era: Era of the store that its last answer was of.
        confirms: The last answer told all that is newer than what was known.
        due: When to make the next call, seconds.
        failures: Failed calls in a row.
        calls: Calls so far.
        listed: Entries of the pages read so far.
        table: The configuration on them, held until all have come.
        refused: Servers on them whose entries are wrong, with the revisions.
        evacuated: Zones on them that are evacuated, with the revisions.
        page_after: Where the next page starts, or empty.
        page_revision: Revision of the first page.
        seen_revision: Revision of the store in its last answer.
    """

    draw: Draw
    watch_s: float = BUDGET.watch_s
    answer_s: float = BUDGET.answer_s
    held_s: float = 0.0
    wait_s: float = 0.0
    want: Want = Want.LISTING
    revision: int = 0
    era: int = 0
    confirms: bool = False
    due: float = 0.0
    failures: int = 0
    calls: int = 0
    listed: list[tuple[ServerEntry, int]] = field(default_factory=list)
    table: TablePublished | None = None
    refused: dict[str, int] = field(default_factory=dict)
    evacuated: dict[str, int] = field(default_factory=dict)
    page_after: str = ""
    page_revision: int = 0
    seen_revision: int = 0

    def next_call(self, wait_s: float = float("inf")) -> StoreCall:
        """Returns the call to make when ``due`` has come.

        Args:
            wait_s: The store may hold a watch no longer than this, seconds.
        """
        self.calls += 1
        if self.want is Want.LISTING:
            target = "/kv-range?path_prefix="
            if self.page_after:
                target += f"&after={_quoted(self.page_after)}"
            timeout_s = listing_timeout_s(self.knows, self.failures)
            return StoreCall("listing", target, timeout_s, LISTING_MAX_S)
        wait_ms = int(min(max(wait_s, LEAST_WAIT_S), self.watch_s) * 1000)
        self.wait_s = wait_ms / 1000
        after = count_of(self.revision)
        target = f"/kv-watch?path_prefix=&after={after}&wait_ms={wait_ms}"
        timeout_s = self.wait_s + answer_timeout_s(self.answer_s, self.failures)
        return StoreCall("watch", target, timeout_s, timeout_s + LISTING_MAX_S)

    def answer_age_s(self, since_call_s: float) -> float:
        """Returns how old an answer that is read now may be, seconds.

        It may have waited on its way or before this process. What the store
        said came after the call, and word of no news after the watch's time.

        Args:
            since_call_s: Time since the call, seconds.
        """
        late = since_call_s >= self.held_s
        return since_call_s - self.held_s if late else since_call_s

    def confirming_call(self, revision: int) -> StoreCall:
        """Returns a call for what is newer than a revision, answered at once.

        It goes beside the others and does not change what comes next.
        """
        self.calls += 1
        after = count_of(revision)
        wait_ms = int(LEAST_WAIT_S * 1000)
        target = f"/kv-watch?path_prefix=&after={after}&wait_ms={wait_ms}"
        return StoreCall("confirmation", target, CONFIRM_TIMEOUT_S)

    @property
    def knows(self) -> bool:
        """Whether anything published is known."""
        return self.revision > 0

    def resume(self, revision: int) -> None:
        """Notes that everything up to a revision is known from elsewhere.

        What is known of an earlier era than the store's is no place to go on
        from: the store has never told what it says there now.
        """
        if revision > self.revision and era_of(revision) >= self.era:
            self.revision = revision
            self.era = era_of(revision)
            self.want = Want.CHANGES
            self._forget_pages()

    def list_anew(self) -> None:
        """Has the next call read everything, unless that is under way."""
        if self.want is Want.CHANGES:
            self.list_again()

    def list_again(self) -> None:
        """Has the next call begin to read everything."""
        self.want = Want.LISTING
        self._forget_pages()

    def see_era(self, era: int) -> bool:
        """Takes account of the era that an answer is of.

        Returns:
            Whether the answer is of use. What was asked for in another era is
            not: its revisions name other changes.

        Raises:
            PlatformError: The answer is of an earlier era than another one.
        """
        if era < self.era:
            raise PlatformError(
                self.want.value, f"of era {era}, not {self.era}"
            )
        if era == self.era:
            return True
        self.era = era
        first_page = self.want is Want.LISTING and not self.page_after
        self.list_again()
        return first_page

    def on_failed(self, now: float, silent: bool = False) -> None:
        """Takes account of a call without a usable answer.

        Args:
            now: Runtime clock, seconds.
            silent: The time until it was given up has passed already.
        """
        pause = pause_s(self.failures)
        if silent and not self.knows:
            pause = 0.0
        self.failures += 1
        self.due = now + pause * (0.5 + 0.5 * self.draw())
        self._forget_pages()

    def on_not_needed(self, now: float) -> None:
        """Takes account of a call that was ended since others told enough."""
        self.due = now
        self._forget_pages()

    def _forget_pages(self) -> None:
        self.listed = []
        self.table = None
        self.refused = {}
        self.evacuated = {}
        self.page_after = ""

    def on_answer(
        self, status: int, body: bytes, now: float, era: int = 0
    ) -> Sequence[StoreEvent]:
        """Takes an answer.

        Args:
            status: HTTP status.
            body: Its body.
            now: Runtime clock, seconds.
            era: Era of the store that it is of.

        Returns:
            What it tells.

        Raises:
            PlatformError: The answer is of no use; ``on_failed`` has been
                called.
        """
        self.confirms = False
        self.held_s = 0.0
        try:
            useful = self.see_era(era)
        except PlatformError:
            self.on_failed(now)
            raise
        lost = status == HISTORY_GONE and self.want is Want.CHANGES
        if lost or not useful:
            self.list_again()
            self.due = now
            return ()
        if status != 200:
            self.on_failed(now)
            raise PlatformError(self.want.value, f"status {status}")
        try:
            fields = Fields(decode_json(body, "answer"), "answer")
            if self.want is Want.LISTING:
                events = self._on_page(fields, now)
            else:
                events = self._on_changes(fields, now)
        except FieldError as error:
            self.want = Want.LISTING
            self.on_failed(now)
            raise PlatformError("answer", str(error)) from error
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
        for place, item in fields.elements("items"):
            key, event = read_item(place, item, self.era)
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
        if fields.boolean("more_pages", default=False) and last_key:
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
        self._forget_pages()
        self.revision = self.page_revision
        self.want = Want.CHANGES
        self.confirms = True
        return events

    def _on_changes(self, fields: Fields, now: float) -> list[StoreEvent]:
        changes = read_changes(fields, self.era)
        self.confirms = True
        self.seen_revision = changes.revision
        self.revision = max(self.revision, changes.revision)
        self.held_s = 0.0 if changes.told else self.wait_s
        self.due = now + GATHER_S if changes.told else now
        return changes.events


def _quoted(key: str) -> str:
    """Returns a key as a query holds it.

    ``urllib.parse`` is loaded only here: it takes 5 ms of a process's start,
    and a first page is enough for 500 items.
    """
    from urllib.parse import quote

    return quote(key, safe="")
