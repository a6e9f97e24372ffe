"""A balancer's controller for the state that the platform publishes."""

import zlib
from collections.abc import Sequence

from msgspec import Struct, field
from msgspec.structs import replace

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.fleet import (
    NEVER,
    Server,
    ServerEntry,
)
from notchhoist.flows.model.notes import service_tag
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.published.eras import EraTracker, merge_after_restore
from notchhoist.flows.published.tables import TableUpdater
from notchhoist.flows.published.zones import ZoneUpdater

UNLISTED_RETENTION_S = 60.0
"""How long an unlisted server is still queried for its flows, seconds; the
platform guarantees nothing for older flows."""


class FleetUpdater(Struct, eq=False):
    """Applies published routes and servers; never reverts to older ones.

    Attributes:
        board: The balancer's blackboard.
        eras: Tracks eras of the platform's store.
        zones: Applies evacuations of availability zones.
        tables: Applies configurations.
        servers_by_host: Servers by host, unlisted ones included.
    """

    board: BalancerBoard
    eras: EraTracker
    zones: ZoneUpdater
    tables: TableUpdater
    servers_by_host: dict[str, list[Server]] = field(default_factory=dict)

    def on_listing(
        self,
        entries: Sequence[tuple[ServerEntry, int]],
        revision: int,
        now: float,
        refused: Sequence[tuple[str, int]] = (),
        evacuated: Sequence[tuple[str, int]] = (),
    ) -> None:
        """Applies a full listing of the backend servers.

        Args:
            entries: Their entries, with the revision of each.
            revision: Revision of the listing.
            now: Runtime clock, seconds.
            refused: Servers whose entries are invalid, with the revisions.
            evacuated: Zones that are evacuated, with the revisions.
        """
        if self.eras.is_new_era(revision):
            entries = self.eras.start_era(entries, revision, now)
        complete = self.eras.is_grace_over(now)
        self.zones.on_listing(evacuated, revision, now, complete)
        changed = [
            entry
            for entry, changed_at in entries
            if self._apply_entry(entry, changed_at, now)
        ]
        self._rebuild_index()
        listed = {entry.server_id for entry, _ in entries}
        for server_id, refused_at in refused:
            listed.add(server_id)
            self.on_refused(server_id, refused_at)
        if complete:
            for server_id in list(self.board.view.servers):
                if server_id not in listed:
                    self.on_removed(server_id, revision, now)
            self.eras.listing_pending = False
        self.board.view.record_full_read(revision)
        self.board.list_complete_since = now
        self._log_listing(entries, changed, revision)
        if not self.board.fleet_known:
            self.board.fleet_known = True
            self.board.list_known_since = now
            self.board.first_placement_at = min(
                self.board.first_placement_at, now
            )

    def _log_listing(
        self,
        entries: Sequence[tuple[ServerEntry, int]],
        changed: Sequence[ServerEntry],
        revision: int,
    ) -> None:
        """Logs a full listing in one line.

        One line for each server would exhaust the rate limit of the log: with
        200 servers, 68 hosts lost the lines of failed requests in the second
        after a power loss.
        """
        ids = sorted(entry.server_id for entry, _ in entries)
        self.board.records.record_decision(
            "servers listed",
            b"",
            f"{len(entries)} servers",
            changed=len(changed),
            draining=sum(entry.draining for entry, _ in entries),
            cold=sum(entry.warm_in_s > 0 for entry, _ in entries),
            digest=f"{zlib.crc32(' '.join(ids).encode()):08x}",
            revision=revision,
        )

    def on_entry(self, entry: ServerEntry, revision: int, now: float) -> None:
        """Applies an entry that is new or has changed."""
        if not self._apply_entry(entry, revision, now):
            return
        self._rebuild_index()
        if entry.server_id not in self.board.servers:
            return
        self.board.records.record_decision(
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

    def _apply_entry(
        self, entry: ServerEntry, revision: int, now: float
    ) -> bool:
        """Applies an entry without rebuilding the index.

        Returns:
            Whether the entry changed the view.
        """
        board = self.board
        known = board.view.servers.get(entry.server_id)
        if known is not None and self._is_misassigned(known, entry):
            entry = replace(known, draining=True, withdrawn=True)
        server = board.servers.get(entry.server_id)
        unchanged = False
        if server is not None and self.eras.is_first_in_era(entry, revision):
            entry = merge_after_restore(server.entry, entry)
            unchanged = entry == replace(server.entry, created=entry.created)
        if not board.view.put_server(entry, revision):
            return False
        restarted = (
            server is not None
            and not server.entry.is_same_incarnation_as(entry)
        )
        if server is not None and restarted:
            self._start_incarnation(server, entry, now)
            server = None
        if server is None:
            server = Server(entry, service_tag(entry.service), 0.0)
            server.is_restart = restarted
            server.first_seen_cold = entry.warm_in_s > 0
            board.servers[entry.server_id] = server
            self.servers_by_host.setdefault(entry.host, []).append(server)
        server.entry = entry
        server.unlisted_at = NEVER
        if not unchanged:
            server.warm_at = now + entry.warm_in_s
        if self._resolve_host_conflicts(server):
            # An entry outlives its server by three heartbeats.
            self._remove_server(server)
        return True

    def _is_misassigned(self, known: ServerEntry, entry: ServerEntry) -> bool:
        """Returns whether an entry moves a server to a service without a route.

        No server does so; another writer has overwritten its entry.
        """
        table = self.board.table
        if entry.service == known.service or table is None:
            return False
        return not any(
            service == entry.service
            for route in table.routes.values()
            for service, _ in route.targets
        )

    def _start_incarnation(
        self, former: Server, entry: ServerEntry, now: float
    ) -> None:
        """Makes room for a new incarnation of a server.

        If both have the same agent, the agent reports which flows are gone.
        Otherwise the former server may still run, as the entry may be of
        another writer. It is kept under an id of its own and only queried for
        its flows.
        """
        board = self.board
        board.records.record_decision(
            "server",
            b"",
            "began anew",
            server=entry.server_id,
            server_host=entry.host,
            host_before=former.entry.host,
            born_ms=entry.born_ms,
            born_before=former.entry.born_ms,
        )
        if former.entry.shares_agent_with(entry):
            return  # _resolve_host_conflicts replaces it.
        del board.servers[entry.server_id]
        former_id = f"{entry.server_id}@{former.entry.host}"
        former.entry = replace(former.entry, server_id=former_id)
        former.unlisted_at = now
        board.servers[former_id] = former

    def _resolve_host_conflicts(self, server: Server) -> bool:
        """Replaces older servers on a host, as their processes have exited.

        Returns:
            Whether a newer server runs there.
        """
        for other in list(self.servers_by_host.get(server.entry.host, ())):
            if other is server:
                continue
            same_id = other.entry.server_id == server.entry.server_id
            newer = other.entry.created > server.entry.created
            if newer and not same_id:
                return True
            self._replace_server(other, server)
        return False

    def _replace_server(self, old: Server, new: Server) -> None:
        self._remove_server(old)
        new.heard_at = old.heard_at
        self.board.move_flows(old, new)

    def _remove_server(self, server: Server) -> None:
        if self.board.servers.get(server.entry.server_id) is server:
            del self.board.servers[server.entry.server_id]
        self.servers_by_host[server.entry.host].remove(server)

    def on_removed(self, server_id: str, revision: int, now: float) -> None:
        """Records that an entry is unlisted."""
        if server_id not in self.board.view.changed_at:
            # A server was missed whose process may still run.
            self.board.list_complete_since = now
        if not self.board.view.remove_server(server_id, revision):
            return
        server = self.board.servers.get(server_id)
        if server is not None:
            server.unlisted_at = now
        self.board.records.record_decision(
            "server", b"", "unlisted", server=server_id, revision=revision
        )

    def on_refused(self, server_id: str, revision: int) -> None:
        """Records that a server's entry has become invalid.

        The server gets no new flows until it announces itself again; its open
        flows stay where they are.
        """
        known = self.board.view.servers.get(server_id)
        if known is None:
            return
        withdrawn = replace(known, draining=True, withdrawn=True)
        if not self.board.view.put_server(withdrawn, revision):
            return
        server = self.board.servers.get(server_id)
        if server is not None:
            server.entry = withdrawn
        self.board.records.record_decision(
            "server", b"", "withdrawn", server=server_id, revision=revision
        )

    def must_list_again(self, now: float) -> bool:
        """Returns whether a restore makes another full listing necessary."""
        return self.eras.listing_pending and self.eras.is_grace_over(now)

    def on_change(
        self, change: ViewChange, now: float, sender: str = ""
    ) -> bool:
        """Applies a change that another balancer has sent.

        Args:
            change: The change.
            now: Runtime clock, seconds.
            sender: Host of that balancer.

        Returns:
            Whether the view now includes the sender's. The change is ignored if
            changes before it are missing, or if the routes would differ from
            the sender's.
        """
        board = self.board
        if change.base > board.view.revision:
            return False
        if change.version and not self.tables.on_update(change, sender):
            return False
        if change.base == 0:
            self.on_listing(
                change.servers,
                change.revision,
                now,
                evacuated=change.evacuated,
            )
            return True
        for zone, requested_at in change.evacuated:
            self.zones.on_evacuated(zone, requested_at, now)
        for zone, withdrawn_at in change.returned:
            self.zones.on_returned(zone, withdrawn_at, now)
        for entry, revision in change.servers:
            self.on_entry(entry, revision, now)
        for server_id in change.removed_servers:
            self.on_removed(server_id, change.revision, now)
        board.view.advance_to(change.revision)
        return True

    def sweep(self, now: float) -> None:
        """Removes servers that have been unlisted for long."""
        expired = [
            server
            for server in self.board.servers.values()
            if now - server.unlisted_at > UNLISTED_RETENTION_S
        ]
        for server in expired:
            self._remove_server(server)
        if expired:
            self._rebuild_index()

    def _rebuild_index(self) -> None:
        board = self.board
        board.by_service = {}
        board.by_host = {}
        for server in board.servers.values():
            board.by_service.setdefault(server.entry.service, []).append(server)
            known = board.by_host.get(server.entry.host)
            if known is None or server.listed or not known.listed:
                board.by_host[server.entry.host] = server


def make_fleet_updater(board: BalancerBoard) -> FleetUpdater:
    """Creates a ``FleetUpdater`` with its parts on a balancer's blackboard."""
    return FleetUpdater(
        board, EraTracker(board), ZoneUpdater(board), TableUpdater(board)
    )
