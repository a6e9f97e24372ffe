"""Loads ``msgspec`` without what it needs only for types that we do not use.

The library looks up the classes of ``uuid`` and ``decimal`` when it is loaded,
and keeps ``textwrap`` for schemas. ``uuid`` brings ``platform``, and both that
and ``textwrap`` compile regular expressions. Without them a daemon's modules
load in 80 ms instead of 95 (medians of whole processes, 15 each, on a busy
machine; the interpreter alone takes 12). On a host with 0.038 of a core that is
0.3 s after each start. Stand-ins take their places while ``msgspec`` is loaded;
whoever imports the real modules later gets them.
"""

import sys
from types import ModuleType


class _Unused:
    """Stands for a class whose values never occur in our messages."""

    unknown = None


STAND_INS = {
    "uuid": ("UUID", "SafeUUID"),
    "decimal": ("Decimal",),
    "textwrap": (),
}
"""Modules that are left out, with the classes that are looked up in them."""


def load_msgspec() -> None:
    """Loads ``msgspec``, unless somebody has loaded it already."""
    if "msgspec" in sys.modules:
        return
    missing = [name for name in STAND_INS if name not in sys.modules]
    for name in missing:
        stand_in = ModuleType(name)
        for attribute in STAND_INS[name]:
            setattr(stand_in, attribute, _Unused)
        sys.modules[name] = stand_in
    try:
        import msgspec  # noqa: F401
    finally:
        for name in missing:
            del sys.modules[name]
