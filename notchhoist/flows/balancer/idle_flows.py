"""Detects idle flows whose backend server has exited.

A caller keeps a flow open between its requests, and the balancer receives no
packets of it meanwhile. When the server may have exited, the balancer sends the
caller's last packet again as a flow probe. If the flow no longer exists, the
agent on the server's host or the server itself returns the packet. The balancer
then acts as for a new packet of the caller, but before the caller's next
request.
"""

from msgspec import Struct, field

from notchhoist.flows.balancer.finding import FlowFinder
from notchhoist.flows.balancer.health import (
    HEARD_RECENTLY_S,
    AgentHealthMonitor,
)
from notchhoist.flows.boards.balancer_board import BalancerBoard, Placement
from notchhoist.flows.decisions.server_exit import (
    has_announced_drain,
    has_exited,
)
from notchhoist.flows.model import notes
from notchhoist.flows.model.effects import SendAgent
from notchhoist.flows.model.fleet import Server
from notchhoist.flows.model.notes import NoteKind
from notchhoist.flows.model.records import Count
from notchhoist.flows.model.segments import SegmentCodec

CHECK_INTERVAL_S = 0.5
"""Time between two checks of the servers with idle flows, seconds."""

HEALTH_PROBE_AFTER_S = 1.0
"""Silence after which an agent with idle flows gets a health probe, seconds."""

HEALTH_PROBES_PER_S_MAX = 50
"""Maximum number of these health probes in a second; they use half of the
bandwidth budget of control messages."""

REFERENCE_AGENTS_PER_SILENT = 2
"""Number of agents on other hosts that get a health probe for each silent
agent. A balancer that hears fewer agents than are silent attributes the silence
to its own host."""

STALE_ENTRIES_S = 5.0
"""Time after the first read of the server list during which a replaced entry
causes no recheck, seconds. Such an entry belongs to a server that had exited
earlier, and the flows were placed at its replacement."""

FLOW_PROBES_PER_CAUSE = 3
"""Number of flow probes for each idle flow and cause; some may be lost."""

FLOW_PROBE_INTERVAL_S = 1.0
"""Time between two probes of the same flow, seconds."""

FLOWS_PER_BATCH = 50
"""Maximum number of flow probes to a server in one check. A 5 Mbit/s link
carries 50 packets of 1.2 KB in 0.1 s."""

FLOWS_PER_CHECK = 5_000
"""Maximum number of flows scanned in one check, so that the process is not
blocked; a longer scan continues in the next check."""

UNLISTED = "entry vanished"
"""Reason of a recheck that lasts until the server is listed again. It causes
one series of flow probes, whereas each replacement of a server causes a new
one."""


class Recheck(Struct, eq=False):
    """A recheck of the idle flows of a server that may have exited.

    Attributes:
        reason: Reason, for the log.
        scan_from: Earliest start of a scan that has found all these flows,
            seconds.
        next_at: When the next flow probes are due, seconds.
        rounds: Number of probes for each flow, this round included.
        pending: Flows still to be probed in this round.
    """

    reason: str
    scan_from: float
    next_at: float
    rounds: int = 0
    pending: list[bytes] = field(default_factory=list)


class ServerFlows(Struct, eq=False):
    """The open flows of one server, as found by a scan.

    Attributes:
        server: The server.
        flows: Keys of the flows.
        last_used_at: When any of the flows was last used, seconds.
    """

    server: Server
    flows: list[bytes] = field(default_factory=list)
    last_used_at: float = float("-inf")


class Scan(Struct, eq=False):
    """A scan of all flows, done in slices.

    Attributes:
        started_at: When the scan started, seconds.
        remaining: Flows still to be scanned.
        groups: Open flows found, by id of the server.
    """

    started_at: float = float("-inf")
    remaining: list[bytes] = field(default_factory=list)
    groups: dict[str, ServerFlows] = field(default_factory=dict)


class IdleFlowMonitor(Struct, eq=False):
    """Monitors idle flows and the servers that hold them.

    Attributes:
        board: State of the balancer.
        codec: Codec of the packets.
        health: Monitors the agents.
        finder: Searches for flows.
        rechecks: Rechecks of servers that may have exited, by id of the server.
        scan: The current scan, or the last one.
        flows_by_server: Result of the last complete scan, by id of the server.
        scanned_at: When that scan started, seconds.
        next_check_at: When the servers are next checked, seconds.
    """

    board: BalancerBoard
    codec: SegmentCodec
    health: AgentHealthMonitor
    finder: FlowFinder
    rechecks: dict[str, Recheck] = field(default_factory=dict)
    scan: Scan = field(default_factory=Scan)
    flows_by_server: dict[str, ServerFlows] = field(default_factory=dict)
    scanned_at: float = float("-inf")
    next_check_at: float = 0.0

    def tick(self, now: float) -> None:
        """Checks the servers that hold idle flows."""
        if not self.board.uses.resting:
            return
        self._search_displaced(now)
        if now < self.next_check_at:
            return
        self.next_check_at = now + CHECK_INTERVAL_S
        if self._continue_scan(now):
            self._update_rechecks(now)
        self._send_health_probes(now)
        for server_id, group in list(self.flows_by_server.items()):
            recheck = self.rechecks.get(server_id)
            if has_exited(group.server, self.board.store_failed_at, now):
                del self.flows_by_server[server_id]
                self._give_up(group.server, now)
            elif recheck is not None and self._is_due(recheck, now):
                self._send_next_batch(group, recheck, now)

    def _is_due(self, recheck: Recheck, now: float) -> bool:
        return now >= recheck.next_at and recheck.scan_from <= self.scanned_at

    def _search_displaced(self, now: float) -> None:
        """Handles flows whose server was replaced by another on its host.

        If the new server runs the same service, the flows are rechecked there;
        otherwise they are searched for at the agents of their former service.
        """
        board = self.board
        displaced, board.displaced = board.displaced, {}
        for flow, former in displaced.items():
            placement = board.flows.get(flow)
            if placement is None or not _is_open(placement):
                continue
            if placement.server.entry.service == former:
                if now - board.list_known_since >= STALE_ENTRIES_S:
                    server_id = placement.server.entry.server_id
                    self._request_recheck(
                        server_id, "server replaced", now, now
                    )
                continue
            del board.flows[flow]
            board.records.counters[Count.SEARCHED_AT_REST] += 1
            self.finder.on_unknown(former, placement.last, now)

    def _continue_scan(self, now: float) -> bool:
        """Scans the next slice of flows; returns whether the scan is done."""
        board, scan = self.board, self.scan
        if not scan.remaining:
            scan = self.scan = Scan(now, list(board.flows))
        for flow in scan.remaining[-FLOWS_PER_CHECK:]:
            placement = board.flows.get(flow)
            if placement is None or not _is_open(placement):
                continue
            server_id = placement.server.entry.server_id
            group = scan.groups.get(server_id)
            if group is None or group.server is not placement.server:
                group = scan.groups[server_id] = ServerFlows(placement.server)
            group.flows.append(flow)
            group.last_used_at = max(group.last_used_at, placement.last_at)
        del scan.remaining[-FLOWS_PER_CHECK:]
        if scan.remaining:
            return False
        self.flows_by_server, self.scanned_at = scan.groups, scan.started_at
        return True

    def _update_rechecks(self, now: float) -> None:
        """Adds and removes rechecks according to a completed scan."""
        for server_id, recheck in list(self.rechecks.items()):
            if (
                server_id not in self.flows_by_server
                and recheck.scan_from <= self.scanned_at
            ):
                del self.rechecks[server_id]
        for server_id, group in self.flows_by_server.items():
            existing = self.rechecks.get(server_id)
            if not group.server.listed and not has_announced_drain(
                group.server
            ):
                # A draining server closes its flows; its agent detects the
                # remaining ones.
                self._request_recheck(server_id, UNLISTED, self.scanned_at, now)
            elif existing is not None and existing.reason == UNLISTED:
                del self.rechecks[server_id]

    def _request_recheck(
        self, server_id: str, reason: str, scan_from: float, now: float
    ) -> None:
        """Schedules flow probes for the idle flows of a server."""
        existing = self.rechecks.get(server_id)
        exhausted = (
            existing is not None and existing.rounds >= FLOW_PROBES_PER_CAUSE
        )
        repeats = exhausted and reason != UNLISTED
        if existing is None or existing.reason != reason or repeats:
            self.rechecks[server_id] = Recheck(reason, scan_from, now)
            self.next_check_at = now

    def _send_health_probes(self, now: float) -> None:
        """Sends health probes to silent agents with idle flows."""
        pause_s = max(
            HEALTH_PROBE_AFTER_S,
            len(self.flows_by_server) / HEALTH_PROBES_PER_S_MAX,
        )
        silent = 0
        for group in self.flows_by_server.values():
            server = group.server
            if now - group.last_used_at <= HEALTH_PROBE_AFTER_S:
                continue  # The packet has already caused a health probe.
            silent += server.suspected and not server.lost
            if now - server.heard_at > pause_s:
                self._send_health_probe(server, now)
        if silent:
            self._send_reference_health_probes(silent, now)

    def _send_reference_health_probes(self, silent: int, now: float) -> None:
        """Sends health probes to agents on other hosts.

        Their answers tell lost hosts from an isolated balancer.
        """
        others = [
            server
            for server in self.board.by_host.values()
            if server.listed and not server.suspected
        ]
        others.sort(key=lambda server: -server.heard_at)
        for server in others[: REFERENCE_AGENTS_PER_SILENT * silent]:
            if now - server.heard_at > HEARD_RECENTLY_S:
                self._send_health_probe(server, now)

    def _send_health_probe(self, server: Server, now: float) -> None:
        if self.health.probe(server, now):
            self.board.records.counters[Count.PROBED_AT_REST] += 1

    def _send_next_batch(
        self, group: ServerFlows, recheck: Recheck, now: float
    ) -> None:
        """Probes flows by their last packets, one batch in each check."""
        if not recheck.pending:
            recheck.rounds += 1
            recheck.pending = list(group.flows)
        batch, recheck.pending = (
            recheck.pending[:FLOWS_PER_BATCH],
            recheck.pending[FLOWS_PER_BATCH:],
        )
        if recheck.pending:
            recheck.next_at = now
        else:
            last_round = recheck.rounds >= FLOW_PROBES_PER_CAUSE
            recheck.next_at = (
                float("inf") if last_round else now + FLOW_PROBE_INTERVAL_S
            )
        server = group.server
        batch = [flow for flow in batch if self._is_open_at(flow, server)]
        if batch:
            self._send_flow_probes(server, batch, recheck, now)

    def _is_open_at(self, flow: bytes, server: Server) -> bool:
        """Tells whether a flow is still open at the given server."""
        placement = self.board.flows.get(flow)
        if placement is None or placement.server is not server:
            return False
        return _is_open(placement)

    def _send_flow_probes(
        self, server: Server, batch: list[bytes], recheck: Recheck, now: float
    ) -> None:
        note = notes.to_agent(NoteKind.FORWARD, server.tag, notes.NO_HINTS)
        for flow in batch:
            last = self.board.flows[flow].last
            datagram = self.codec.with_note(last, note)
            self.board.outbox.append(
                SendAgent(server.entry.host, datagram, flow, last.seq)
            )
        self.health.on_packet_sent(server, now)
        self.board.records.counters[Count.SEARCHED_AT_REST] += len(batch)
        self.board.records.record_decision(
            "try resting flows",
            b"",
            server.entry.server_id,
            reason=recheck.reason,
            flows=len(batch),
            copies=recheck.rounds,
            heard_s=round(now - server.heard_at, 3),
        )

    def _give_up(self, server: Server, now: float) -> None:
        self.board.records.counters[Count.LEFT_FOR_GOOD] += 1
        refused_since = server.refused_since or now
        self.health.declare_lost(
            server,
            now,
            "server and agent ended",
            unlisted_s=round(now - server.unlisted_at, 3),
            refused_s=round(now - refused_since, 3),
            announced=server.entry.draining,
        )

    def due(self) -> float:
        """Returns when ``tick`` is next needed, seconds."""
        board = self.board
        if not board.uses.resting or not (board.flows or board.displaced):
            return float("inf")
        return float("-inf") if board.displaced else self.next_check_at


def _is_open(placement: Placement) -> bool:
    """Tells whether a flow is open as far as this balancer knows.

    If only the opening packet passed through this balancer, the caller may have
    chosen another server that another balancer had offered the flow to.
    """
    opening = placement.last.opens or not placement.accepted
    return not opening and not placement.closing
