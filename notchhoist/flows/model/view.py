"""What the platform publishes, by revision, so that differences can travel."""

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

REMOVED_KEPT = 1000
"""Removals remembered at the most; who is further behind is told everything."""


class ZoneKey(Struct, frozen=True):
    """Names an availability zone among the things that change."""

    zone: str


ViewKey = str | bytes | ZoneKey | None
"""Id of a server, key of a route, a zone, or None for the configuration."""


class ViewChange(Struct, frozen=True):
    """What changed between two revisions, as whole records.

    Attributes:
        revision: Revision that the receiver reaches.
        base: Revision that it must have; 0 for a whole view.
        version: Version of the configuration, or 0 where it did not change.
        idle_s: A flow may be forgotten after this much silence, seconds.
        routes: Routes that changed.
        removed_routes: Keys of routes that were dropped.
        servers: Entries that changed, with the revision of each.
        removed_servers: Ids of servers whose entries vanished.
        routes_total: Routes that the receiver has then.
        servers_total: Entries that it has then.
        cold_bounds: Bounds of cold servers, with a new version.
        evacuated: Zones whose evacuation was asked for, with the revision.
        returned: Zones whose evacuation was withdrawn, likewise.
        evacuated_total: Evacuated zones that it has then.
        routes_digest: Digest of the routes that it has then; None where the
            teller cannot say, as processes of earlier versions cannot.
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
    """The published state at one process; it never goes back.

    Attributes:
        revision: Everything up to this revision of the platform is known.
        table: The configuration, or None before the first.
        servers: Entries by id.
        evacuated: Zones that are to get no new flows, with the revision at
            which that was asked for.
        changed_at: Revision of the last change of each server, route key, zone
            and the table's version (under ``None``), removals too.
        bounds_at: Revision at which bounds of cold servers last changed.
        digest: Digest of the routes; see ``routes_digest``.
        forgotten_to: Removals up to this revision are no longer known.
    """

    revision: int = 0
    table: RouteTable | None = None
    servers: dict[str, ServerEntry] = field(default_factory=dict)
    evacuated: dict[str, int] = field(default_factory=dict)
    changed_at: dict[ViewKey, int] = field(default_factory=dict)
    bounds_at: int = 0
    digest: int = 0
    forgotten_to: int = 0

    def put_table(
        self, table: RouteTable, revision: int, mends: bool = False
    ) -> bool:
        """Puts a configuration in force if it is newer.

        Args:
            table: The configuration.
            revision: Revision of its change.
            mends: It is known to be whole, and also replaces one of the same
                version.
        """
        known = self.table.version if self.table is not None else -1
        if table.version == known:
            self._note_republished(revision)
        if table.version < known or (table.version == known and not mends):
            return False
        table = table.with_former(self.table)
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
            self.bounds_at = revision
        self.table = table
        self._forget_removals()
        return True

    def _note_republished(self, revision: int) -> None:
        """Notes that the platform has published the same version once more.

        After a restore it may have held an older one. Whoever has read that
        must be told all of this one, by the revision that it has now: told
        differences from there, they would keep the older one.
        """
        known = self.changed_at[None]
        if era_of(revision) > era_of(known):
            self.changed_at[None] = revision
            self.forgotten_to = max(self.forgotten_to, revision)

    @property
    def told_digest(self) -> int | None:
        """Digest of the routes; None where some are kept unread.

        Others that have read the same document do not have those.
        """
        kept = self.table is not None and self.table.unread
        return None if kept else self.digest

    def put_server(self, entry: ServerEntry, revision: int) -> bool:
        """Takes an entry if it is newer than what is known."""
        if revision <= self.changed_at.get(entry.server_id, 0):
            return False
        self.changed_at[entry.server_id] = revision
        self.servers[entry.server_id] = entry
        return True

    def remove_server(self, server_id: str, revision: int) -> bool:
        """Takes word that an entry vanished, if that is news."""
        if revision <= self.changed_at.get(server_id, 0):
            return False
        self.changed_at[server_id] = revision
        self._forget_removals()
        return self.servers.pop(server_id, None) is not None

    def put_evacuation(self, zone: str, revision: int) -> bool:
        """Takes word that a zone is to be evacuated, if that is news.

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
        """Takes word that an evacuation was withdrawn, if that is news."""
        if revision <= self.changed_at.get(ZoneKey(zone), 0):
            return False
        self.changed_at[ZoneKey(zone)] = revision
        return self.evacuated.pop(zone, None) is not None

    def state_revision(self, entry: ServerEntry) -> int:
        """Returns when what an agent should know of its server last changed."""
        return max(
            self.changed_at.get(entry.server_id, 0),
            self.changed_at.get(ZoneKey(entry.zone), 0),
            self.bounds_at,
        )

    def note_told(self, change: ViewChange) -> None:
        """Notes which routes others have seen changing.

        Also such as are the same here as before: a version that was skipped
        here had others, and processes that are told from here may have it.
        """
        told = (route.service_key for route in change.routes)
        for key in (*told, *change.removed_routes):
            known = self.changed_at.get(key, 0)
            self.changed_at[key] = max(known, change.revision)
        self._forget_removals()

    def note_whole(self, revision: int) -> None:
        """Notes that everything was read anew.

        What came and went meanwhile was never seen, so whoever is further
        behind must be told everything.
        """
        self.reach(revision)
        self.forgotten_to = max(self.forgotten_to, revision)

    def reach(self, revision: int) -> None:
        """Notes that everything up to a revision is known."""
        self.revision = max(self.revision, revision)

    def _forget_removals(self) -> None:
        routes = self.table.routes if self.table else {}
        gone = [
            key
            for key in self.changed_at
            if (isinstance(key, str) and key not in self.servers)
            or (isinstance(key, bytes) and key not in routes)
        ]
        if len(gone) <= REMOVED_KEPT:
            return
        gone.sort(key=lambda key: self.changed_at[key])
        for key in gone[: len(gone) // 2]:
            self.forgotten_to = max(self.forgotten_to, self.changed_at[key])
            del self.changed_at[key]

    def since(self, revision: int) -> ViewChange:
        """Returns what changed after a revision.

        Examples:
            >>> view = FleetView()
            >>> entry = ServerEntry("s", "hallbook", "10.0.0.1", "a", 3, False)
            >>> view.put_server(entry, 7), view.since(7).servers
            (True, ())
            >>> view.since(6).servers[0][1]
            7
        """
        base = revision if revision >= self.forgotten_to else 0
        changed = {key for key, at in self.changed_at.items() if at > base}
        routes: Mapping[bytes, Route] = self.table.routes if self.table else {}
        # In one order, so that parts of two equal messages fit together.
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
            routes_digest=self.told_digest,
        )
