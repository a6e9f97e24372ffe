"""Interface to the platform's publication service."""

from typing import Protocol

import attrs
from returns.result import Result

from notchhoist import model


@attrs.frozen
class HostList:
    """The platform's list of hosts, which lags behind their real state.

    Attributes:
        live: Names of live hosts.
        leaving: Names of draining hosts, which are about to stop.
    """

    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


class Platform(Protocol):
    """The platform's service, of which the system uses two reads."""

    async def read_configuration(
        self, after: int, wait_s: float
    ) -> Result[bytes, model.PlatformError]:
        """Reads the published document.

        Args:
            after: Only a document of a higher revision is returned.
            wait_s: Longest time that the platform may wait for one, seconds.

        Returns:
            The document, empty if there is no newer one, or the error.
        """

    async def read_hosts(self) -> Result[HostList, model.PlatformError]:
        """Reads the list of live and draining hosts."""
