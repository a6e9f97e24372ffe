"""What the system asks of the platform."""

from typing import Protocol

import attrs
from returns.result import Result

from notchhoist import model


@attrs.frozen
class HostList:
    """The platform's lagging list of hosts.

    Attributes:
        live: Names of live hosts.
        leaving: Names of hosts that are about to stop.
    """

    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


class Platform(Protocol):
    """The platform's service: two reads and nothing else."""

    async def read_configuration(
        self, after: int, wait_s: float
    ) -> Result[bytes, model.PlatformError]:
        """Reads the published document.

        Args:
            after: Answer only with a revision above this one.
            wait_s: How long the platform may hold the read, seconds.

        Returns:
            The text, empty where nothing newer came; or what failed.
        """

    async def read_hosts(self) -> Result[HostList, model.PlatformError]:
        """Reads the list of live and leaving hosts."""
