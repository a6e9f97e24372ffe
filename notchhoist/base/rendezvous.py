"""Rendezvous hashing, by which every process ranks nodes in the same order."""

import functools
from collections.abc import Sequence

import xxhash

from notchhoist.base.identifiers import Endpoint


@functools.lru_cache(maxsize=1 << 16)
def _node_seed(node: Endpoint) -> int:
    return xxhash.xxh64_intdigest(str(node).encode())


def rank_nodes(key: bytes, nodes: Sequence[Endpoint]) -> list[Endpoint]:
    """Orders nodes by their score for a key, best first.

    If a node is removed, only the keys for which it ranked first get another
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
        key: Bytes that identify the flow or other item to place.
        nodes: Candidate nodes, in any order.

    Returns:
        The same nodes, best first.

    References:
        Thaler and Ravishankar, "Using name-based mappings to increase hit
        rates", 1998.
    """
    return sorted(
        nodes,
        key=lambda node: (
            -xxhash.xxh3_64_intdigest(key, _node_seed(node)),
            node,
        ),
    )


def flow_hash_key(caller: Endpoint) -> bytes:
    """Returns the key by which nodes are ranked for a caller's flow."""
    return str(caller).encode()
