"""Loopback addresses of a run, separate for runs at the same time."""

import attrs

FIRST_BLOCK = 32
"""Second octet of the first block; other tests use lower ones."""

BLOCKS = 60
OCTETS_PER_BLOCK = 3

PACKETS_PORT = 28_172
READY_PORT = 28_167
OUTBOUND_PORT = 28_162
SERVER_PORT = 28_165
STORE_PORT = 28_169
PEER_PORTS = (27_720, 27_735)


@attrs.frozen
class Block:
    """The addresses of one run.

    Each daemon binds one address and advertises another, on which a proxy
    listens.

    Attributes:
        number: Number of the block from 0; used modulo ``BLOCKS``.
    """

    number: int

    def _prefix(self, part: int) -> str:
        octet = FIRST_BLOCK + self.number % BLOCKS * OCTETS_PER_BLOCK + part
        return f"127.{octet}"

    def bound_ip(self, zone: int, number: int) -> str:
        """Returns the address that a daemon binds."""
        return f"{self._prefix(0)}.{zone + 1}.{number + 1}"

    def advertised_ip(self, zone: int, number: int) -> str:
        """Returns the address that a daemon advertises to the others.

        Examples:
            >>> Block(0).bound_ip(1, 3), Block(0).advertised_ip(1, 3)
            ('127.32.2.4', '127.33.2.4')
        """
        return f"{self._prefix(1)}.{zone + 1}.{number + 1}"

    def caller_ip(self, zone: int, number: int) -> str:
        """Returns the address of a caller."""
        return f"{self._prefix(2)}.{zone + 1}.{number + 1}"

    def store_ip(self) -> str:
        """Returns the address of the store itself."""
        return f"{self._prefix(2)}.200.1"
