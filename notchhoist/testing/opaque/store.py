"""A model of the platform's store with the faults that it can have."""

import base64
import json
import random
import threading
from typing import Any

import attrs

RESEND_S = 0.2
"""Retransmission timeout of a lost packet, seconds."""


@attrs.frozen
class Change:
    """One change of an item; ``item`` is its encoded event."""

    revision: int
    key: str
    item: dict[str, object]


@attrs.frozen
class StoreBackup:
    """A backup of the store.

    Attributes:
        items: The items by key.
        revision: Revision of the store.
        history: The changes that were not compacted.
        compacted_to: See ``StoreModel``.
    """

    items: dict[str, dict[str, object]]
    revision: int
    history: list[Change]
    compacted_to: int


@attrs.define(eq=False)
class StoreModel:
    """The store's items, their history, and simulated faults.

    Attributes:
        rng: Source of random draws.
        items: The items by key.
        revision: Revision of the newest change.
        history: Changes that watches can still request.
        compacted_to: Changes up to this revision are compacted.
        page_size: Items of one page.
        calls: Requests so far, including failed ones.
        answer_s: Response time, seconds.
        resent_share: Share of responses that are lost once and retransmitted;
            a calm network has this too.
        era: Period between two restores from a backup, counted from 1.
        sends_era: Responses have the header with the era.
        down: ``""``, ``silent``, ``busy`` (503), ``many`` (429) or ``reset``.
        down_for: IP numbers of the hosts that it is down for; empty for all.
        lost_share: Share of responses that are lost.
        lock: Held while items are read or changed; tests with real daemons
            read them from other threads.
    """

    rng: random.Random
    items: dict[str, dict[str, object]] = attrs.Factory(dict)
    revision: int = 0
    history: list[Change] = attrs.Factory(list)
    compacted_to: int = 0
    page_size: int = 500
    calls: int = 0
    answer_s: float = 0.004
    resent_share: float = 0.0
    era: int = 1
    sends_era: bool = True
    down: str = ""
    down_for: frozenset[str] = frozenset()
    lost_share: float = 0.0
    lock: threading.Lock = attrs.Factory(threading.Lock)

    def put(self, key: str, value: object) -> None:
        """Writes an item whose value is encoded as JSON."""
        self.put_raw(key, json.dumps(value).encode())

    def put_raw(self, key: str, text: bytes) -> None:
        """Writes an item with any bytes as value."""
        with self.lock:
            self._put(key, text)

    def _put(self, key: str, text: bytes) -> None:
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(text).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": 0,
        }
        self.history.append(Change(self.revision, key, self.items[key]))

    def remove(self, key: str) -> None:
        """Removes an item."""
        with self.lock:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            item = {"key": key, "revision": self.revision, "removed": True}
            self.history.append(Change(self.revision, key, item))

    def value(self, key: str) -> dict[str, Any] | None:
        """Returns the object that an item holds, or None if it holds none."""
        item = self.items.get(key)
        if item is None:
            return None
        try:
            held = json.loads(base64.b64decode(str(item["value"])))
        except (ValueError, RecursionError):
            return None
        return held if isinstance(held, dict) else None

    def compact(self) -> None:
        """Compacts the whole history."""
        with self.lock:
            self.compacted_to = self.revision
            self.history.clear()

    def backup(self) -> StoreBackup:
        """Returns a backup of the store."""
        with self.lock:
            return StoreBackup(
                dict(self.items),
                self.revision,
                list(self.history),
                self.compacted_to,
            )

    def restore(self, backup: StoreBackup) -> None:
        """Restores a backup and begins a new era.

        Later changes are lost, and their revisions are assigned again to
        other changes.
        """
        with self.lock:
            self.items = dict(backup.items)
            self.revision = backup.revision
            self.history = list(backup.history)
            self.compacted_to = backup.compacted_to
            self.era += 1

    def headers(self) -> dict[str, str]:
        """Returns the headers of a response, names in lower case."""
        return {"store-era": str(self.era)} if self.sends_era else {}

    def trouble_for(self, host: str) -> str:
        """Returns the fault that a host's request meets, or an empty string."""
        if self.down and (not self.down_for or host in self.down_for):
            return self.down
        return "silent" if self.rng.random() < self.lost_share else ""

    def resend_delay(self) -> float:
        """Returns the extra delay of a response by retransmission, seconds."""
        if not self.resent_share:
            return 0.0
        resent = self.rng.random() < self.resent_share
        return RESEND_S if resent else 0.0

    def read_range(self, query: dict[str, str]) -> bytes:
        """Returns the response body of ``/kv-range``."""
        with self.lock:
            return self._read_range(query)

    def _read_range(self, query: dict[str, str]) -> bytes:
        prefix, after = query.get("path_prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = [self.items[key] for key in keys[: self.page_size]]
        body = {
            "items": page,
            "more_pages": len(keys) > self.page_size,
            "as_of": self.revision,
        }
        return json.dumps(body).encode()

    def read_changes(self, query: dict[str, str]) -> tuple[int, bytes | None]:
        """Returns status and body for ``/kv-watch``; body None if unchanged."""
        with self.lock:
            return self._read_changes(query)

    def _read_changes(self, query: dict[str, str]) -> tuple[int, bytes | None]:
        after = int(query["after"])
        if not self.compacted_to <= after <= self.revision:
            return 410, b""
        events = [
            change.item
            for change in self.history
            if change.revision > after
            and change.key.startswith(query.get("path_prefix", ""))
        ]
        if not events:
            return 200, None
        return 200, self.watch_body(events)

    def watch_body(
        self, events: list[dict[str, object]] | None = None
    ) -> bytes:
        """Returns the response body of a watch; without events by default."""
        body = {"events": events or [], "as_of": self.revision}
        return json.dumps(body).encode()
