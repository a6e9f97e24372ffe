"""Rendezvous hashing: every process ranks the same nodes the same way."""

import functools
from collections.abc import Sequence

import xxhash

from notchhoist.base.identifiers import Endpoint


@functools.lru_cache(maxsize=1 << 16)
def _seed(node: Endpoint) -> int:
    return xxhash.xxh64_intdigest(str(node).encode())


def rank_nodes(key: bytes, nodes: Sequence[Endpoint]) -> list[Endpoint]:
    """Orders nodes by their score for a key, best first.

    When a node leaves, only the keys that it ranked first for get another
    first node. Ties are broken by the endpoint.

    Examples:
        >>> nodes = [Endpoint("10.0.0.1", n) for n in range(4)]
        >>> ranked = rank_nodes(b"flow", nodes)
        >>> rank_nodes(b"flow", nodes[::-1]) == ranked
        True
        >>> rank_nodes(b"flow", [n for n in nodes if n != ranked[0]])[0] == (
        ...     ranked[1]
        ... )
        True

    Args:
        key: What is placed.
        nodes: Candidates, in any order.

    Returns:
        The same nodes, best first.

    References:
        Thaler and Ravishankar, "Using name-based mappings to increase hit
        rates", 1998.
    """
    return sorted(
        nodes,
        key=lambda node: (
            -xxhash.xxh3_64_intdigest(key, _seed(node)),
            node,
        ),
    )


def flow_hash_key(caller: Endpoint) -> bytes:
    """Returns the bytes that a caller's flow is ranked by."""
    return str(caller).encode()
