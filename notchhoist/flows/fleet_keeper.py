"""A balancer's controller for what the platform publishes."""

from collections.abc import Sequence

from msgspec import Struct

from notchhoist.flows.boards import BalancerBoard
from notchhoist.flows.fleet import (
    FOREVER,
    RouteTable,
    Server,
    ServerEntry,
)
from notchhoist.flows.notes import service_tag

UNLISTED_KEPT_S = 60.0
"""How long a server whose entry vanished is still asked for its flows; the
platform promises nothing to flows that are older."""


class FleetKeeper(Struct, eq=False):
    """Keeps routes and servers as published; a version never goes back.

    Attributes:
        board: What the balancer knows.
    """

    board: BalancerBoard

    def on_table(self, table: RouteTable) -> None:
        """Puts a configuration in force if it is newer."""
        board = self.board
        old = board.table.version if board.table else 0
        if table.version <= old:
            return
        board.table = table
        board.records.decide(
            "configuration",
            b"",
            "in force",
            version=table.version,
            before=old,
            routes=len(table.routes),
        )

    def on_listing(
        self,
        entries: Sequence[ServerEntry],
        now: float,
        kept: frozenset[str] = frozenset(),
    ) -> None:
        """Takes the whole list of backend servers.

        Args:
            entries: Their entries.
            now: Runtime clock, seconds.
            kept: Ids of servers that are listed with a wrong entry.
        """
        for entry in entries:
            self.on_entry(entry, now)
        listed = {entry.server_id for entry in entries} | kept
        for server_id, server in list(self.board.servers.items()):
            if server.listed and server_id not in listed:
                self.on_removed(server_id, now)
        self.board.fleet_known = True

    def on_entry(self, entry: ServerEntry, now: float) -> None:
        """Takes an entry that is new or has changed."""
        board = self.board
        server = board.servers.get(entry.server_id)
        if server is None:
            server = Server(entry, service_tag(entry.service), 0.0)
            board.servers[entry.server_id] = server
        elif server.entry == entry and server.listed:
            return
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
            host=entry.host,
            zone=entry.zone,
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

    def on_removed(self, server_id: str, now: float) -> None:
        """Takes word that an entry has vanished."""
        server = self.board.servers.get(server_id)
        if server is None or not server.listed:
            return
        server.unlisted_at = now
        self.board.records.decide("server", b"", "unlisted", server=server_id)

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
