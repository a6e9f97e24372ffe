"""Damages datagrams as a faulty network does."""

import random

CHANGED_BYTES_MAX = 4


def change_bytes(data: bytes, rng: random.Random) -> bytes:
    """Returns a copy with one to four bytes changed.

    Examples:
        >>> change_bytes(b"abc", random.Random(1)) != b"abc"
        True
        >>> change_bytes(b"", random.Random(1))
        b''
    """
    changed = bytearray(data)
    for _ in range(rng.randint(1, CHANGED_BYTES_MAX) if data else 0):
        changed[rng.randrange(len(changed))] ^= rng.randint(1, 255)
    return bytes(changed)


def cut_off(data: bytes, rng: random.Random) -> bytes:
    """Returns a shorter copy.

    Examples:
        >>> len(cut_off(b"abcdef", random.Random(1))) < 6
        True
    """
    return data[: rng.randrange(len(data))] if data else data


def damage(data: bytes, rng: random.Random) -> bytes:
    """Returns a copy with changed bytes, or cut off."""
    return rng.choice((change_bytes, change_bytes, cut_off))(data, rng)
