"""Datagrams that waited in the sockets while the process was stalled."""

from collections.abc import Iterable

from msgspec import Struct, field

from notchhoist.base.datagrams import BATCH_DATAGRAMS
from notchhoist.daemon.ports import SocketRole
from notchhoist.flows.model.request_hints import ATTEMPT_TIMEOUT_S


class StallBacklog(Struct, eq=False):
    """Tells datagrams that waited through a stall from newer ones.

    Attributes:
        roles: Sockets that may still hold datagrams from the last stall.
        stalled_s: How long that stall lasted at least, seconds.
    """

    roles: set[SocketRole] = field(default_factory=set)
    stalled_s: float = 0.0

    def on_stall(
        self, stalled_s: float, readable: Iterable[SocketRole]
    ) -> None:
        """Handles the end of a stall.

        Args:
            stalled_s: How long it lasted at least, seconds.
            readable: Sockets that hold datagrams now.
        """
        self.stalled_s = stalled_s
        self.roles = set(readable)

    def has_waited(self, role: SocketRole, batch_size: int) -> bool:
        """Tells whether a batch may have waited through the last stall.

        Args:
            role: The socket that it was read from.
            batch_size: Number of datagrams; a batch that is not full has
                emptied the socket.
        """
        waited = role in self.roles
        if batch_size < BATCH_DATAGRAMS:
            self.roles.discard(role)
        return waited

    @property
    def outlasted_callers(self) -> bool:
        """Whether the callers of waiting opening packets have given up."""
        return self.stalled_s >= ATTEMPT_TIMEOUT_S
