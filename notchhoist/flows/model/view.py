"""The published state by revision, so that only changes need to be sent."""

from collections.abc import Mapping

from msgspec import Struct, field

from notchhoist.flows.model.digests import route_digest
from notchhoist.flows.model.fleet import (
    ColdBound,
    Route,
    RouteTable,
    ServerEntry,
)
from notchhoist.flows.model.revisions import era_of

REMOVALS_KEPT = 1000
"""Most removals kept; processes that are further behind get the whole view."""


class ZoneKey(Struct, frozen=True):
    """Key of an availability zone among the keys of a view."""

    zone: str


ViewKey = str | bytes | ZoneKey | None
"""Id of a server, key of a route, a zone, or None for the configuration."""


class ViewChange(Struct, frozen=True):
    """Changes between two revisions, as whole records.

    Attributes:
        revision: Revision of the receiver after the change.
        base: Revision that the receiver must have before; 0 for a whole view.
        version: Version of the configuration, or 0 if it did not change.
        idle_s: Idle time after which a flow may be dropped, seconds.
        routes: Routes that changed.
        removed_routes: Keys of routes that were removed.
        servers: Entries that changed, each with its revision.
        removed_servers: Ids of servers that were unlisted.
        routes_total: Number of routes after the change.
        servers_total: Number of entries after the change.
        cold_bounds: Cold bounds, if the version is new.
        evacuated: Zones whose evacuation was requested, each with the revision.
        returned: Zones whose evacuation was withdrawn, each with the revision.
        evacuated_total: Number of evacuated zones after the change.
        routes_digest: Digest of the routes after the change; None if the sender
            does not know it, as processes of earlier versions.
    """

    revision: int
    base: int = 0
    version: int = 0
    idle_s: float = 0.0
    routes: tuple[Route, ...] = ()
    removed_routes: tuple[bytes, ...] = ()
    servers: tuple[tuple[ServerEntry, int], ...] = ()
    removed_servers: tuple[str, ...] = ()
    routes_total: int = 0
    servers_total: int = 0
    cold_bounds: tuple[ColdBound, ...] = ()
    evacuated: tuple[tuple[str, int], ...] = ()
    returned: tuple[tuple[str, int], ...] = ()
    evacuated_total: int = 0
    routes_digest: int | None = None


class FleetView(Struct, eq=False):
    """The published state as known to one process; revisions never decrease.

    Attributes:
        revision: Everything up to this revision of the platform is known.
        table: The configuration, or None before the first one.
        servers: Entries by id.
        evacuated: Zones that get no new flows, each with the revision of the
            request to evacuate it.
        changed_at: Revision of the last change, removals included, of each
            server, route key and zone, and of the table under ``None``.
        cold_bounds_changed_at: Revision of the last change of cold bounds.
        digest: Digest of the routes; see ``routes_digest``.
        removals_dropped_to: Removals up to this revision are no longer known.
    """

    revision: int = 0
    table: RouteTable | None = None
    servers: dict[str, ServerEntry] = field(default_factory=dict)
    evacuated: dict[str, int] = field(default_factory=dict)
    changed_at: dict[ViewKey, int] = field(default_factory=dict)
    cold_bounds_changed_at: int = 0
    digest: int = 0
    removals_dropped_to: int = 0

    def put_table(
        self,
        table: RouteTable,
        revision: int,
        replace_same_version: bool = False,
    ) -> bool:
        """Applies a configuration if it is newer.

        Args:
            table: The configuration.
            revision: Revision of its change.
            replace_same_version: The table is known to be complete and also
                replaces a different one of the same version.
        """
        known = self.table.version if self.table is not None else -1
        if table.version == known:
            self._record_republication(revision)
        if table.version < known or (
            table.version == known and not replace_same_version
        ):
            return False
        table = table.with_unreadable_routes_of(self.table)
        if self.table == table:
            return False
        old: Mapping[bytes, Route] = self.table.routes if self.table else {}
        for key in {*old, *table.routes}:
            before, after = old.get(key), table.routes.get(key)
            if before != after:
                self.changed_at[key] = revision
                self.digest -= route_digest(before) if before else 0
                self.digest += route_digest(after) if after else 0
        self.changed_at[None] = revision
        if table.cold_bounds != (self.table.cold_bounds if self.table else ()):
            self.cold_bounds_changed_at = revision
        self.table = table
        self._drop_old_removals()
        return True

    def _record_republication(self, revision: int) -> None:
        """Records that the platform has published the known version again.

        After a restore, the store may have had an older version. Processes that
        have read it must get the whole current version at its new revision:
        with changes since their revision only, they would keep the older one.
        """
        known = self.changed_at[None]
        if era_of(revision) > era_of(known):
            self.changed_at[None] = revision
            self.removals_dropped_to = max(self.removals_dropped_to, revision)

    @property
    def advertised_digest(self) -> int | None:
        """Digest of the routes; None if unreadable routes are kept.

        Other processes that read the same document do not have those routes.
        """
        kept = self.table is not None and self.table.unreadable
        return None if kept else self.digest

    def put_server(self, entry: ServerEntry, revision: int) -> bool:
        """Stores an entry if it is newer than the known one."""
        if revision <= self.changed_at.get(entry.server_id, 0):
            return False
        self.changed_at[entry.server_id] = revision
        self.servers[entry.server_id] = entry
        return True

    def remove_server(self, server_id: str, revision: int) -> bool:
        """Removes an entry if the removal is newer than what is known."""
        if revision <= self.changed_at.get(server_id, 0):
            return False
        self.changed_at[server_id] = revision
        self._drop_old_removals()
        return self.servers.pop(server_id, None) is not None

    def put_evacuation(self, zone: str, revision: int) -> bool:
        """Marks a zone as evacuated if that is newer than what is known.

        Examples:
            >>> view = FleetView()
            >>> view.put_evacuation("a", 7), view.remove_evacuation("a", 6)
            (True, False)
        """
        if revision <= self.changed_at.get(ZoneKey(zone), 0):
            return False
        self.changed_at[ZoneKey(zone)] = revision
        known = zone in self.evacuated
        self.evacuated[zone] = revision
        return not known

    def remove_evacuation(self, zone: str, revision: int) -> bool:
        """Ends the evacuation of a zone if that is newer than what is known."""
        if revision <= self.changed_at.get(ZoneKey(zone), 0):
            return False
        self.changed_at[ZoneKey(zone)] = revision
        return self.evacuated.pop(zone, None) is not None

    def state_revision(self, entry: ServerEntry) -> int:
        """Returns the revision of the last change that concerns an agent."""
        return max(
            self.changed_at.get(entry.server_id, 0),
            self.changed_at.get(ZoneKey(entry.zone), 0),
            self.cold_bounds_changed_at,
        )

    def record_received_changes(self, change: ViewChange) -> None:
        """Records the routes that a received change names as changed.

        Routes that are unchanged here count too: they may differ in a version
        that was skipped here, and a process that is updated from here may have
        that version.
        """
        told = (route.service_key for route in change.routes)
        for key in (*told, *change.removed_routes):
            known = self.changed_at.get(key, 0)
            self.changed_at[key] = max(known, change.revision)
        self._drop_old_removals()

    def record_full_read(self, revision: int) -> None:
        """Records that the whole published state was read.

        Entries that were added and removed between two reads were never seen,
        so processes that are further behind must get the whole view.
        """
        self.advance_to(revision)
        self.removals_dropped_to = max(self.removals_dropped_to, revision)

    def advance_to(self, revision: int) -> None:
        """Records that everything up to a revision is known."""
        self.revision = max(self.revision, revision)

    def _drop_old_removals(self) -> None:
        routes = self.table.routes if self.table else {}
        removed = [
            key
            for key in self.changed_at
            if (isinstance(key, str) and key not in self.servers)
            or (isinstance(key, bytes) and key not in routes)
        ]
        if len(removed) <= REMOVALS_KEPT:
            return
        removed.sort(key=lambda key: self.changed_at[key])
        for key in removed[: len(removed) // 2]:
            self.removals_dropped_to = max(
                self.removals_dropped_to, self.changed_at[key]
            )
            del self.changed_at[key]

    def changes_since(self, revision: int) -> ViewChange:
        """Returns the changes after a revision, or the whole view if too old.

        Examples:
            >>> view = FleetView()
            >>> entry = ServerEntry("s", "hallbook", "10.0.0.1", "a", 3, False)
            >>> view.put_server(entry, 7), view.changes_since(7).servers
            (True, ())
            >>> view.changes_since(6).servers[0][1]
            7
        """
        base = revision if revision >= self.removals_dropped_to else 0
        changed = {key for key, at in self.changed_at.items() if at > base}
        routes: Mapping[bytes, Route] = self.table.routes if self.table else {}
        # Sorted, so that parts of two equal messages can be joined.
        keys = sorted(key for key in changed if isinstance(key, bytes))
        ids = sorted(key for key in changed if isinstance(key, str))
        zones = sorted(key.zone for key in changed if isinstance(key, ZoneKey))
        new_table = self.table is not None and None in changed
        return ViewChange(
            revision=self.revision,
            base=base,
            version=self.table.version if self.table and new_table else 0,
            idle_s=self.table.idle_s if self.table else 0.0,
            routes=tuple(routes[key] for key in keys if key in routes),
            removed_routes=tuple(key for key in keys if key not in routes),
            servers=tuple(
                (self.servers[key], self.changed_at[key])
                for key in ids
                if key in self.servers
            ),
            removed_servers=tuple(
                key for key in ids if key not in self.servers
            ),
            routes_total=len(routes),
            servers_total=len(self.servers),
            cold_bounds=(
                self.table.cold_bounds if self.table and new_table else ()
            ),
            evacuated=tuple(
                (zone, self.evacuated[zone])
                for zone in zones
                if zone in self.evacuated
            ),
            returned=tuple(
                (zone, self.changed_at[ZoneKey(zone)])
                for zone in zones
                if zone not in self.evacuated
            ),
            evacuated_total=len(self.evacuated),
            routes_digest=self.advertised_digest,
        )
