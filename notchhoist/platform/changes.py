"""What watches on the platform's store have told."""

from msgspec import Struct

from notchhoist.base.errors import PlatformError
from notchhoist.flows.model.revisions import make_revision
from notchhoist.platform.checking import FieldError, Fields
from notchhoist.platform.documents import decode_json
from notchhoist.platform.items import MAX_REVISION, StoreEvent, read_item


class StoreChanges(Struct, frozen=True):
    """What a watch has told.

    Attributes:
        events: What concerns this system.
        told: There was anything at all.
        revision: Everything up to this revision is known now.
    """

    events: list[StoreEvent]
    told: bool
    revision: int


def read_changes(fields: Fields, era: int) -> StoreChanges:
    """Reads what a watch has told.

    Args:
        fields: Its answer.
        era: Era of the store that it is of.

    Raises:
        FieldError: It is no such answer.
    """
    items = fields.elements("events")
    events = [read_item(place, item, era)[1] for place, item in items]
    count = fields.integer("as_of", 0, MAX_REVISION)
    return StoreChanges(
        events=[event for event in events if event is not None],
        told=bool(items),
        revision=make_revision(era, count),
    )


def read_confirmation(status: int, body: bytes, era: int = 0) -> StoreChanges:
    """Reads the answer to a ``confirming_call``.

    Args:
        status: HTTP status.
        body: Its body.
        era: Era of the store that it is of.

    Raises:
        PlatformError: The answer is of no use.
    """
    if status != 200:
        raise PlatformError("confirmation", f"status {status}")
    try:
        return read_changes(Fields(decode_json(body, "answer"), "answer"), era)
    except FieldError as error:
        raise PlatformError("confirmation", str(error)) from error
