"""Which balancers a balancer queries for published state, and how often.

Queries are repeated quickly while nothing is known: after a power loss a
balancer may query its seeds before they have started, and the query is lost.
"""

from collections.abc import Sequence

MIN_READERS = 2
"""Balancers that read the store at least; one of them may fail unnoticed."""

QUERY_INTERVAL_S = 0.5
"""Time between two queries, to the first two readers in turn, seconds."""

BOOTSTRAP_QUERY_INTERVAL_S = 0.1
"""The same while nothing is known, to all balancers in turn, seconds. With
three seeds, each gets three queries a second from each balancer that starts."""

QUERY_ALL_EVERY = 5
"""While nothing is known, one query in so many goes to all balancers."""

QUERY_SEED_EVERY = 4
"""One query in so many also goes to a seed."""


def query_interval_s(view_known: bool) -> float:
    """Returns the time until the next query, seconds.

    Args:
        view_known: This balancer has a view.
    """
    return QUERY_INTERVAL_S if view_known else BOOTSTRAP_QUERY_INTERVAL_S


def hosts_to_query(
    query_round: int,
    alive: Sequence[str],
    seeds: Sequence[str],
    view_known: bool,
) -> list[str]:
    """Returns the hosts of the balancers to query now.

    Examples:
        >>> hosts_to_query(1, ["a", "b", "c"], ["s"], view_known=True)
        ['b']
        >>> seeds = ["s", "t"]
        >>> [hosts_to_query(n, [], seeds, view_known=False) for n in (1, 2, 3)]
        [['s', 't'], ['s'], ['t']]

    Args:
        query_round: Number of the round, from 1.
        alive: Other balancers that are alive, readers first.
        seeds: Seeds, from the settings, that are not among these.
        view_known: This balancer has a view.
    """
    sources = list(alive[:MIN_READERS] or seeds)
    if not view_known:
        candidates = list(dict.fromkeys([*sources, *seeds]))
        if not candidates or query_round % QUERY_ALL_EVERY == 1:
            return candidates
        return [candidates[query_round % len(candidates)]]
    hosts = [sources[query_round % len(sources)]] if sources else []
    if seeds and query_round % QUERY_SEED_EVERY == 0:
        # Groups of balancers that a partition has separated find each other
        # again through the seeds.
        hosts.append(seeds[query_round // QUERY_SEED_EVERY % len(seeds)])
    return hosts
