"""Decodes items of the platform's store into events, one item at a time."""

from msgspec import Struct

from notchhoist.base.errors import ConfigurationRefusedError
from notchhoist.flows.model.fleet import RouteTable, ServerEntry
from notchhoist.flows.model.ranges import (
    MAX_KEY_BYTES,
    MAX_REVISION,
    is_name,
)
from notchhoist.flows.model.revisions import make_revision
from notchhoist.platform.documents import (
    decode_configuration,
    decode_entry,
    decode_value,
)
from notchhoist.platform.json_fields import FieldError, Fields

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"
EVACUATIONS_PREFIX = "op/evacuate/"
"""An item with this prefix evacuates a zone for as long as the item exists."""

KEY_FORM = f"a prefix and a printable name, at most {MAX_KEY_BYTES} bytes"


class TablePublished(Struct, frozen=True):
    """A valid configuration, and the revision that published it."""

    table: RouteTable
    revision: int


class TableRefused(Struct, frozen=True):
    """An invalid configuration; the last valid one stays in force."""

    error: ConfigurationRefusedError


class ServersListed(Struct, frozen=True):
    """A complete list of the backend servers and evacuated zones.

    Attributes:
        entries: Valid entries, each with its revision.
        revision: Revision of the list.
        refused: Ids of servers whose entries are invalid but still published,
            each with the entry's revision.
        evacuated: Evacuated zones, each with the revision of its evacuation.
    """

    entries: tuple[tuple[ServerEntry, int], ...]
    revision: int
    refused: tuple[tuple[str, int], ...] = ()
    evacuated: tuple[tuple[str, int], ...] = ()


class ServerPublished(Struct, frozen=True):
    """A new or changed entry of a backend server, and its revision."""

    entry: ServerEntry
    revision: int


class ServerRemoved(Struct, frozen=True):
    """A backend server whose entry was removed, and the revision of that."""

    server_id: str
    revision: int


class EntryRefused(Struct, frozen=True):
    """An invalid entry of a backend server, and its revision.

    Its server gets no new flows: whoever wrote the entry, nothing is known of
    the server any more. Its open flows stay.
    """

    server_id: str
    error: FieldError
    revision: int = 0


class ZoneEvacuated(Struct, frozen=True):
    """An availability zone that must get no new flows, and the revision."""

    zone: str
    revision: int


class ZoneReturned(Struct, frozen=True):
    """An availability zone whose evacuation has ended, and the revision."""

    zone: str
    revision: int


class ItemRefused(Struct, frozen=True):
    """An item that cannot be decoded and is ignored."""

    error: FieldError


StoreEvent = (
    TablePublished
    | TableRefused
    | ServersListed
    | ServerPublished
    | ServerRemoved
    | EntryRefused
    | ZoneEvacuated
    | ZoneReturned
    | ItemRefused
)


def read_item(value: object, era: int = 0) -> tuple[str, StoreEvent | None]:
    """Decodes an item; an invalid item yields an event and raises nothing.

    Args:
        value: The item, decoded from JSON.
        era: Era of the store to which its revisions belong.

    Returns:
        Its key, or an empty string if it has none, and its event, or None if
        the item is not relevant here.
    """
    try:
        key = Fields(value, "item").text("key")
        if len(key) > MAX_KEY_BYTES:
            raise FieldError("item.key", KEY_FORM, key)
    except FieldError as error:
        return "", ItemRefused(error)
    return key, _event(key, Fields(value, key), era)


def _event(key: str, item: Fields, era: int) -> StoreEvent | None:
    if key == CONFIGURATION_KEY:
        return _table_event(item, era)
    if not key.startswith((SERVERS_PREFIX, EVACUATIONS_PREFIX)):
        return None
    if not is_name(key) or key in (SERVERS_PREFIX, EVACUATIONS_PREFIX):
        return ItemRefused(FieldError("item.key", KEY_FORM, key))
    if key.startswith(SERVERS_PREFIX):
        return _server_event(key.removeprefix(SERVERS_PREFIX), item, era)
    return _zone_event(key.removeprefix(EVACUATIONS_PREFIX), item, era)


def _revision(item: Fields, name: str, era: int) -> int:
    return make_revision(era, item.integer(name, 0, MAX_REVISION, default=0))


def _zone_event(zone: str, item: Fields, era: int) -> StoreEvent:
    """Decodes an evacuation; the item's existence counts, not its value."""
    try:
        revision = _revision(item, "revision", era)
        removed = item.boolean("removed", default=False)
    except FieldError as error:
        return ItemRefused(error)
    return (ZoneReturned if removed else ZoneEvacuated)(zone, revision)


def _table_event(item: Fields, era: int) -> StoreEvent | None:
    try:
        if item.boolean("removed", default=False):
            return None  # The last valid one stays.
        revision = _revision(item, "revision", era)
        value = decode_value(item.text("value"), CONFIGURATION_KEY)
        return TablePublished(decode_configuration(value), revision)
    except FieldError as error:
        return TableRefused(ConfigurationRefusedError(-1, (error.problem,)))
    except ConfigurationRefusedError as error:
        return TableRefused(error)


def _server_event(server_id: str, item: Fields, era: int) -> StoreEvent:
    revision = 0
    try:
        revision = _revision(item, "revision", era)
        if item.boolean("removed", default=False):
            return ServerRemoved(server_id, revision)
        value = decode_value(item.text("value"), SERVERS_PREFIX + server_id)
        created = _revision(item, "created", era)
        entry = decode_entry(server_id, value, created)
    except FieldError as error:
        return EntryRefused(server_id, error, revision)
    return ServerPublished(entry, revision)
