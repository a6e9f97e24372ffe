"""A balancer's controller for what the platform publishes."""

from collections.abc import Sequence

from msgspec import Struct

from notchhoist.flows.boards import BalancerBoard
from notchhoist.flows.fleet import FOREVER, RouteTable, Server, ServerEntry
from notchhoist.flows.notes import service_tag
from notchhoist.flows.view import ViewChange

UNLISTED_KEPT_S = 60.0
"""How long a server whose entry vanished is still asked for its flows; the
platform promises nothing to flows that are older."""


class FleetKeeper(Struct, eq=False):
    """Keeps routes and servers as published; nothing goes back.

    Attributes:
        board: What the balancer knows.
    """

    board: BalancerBoard

    def on_table(
        self, table: RouteTable, revision: int, mends: bool = False
    ) -> None:
        """Puts a configuration in force if it is newer.

        Args:
            table: The configuration.
            revision: Revision of its change.
            mends: It also replaces one of the same version.
        """
        board = self.board
        old = board.table.version if board.table else 0
        if not board.view.put_table(table, revision, mends):
            return
        board.table = table
        board.records.decide(
            "configuration",
            b"",
            "in force",
            version=table.version,
            before=old,
            revision=revision,
            routes=len(table.routes),
        )

    def on_listing(
        self,
        entries: Sequence[tuple[ServerEntry, int]],
        revision: int,
        now: float,
        kept: frozenset[str] = frozenset(),
    ) -> None:
        """Takes the whole list of backend servers.

        Args:
            entries: Their entries, with the revision of each.
            revision: Revision of the list.
            now: Runtime clock, seconds.
            kept: Ids of servers that are listed with a wrong entry.
        """
        for entry, changed_at in entries:
            self.on_entry(entry, changed_at, now)
        listed = {entry.server_id for entry, _ in entries} | kept
        for server_id in list(self.board.view.servers):
            if server_id not in listed:
                self.on_removed(server_id, revision, now)
        self.board.view.note_whole(revision)
        if not self.board.fleet_known:
            self.board.fleet_known = True
            self.board.known_since = now

    def on_entry(self, entry: ServerEntry, revision: int, now: float) -> None:
        """Takes an entry that is new or has changed."""
        board = self.board
        if not board.view.put_server(entry, revision):
            return
        server = board.servers.get(entry.server_id)
        if server is None:
            server = Server(entry, service_tag(entry.service), 0.0)
            server.began_cold = entry.warm_in_s > 0
            board.servers[entry.server_id] = server
        server.entry = entry
        server.unlisted_at = FOREVER
        if self._is_superseded(server):
            # An entry outlives its server by three heartbeats.
            self._forget(server.entry.server_id)
            return
        server.warm_at = now + entry.warm_in_s
        board.records.decide(
            "server",
            b"",
            "draining" if entry.draining else "ready",
            server=entry.server_id,
            service=entry.service,
            server_host=entry.host,
            zone=entry.zone,
            warm_in_s=entry.warm_in_s,
            revision=revision,
        )
        self._index()

    def _is_superseded(self, server: Server) -> bool:
        """Tells whether a newer server runs on the same host.

        Older ones there are replaced: their processes have ended.
        """
        for other in list(self.board.servers.values()):
            if other is server or other.entry.host != server.entry.host:
                continue
            if other.entry.created > server.entry.created:
                return True
            self._replace(other, server)
        return False

    def _replace(self, old: Server, new: Server) -> None:
        self._forget(old.entry.server_id)
        new.heard_at = old.heard_at
        for placement in self.board.flows.values():
            if placement.server is old:
                # Its agent will say that the flow is gone.
                placement.server = new

    def _forget(self, server_id: str) -> None:
        del self.board.servers[server_id]
        self._index()

    def on_removed(self, server_id: str, revision: int, now: float) -> None:
        """Takes word that an entry has vanished."""
        if not self.board.view.remove_server(server_id, revision):
            return
        server = self.board.servers.get(server_id)
        if server is not None:
            server.unlisted_at = now
        self.board.records.decide(
            "server", b"", "unlisted", server=server_id, revision=revision
        )

    def on_change(self, change: ViewChange, now: float) -> None:
        """Takes what another balancer knows beyond this one."""
        board = self.board
        if change.base > board.view.revision:
            return  # Something between is missing; it is asked for again.
        if change.version:
            known = board.table.routes if board.table and change.base else {}
            routes = {
                key: route
                for key, route in known.items()
                if key not in change.removed_routes
            }
            for route in change.routes:
                routes[route.service_key] = route
            table = RouteTable(change.version, routes, change.idle_s)
            newest = change.revision >= board.view.revision
            mends = change.base == 0 and newest
            self.on_table(table, change.revision, mends)
            board.view.note_dropped(change.removed_routes, change.revision)
        if change.base == 0:
            self.on_listing(change.servers, change.revision, now)
            return
        for entry, revision in change.servers:
            self.on_entry(entry, revision, now)
        for server_id in change.removed_servers:
            self.on_removed(server_id, change.revision, now)
        board.view.reach(change.revision)

    def sweep(self, now: float) -> None:
        """Forgets servers whose entries vanished long ago."""
        old = [
            server_id
            for server_id, server in self.board.servers.items()
            if now - server.unlisted_at > UNLISTED_KEPT_S
        ]
        for server_id in old:
            del self.board.servers[server_id]
        if old:
            self._index()

    def _index(self) -> None:
        board = self.board
        board.by_service = {}
        board.by_host = {}
        for server in board.servers.values():
            board.by_service.setdefault(server.entry.service, []).append(server)
            known = board.by_host.get(server.entry.host)
            if known is None or server.listed or not known.listed:
                board.by_host[server.entry.host] = server
