"""Whom a balancer asks for what the platform has published, and how often.

Needed where a balancer asks the few that its settings name before these have
started, as after a loss of power: its question is lost.
"""

from collections.abc import Sequence

READERS = 2
"""Balancers that read the store, so that one may be lost unnoticed."""

ASK_S = 0.5
"""Time between two questions, to the first two readers in turn, seconds."""

ASK_FIRST_S = 0.1
"""The same while nothing is known, to one of all in turn, seconds: with three
that the settings name each gets three a second from each that starts."""

ALL_EVERY = 5
"""While nothing is known, all are asked with each so many questions."""

SEED_EVERY = 4
"""One question in so many also goes to a balancer that the settings name."""


def pause_s(knows: bool) -> float:
    """Returns the time until the next question, seconds.

    Args:
        knows: The view is known.
    """
    return ASK_S if knows else ASK_FIRST_S


def hosts_to_ask(
    turn: int, alive: Sequence[str], seeds: Sequence[str], knows: bool
) -> list[str]:
    """Returns whom to ask now.

    Examples:
        >>> hosts_to_ask(1, ["a", "b", "c"], ["s"], knows=True)
        ['b']
        >>> [hosts_to_ask(n, [], ["s", "t"], knows=False) for n in (1, 2, 3)]
        [['s', 't'], ['s'], ['t']]

    Args:
        turn: Number of the question, from 1.
        alive: Other balancers that are alive, those that read first.
        seeds: Others that the settings name and that were not heard lately.
        knows: The view is known.
    """
    asked = list(alive[:READERS] or seeds)
    if not knows:
        everybody = list(dict.fromkeys([*asked, *seeds]))
        if not everybody or turn % ALL_EVERY == 1:
            return everybody
        return [everybody[turn % len(everybody)]]
    hosts = [asked[turn % len(asked)]] if asked else []
    if seeds and turn % SEED_EVERY == 0:
        # Parts of the fleet that have lost each other meet there again.
        hosts.append(seeds[turn // SEED_EVERY % len(seeds)])
    return hosts
