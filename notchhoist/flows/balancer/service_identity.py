"""Balancer controller that learns which service an agent runs.

The address of a server may go to another service before its entry is gone. The
agent there answers health probes, so only what it says of itself tells.
"""

from msgspec import Struct

from notchhoist.flows.balancer.opening import FlowOpener
from notchhoist.flows.boards.balancer_board import BalancerBoard
from notchhoist.flows.model.messages import LoadTell


class ServiceIdentifier(Struct, eq=False):
    """Compares the service that an agent reports with the published one.

    Attributes:
        board: State of the balancer.
        opener: Places new flows.
    """

    board: BalancerBoard
    opener: FlowOpener

    def on_load_tell(self, host: str, message: LoadTell, now: float) -> None:
        """Handles an agent's report.

        An agent of an earlier version reports no service and drops opening
        packets with a name, so these are sent again without it.
        """
        server = self.board.by_host.get(host)
        if server is None:
            return
        had_read_names = server.reads_names
        server.reads_names = bool(message.service)
        if had_read_names and not server.reads_names:
            self.opener.repeat_offers(server, now)
        is_other = message.service not in ("", server.entry.service)
        other_service = message.service if is_other else ""
        if other_service == server.other_service:
            return
        server.other_service = other_service
        self.board.records.record_decision(
            "service",
            b"",
            "other service" if is_other else "as published",
            server=server.entry.server_id,
            server_host=host,
            published=server.entry.service,
            reported=message.service,
        )
