"""A balancer's controller for what the platform publishes."""

import zlib
from collections.abc import Sequence

from msgspec import Struct, field
from msgspec.structs import replace

from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.fleet import (
    FOREVER,
    Server,
    ServerEntry,
)
from notchhoist.flows.model.notes import service_tag
from notchhoist.flows.model.view import ViewChange
from notchhoist.flows.published.eras import EraKeeper, newest_word
from notchhoist.flows.published.tables import TableKeeper
from notchhoist.flows.published.zones import ZoneKeeper

UNLISTED_KEPT_S = 60.0
"""How long a server whose entry vanished is still asked for its flows; the
platform promises nothing to flows that are older."""


class FleetKeeper(Struct, eq=False):
    """Keeps routes and servers as published; nothing goes back.

    Attributes:
        board: What the balancer knows.
        eras: Carries what is known over restores of the platform's store.
        zones: Keeps which availability zones are evacuated.
        tables: Keeps the configuration.
        on_host: Its servers by host.
    """

    board: BalancerBoard
    eras: EraKeeper
    zones: ZoneKeeper
    tables: TableKeeper
    on_host: dict[str, list[Server]] = field(default_factory=dict)

    def on_listing(
        self,
        entries: Sequence[tuple[ServerEntry, int]],
        revision: int,
        now: float,
        refused: Sequence[tuple[str, int]] = (),
        evacuated: Sequence[tuple[str, int]] = (),
    ) -> None:
        """Takes the whole list of backend servers.

        Args:
            entries: Their entries, with the revision of each.
            revision: Revision of the list.
            now: Runtime clock, seconds.
            refused: Servers whose entries are wrong, with the revisions.
            evacuated: Zones that are evacuated, with the revisions.
        """
        if self.eras.begins(revision):
            entries = self.eras.begin(entries, revision, now)
        settled = self.eras.is_settled(now)
        self.zones.on_listing(evacuated, revision, now, settled)
        changed = [
            entry
            for entry, changed_at in entries
            if self._take_entry(entry, changed_at, now)
        ]
        self._index()
        listed = {entry.server_id for entry, _ in entries}
        for server_id, refused_at in refused:
            listed.add(server_id)
            self.on_refused(server_id, refused_at)
        if settled:
            for server_id in list(self.board.view.servers):
                if server_id not in listed:
                    self.on_removed(server_id, revision, now)
            self.eras.unsettled = False
        self.board.view.note_whole(revision)
        self.board.whole_since = now
        self._log_listing(entries, changed, revision)
        if not self.board.fleet_known:
            self.board.fleet_known = True
            self.board.known_since = now
            self.board.placing_since = min(self.board.placing_since, now)

    def _log_listing(
        self,
        entries: Sequence[tuple[ServerEntry, int]],
        changed: Sequence[ServerEntry],
        revision: int,
    ) -> None:
        """Logs a whole list in one line.

        With a line a server, 200 of them used the log's bound up in the second
        after a loss of power, and 68 hosts lost the lines of failed requests.
        """
        ids = sorted(entry.server_id for entry, _ in entries)
        self.board.records.decide(
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
        """Takes an entry that is new or has changed."""
        if not self._take_entry(entry, revision, now):
            return
        self._index()
        if entry.server_id not in self.board.servers:
            return
        self.board.records.decide(
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

    def _take_entry(
        self, entry: ServerEntry, revision: int, now: float
    ) -> bool:
        """Takes an entry without making the index anew; tells if it is news."""
        board = self.board
        known = board.view.servers.get(entry.server_id)
        if known is not None and self._is_strange(known, entry):
            entry = replace(known, draining=True, withdrawn=True)
        server = board.servers.get(entry.server_id)
        unchanged = False
        if server is not None and self.eras.is_first_word(entry, revision):
            entry = newest_word(server.entry, entry)
            unchanged = entry == replace(server.entry, created=entry.created)
        if not board.view.put_server(entry, revision):
            return False
        reborn = server is not None and not server.entry.is_same_as(entry)
        if server is not None and reborn:
            self._begin_anew(server, entry, now)
            server = None
        if server is None:
            server = Server(entry, service_tag(entry.service), 0.0)
            server.reborn = reborn
            server.began_cold = entry.warm_in_s > 0
            board.servers[entry.server_id] = server
            self.on_host.setdefault(entry.host, []).append(server)
        server.entry = entry
        server.unlisted_at = FOREVER
        if not unchanged:
            server.warm_at = now + entry.warm_in_s
        if self._is_superseded(server):
            # An entry outlives its server by three heartbeats.
            self._forget(server)
        return True

    def _is_strange(self, known: ServerEntry, entry: ServerEntry) -> bool:
        """Tells whether an entry moves a server to a service without a route.

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

    def _begin_anew(
        self, former: Server, entry: ServerEntry, now: float
    ) -> None:
        """Sets a server aside whose id names another one from now on.

        Beside the same agent, the agent says which flows are gone. Else the
        former may live: another writer's entry. It is asked for its flows only.
        """
        board = self.board
        board.records.decide(
            "server",
            b"",
            "began anew",
            server=entry.server_id,
            server_host=entry.host,
            host_before=former.entry.host,
            born_ms=entry.born_ms,
            born_before=former.entry.born_ms,
        )
        if former.entry.is_beside(entry):
            return  # The index by host replaces it.
        del board.servers[entry.server_id]
        set_aside = f"{entry.server_id}@{former.entry.host}"
        former.entry = replace(former.entry, server_id=set_aside)
        former.unlisted_at = now
        board.servers[set_aside] = former

    def _is_superseded(self, server: Server) -> bool:
        """Tells whether a newer server runs on the same host.

        Older ones there are replaced: their processes have ended.
        """
        for other in list(self.on_host.get(server.entry.host, ())):
            if other is server:
                continue
            same_id = other.entry.server_id == server.entry.server_id
            newer = other.entry.created > server.entry.created
            if newer and not same_id:
                return True
            self._replace(other, server)
        return False

    def _replace(self, old: Server, new: Server) -> None:
        self._forget(old)
        new.heard_at = old.heard_at
        self.board.move_flows(old, new)

    def _forget(self, server: Server) -> None:
        if self.board.servers.get(server.entry.server_id) is server:
            del self.board.servers[server.entry.server_id]
        self.on_host[server.entry.host].remove(server)

    def on_removed(self, server_id: str, revision: int, now: float) -> None:
        """Takes word that an entry has vanished."""
        if server_id not in self.board.view.changed_at:
            self.board.whole_since = now  # It came unseen, and may live.
        if not self.board.view.remove_server(server_id, revision):
            return
        server = self.board.servers.get(server_id)
        if server is not None:
            server.unlisted_at = now
        self.board.records.decide(
            "server", b"", "unlisted", server=server_id, revision=revision
        )

    def on_refused(self, server_id: str, revision: int) -> None:
        """Takes word that a server's entry no longer names one.

        It gets no new flows until it announces itself again; its open flows
        stay where they are.
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
        self.board.records.decide(
            "server", b"", "withdrawn", server=server_id, revision=revision
        )

    def must_list_again(self, now: float) -> bool:
        """Tells whether everything is to be read once more after a restore."""
        return self.eras.unsettled and self.eras.is_settled(now)

    def on_change(
        self, change: ViewChange, now: float, teller: str = ""
    ) -> bool:
        """Takes what another balancer knows beyond this one.

        Returns:
            Whether it leads to what the teller knows. It is passed over where
            something before it is missing, and where the routes would differ.
        """
        board = self.board
        if change.base > board.view.revision:
            return False
        if change.version and not self.tables.on_told(change, teller):
            return False
        if change.base == 0:
            self.on_listing(
                change.servers,
                change.revision,
                now,
                evacuated=change.evacuated,
            )
            return True
        for zone, asked_at in change.evacuated:
            self.zones.on_evacuated(zone, asked_at, now)
        for zone, withdrawn_at in change.returned:
            self.zones.on_returned(zone, withdrawn_at, now)
        for entry, revision in change.servers:
            self.on_entry(entry, revision, now)
        for server_id in change.removed_servers:
            self.on_removed(server_id, change.revision, now)
        board.view.reach(change.revision)
        return True

    def sweep(self, now: float) -> None:
        """Forgets servers whose entries vanished long ago."""
        old = [
            server
            for server in self.board.servers.values()
            if now - server.unlisted_at > UNLISTED_KEPT_S
        ]
        for server in old:
            self._forget(server)
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


def make_fleet_keeper(board: BalancerBoard) -> FleetKeeper:
    """Makes the keeper of what is published, for a balancer's blackboard."""
    return FleetKeeper(
        board, EraKeeper(board), ZoneKeeper(board), TableKeeper(board)
    )
