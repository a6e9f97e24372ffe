"""Odd documents that another writer may put into the store."""

import json
import random
from collections.abc import Mapping

DEPTHS = (100, 400, 900, 960, 980, 990, 995, 1000, 1100, 5000)
"""Levels of nesting, below and above the limit of the JSON decoder."""

LONG_CHARACTERS = 100_000
LONG_DIGITS = "9" * 5000

ODD_NUMBERS = (
    "0",
    "-1",
    "-0.0",
    "0.5",
    "70000",
    str(2**31),
    str(2**53 + 1),
    str(2**63 - 1),
    str(2**63),
    str(2**64),
    str(-(2**63) - 1),
    "1e308",
    "1e400",
    "-1e400",
    LONG_DIGITS,
)
ODD_TEXTS = (
    "",
    " ",
    "\0",
    "\n{}",
    "\ud800",
    "\ufeff\u202e",
    "servers/",
    "../../op/config",
    "n" * LONG_CHARACTERS,
)
ODD_ADDRESSES = (
    f"127.0.0.1:{LONG_DIGITS}",
    f"{LONG_DIGITS}.0.0.1:80",
    "127.0.0.1:0",
    "127.0.0.1:70000",
    "127.0.0.1:-1",
    "127.0.0.1:\u0664\u0662",
    "0.0.0.0:80",
    "255.255.255.255:80",
    "localhost:80",
    ":",
)


def nested(rng: random.Random) -> str:
    """Returns a deeply nested array or object."""
    depth = rng.choice(DEPTHS) + rng.randint(-5, 5)
    if rng.random() < 0.5:
        return "[" * depth + "]" * depth
    return '{"a":' * depth + "1" + "}" * depth


def odd_value(rng: random.Random) -> str:
    """Returns the JSON text of an odd value."""
    match rng.randrange(5):
        case 0:
            return nested(rng)
        case 1:
            return rng.choice(ODD_NUMBERS)
        case 2:
            return json.dumps(rng.choice(ODD_TEXTS))
        case 3:
            return json.dumps(rng.choice(ODD_ADDRESSES))
        case _:
            return rng.choice(("null", "true", "[]", "{}", "[[]]", '"x"'))


def odd_document(good: Mapping[str, object], rng: random.Random) -> bytes:
    """Returns a document with an odd value in one field, or an odd document.

    Args:
        good: A valid document.
        rng: Source of the draws.

    Examples:
        >>> odd_document({"slots": 3}, random.Random(5))
        b'{"slots":null}'
    """
    if rng.random() < 0.15:
        return rng.choice((odd_value(rng).encode(), b"", b"{", b"\xff\xfe"))
    texts = {name: json.dumps(value) for name, value in good.items()}
    name = rng.choice(sorted(texts))
    is_address = name == "address" and rng.random() < 0.7
    texts[name] = (
        json.dumps(rng.choice(ODD_ADDRESSES)) if is_address else odd_value(rng)
    )
    fields = (f"{json.dumps(key)}:{text}" for key, text in texts.items())
    return ("{" + ",".join(fields) + "}").encode()


def odd_configuration(good: Mapping[str, object], rng: random.Random) -> bytes:
    """Returns a configuration that is odd as a whole or in one route."""
    routes = good["routes"]
    if not isinstance(routes, list) or not routes or rng.random() < 0.4:
        return odd_document(good, rng)
    odd_route = odd_document(rng.choice(routes), rng)
    others = [json.dumps(route).encode() for route in routes[1:]]
    texts = {
        key: json.dumps(value).encode()
        for key, value in good.items()
        if key != "routes"
    }
    texts["routes"] = b"[" + b",".join([odd_route, *others]) + b"]"
    fields = (b'"%s":%s' % (key.encode(), text) for key, text in texts.items())
    return b"{" + b",".join(fields) + b"}"


def odd_name(rng: random.Random) -> str:
    """Returns an odd last part of a key, at most 180 bytes long."""
    return rng.choice(
        (
            "",
            "/",
            "..",
            "\0",
            "\n",
            "\u202e\U0001f300",
            "n" * 180,
            '"}],"as_of":0',
            "%2e%00",
        )
    )
