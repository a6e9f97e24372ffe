"""Detects restores of a store whose answers name no era.

The store's answers are linearizable: a listing that is requested after a
revision was known shows at least the state of that revision. If it shows an
older state of any item, the store was restored from a backup.
"""

from notchhoist.flows.model.revisions import era_of
from notchhoist.flows.model.view import FleetView, ViewKey, ZoneKey
from notchhoist.platform.items import ServersListed


def shows_older_state(
    listed: ServersListed, view: FleetView, known_revision: int
) -> bool:
    """Tells whether a listing is older than the view was when it was requested.

    Args:
        listed: The listing; it names no era and was read as of the known era.
        view: The view now.
        known_revision: Revision of the view when the listing was requested.

    Examples:
        >>> view = FleetView(revision=63)
        >>> shows_older_state(ServersListed((), 60), view, 63)
        True
    """
    if era_of(listed.revision) != era_of(known_revision):
        return False  # The first listing of an era that is already known.
    if listed.revision < known_revision:
        return True
    shown: list[tuple[ViewKey, int]] = []
    shown += [(entry.server_id, revision) for entry, revision in listed.entries]
    shown += listed.refused
    shown += [(ZoneKey(zone), revision) for zone, revision in listed.evacuated]
    return any(
        revision < view.changed_at.get(key, 0) <= known_revision
        for key, revision in shown
    )
