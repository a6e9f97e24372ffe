"""Items of the platform's store, read one by one: what each of them tells."""

from msgspec import Struct

from notchhoist.base.errors import ConfigurationRefusedError
from notchhoist.flows.model.fleet import RouteTable, ServerEntry
from notchhoist.flows.model.revisions import COUNTS_PER_ERA, make_revision
from notchhoist.platform.checking import FieldError, Fields
from notchhoist.platform.documents import (
    decode_configuration,
    decode_entry,
    decode_value,
)

CONFIGURATION_KEY = "op/config"
SERVERS_PREFIX = "servers/"
EVACUATIONS_PREFIX = "op/evacuate/"
"""An item under it asks that a zone be evacuated while it is there."""
MAX_REVISION = COUNTS_PER_ERA - 1


class TablePublished(Struct, frozen=True):
    """A configuration, and the revision of its change."""

    table: RouteTable
    revision: int


class TableRefused(Struct, frozen=True):
    """A configuration that is wrong; the last good one stays."""

    error: ConfigurationRefusedError


class ServersListed(Struct, frozen=True):
    """All backend servers.

    Attributes:
        entries: Their entries, with the revision of each.
        revision: Revision of the list.
        refused: Servers whose entries are wrong, with the revision of each;
            they are still there.
        evacuated: Zones that are evacuated, likewise.
    """

    entries: tuple[tuple[ServerEntry, int], ...]
    revision: int
    refused: tuple[tuple[str, int], ...] = ()
    evacuated: tuple[tuple[str, int], ...] = ()


class ServerPublished(Struct, frozen=True):
    """One backend server that is new or has changed, and when."""

    entry: ServerEntry
    revision: int


class ServerRemoved(Struct, frozen=True):
    """A backend server whose entry has vanished, and when."""

    server_id: str
    revision: int


class EntryRefused(Struct, frozen=True):
    """An entry that is wrong, and when it was written.

    Its server gets no new flows: whoever wrote the entry, nothing is known of
    the server any more. Its open flows stay.
    """

    server_id: str
    error: FieldError
    revision: int = 0


class ZoneEvacuated(Struct, frozen=True):
    """An availability zone that is to get no new flows, and since when."""

    zone: str
    revision: int


class ZoneReturned(Struct, frozen=True):
    """An availability zone whose evacuation was withdrawn, and when."""

    zone: str
    revision: int


class ItemRefused(Struct, frozen=True):
    """An item that cannot be read at all; it is left out."""

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


def read_item(
    place: str, value: object, era: int = 0
) -> tuple[str, StoreEvent | None]:
    """Reads an item; what is wrong in it costs nothing else.

    Args:
        place: Where it stands, for errors.
        value: The item.
        era: Era of the store that its revisions are of.

    Returns:
        Its key, empty where there is none, and what it tells; None for an item
        of no concern.
    """
    try:
        item = Fields(value, place)
        key = item.text("key")
    except FieldError as error:
        return "", ItemRefused(error)
    return key, _event(key, item, era)


def _event(key: str, item: Fields, era: int) -> StoreEvent | None:
    if key == CONFIGURATION_KEY:
        return _table_event(item, era)
    if key.startswith(SERVERS_PREFIX):
        return _server_event(key.removeprefix(SERVERS_PREFIX), item, era)
    if key.startswith(EVACUATIONS_PREFIX):
        return _zone_event(key.removeprefix(EVACUATIONS_PREFIX), item, era)
    return None


def _revision(item: Fields, name: str, era: int) -> int:
    return make_revision(era, item.integer(name, 0, MAX_REVISION, default=0))


def _zone_event(zone: str, item: Fields, era: int) -> StoreEvent:
    """Reads an evacuation; that the item is there says all, not its value."""
    try:
        revision = _revision(item, "revision", era)
        removed = item.boolean("removed", default=False)
    except FieldError as error:
        return ItemRefused(error)
    return (ZoneReturned if removed else ZoneEvacuated)(zone, revision)


def _table_event(item: Fields, era: int) -> StoreEvent | None:
    try:
        if item.boolean("removed", default=False):
            return None  # The last good one stays.
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
