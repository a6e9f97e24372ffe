"""Decodes the answers of watches on the platform's store."""

from msgspec import Struct

from notchhoist.base.errors import PlatformError
from notchhoist.flows.model.ranges import MAX_REVISION
from notchhoist.flows.model.revisions import make_revision
from notchhoist.platform.documents import decode_json
from notchhoist.platform.items import StoreEvent, read_item
from notchhoist.platform.json_fields import FieldError, Fields


class StoreChanges(Struct, frozen=True):
    """The changes that a watch returned.

    Attributes:
        events: Changes of keys that this project uses.
        has_items: Whether the answer held any change, also of other keys.
        revision: The answer is complete up to this revision.
    """

    events: list[StoreEvent]
    has_items: bool
    revision: int


def read_changes(fields: Fields, era: int) -> StoreChanges:
    """Reads the changes from the answer of a watch.

    Args:
        fields: The decoded answer.
        era: Era of the store in which it answered.

    Raises:
        FieldError: The answer does not have the format of a watch's answer.
    """
    items = fields.elements("events")
    events = [read_item(item, era)[1] for _, item in items]
    count = fields.integer("as_of", 0, MAX_REVISION)
    return StoreChanges(
        events=[event for event in events if event is not None],
        has_items=bool(items),
        revision=make_revision(era, count),
    )


def read_confirmation(status: int, body: bytes, era: int = 0) -> StoreChanges:
    """Reads the answer to a ``confirming_call``.

    Args:
        status: HTTP status of the answer.
        body: Body of the answer.
        era: Era of the store in which it answered.

    Raises:
        PlatformError: The status is not 200 or the body is malformed.
    """
    if status != 200:
        raise PlatformError("confirmation", f"status {status}")
    try:
        return read_changes(Fields(decode_json(body, "answer"), "answer"), era)
    except FieldError as error:
        raise PlatformError("confirmation", str(error)) from error
