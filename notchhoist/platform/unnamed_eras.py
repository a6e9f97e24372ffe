"""Restores of a store that does not say so in its answers.

The store's answers are linearizable: a list that is asked for after a revision
was known shows at least that. One that shows less, of anything, is of a store
that has come back from a copy.
"""

from notchhoist.flows.model.revisions import era_of
from notchhoist.flows.model.view import FleetView, ViewKey, ZoneKey
from notchhoist.platform.items import ServersListed


def went_back(listed: ServersListed, view: FleetView, asked_from: int) -> bool:
    """Tells whether a list shows less than was known when it was asked for.

    Args:
        listed: The list; it names no era and is read as of the known one.
        view: What is known now.
        asked_from: Everything up to this revision was known then.

    Examples:
        >>> view = FleetView(revision=63)
        >>> went_back(ServersListed((), 60), view, 63)
        True
    """
    if era_of(listed.revision) != era_of(asked_from):
        return False  # It is the first list of an era that is noticed already.
    if listed.revision < asked_from:
        return True
    shown: list[tuple[ViewKey, int]] = []
    shown += [(entry.server_id, at) for entry, at in listed.entries]
    shown += listed.refused
    shown += [(ZoneKey(zone), at) for zone, at in listed.evacuated]
    return any(
        at < view.changed_at.get(key, 0) <= asked_from for key, at in shown
    )
