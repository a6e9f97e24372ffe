"""Logs of the opaque-flow daemons: JSON lines that never block.

The fields are those that ``eliot`` writes for a message; the library itself
takes 0.08 s and 4 MB to load, too much for the platform's hosts.
"""

import os
import zlib
from collections import Counter
from collections.abc import Callable

import msgspec
from msgspec import Struct, field

from notchhoist.daemon.loop import Clock
from notchhoist.flows.model.records import COSTLY_EVENTS, ROUTINE_EVENTS

LINES_A_SECOND = 200
"""Most lines in a second; further ones are counted by kind. A line of 243 bytes
takes 10 us (benchmarks/bench_logging.py), so this is 49 KB/s and 0.2% of a
core."""

FLOW_LINES = 70
"""Most lines in a second that tell where flows went. With those below they
leave half of the bound to decisions that cost a caller something."""

ANY_FLOW_LINES = 30
"""Beyond so many of them only lines of sampled flows are written, so that every
host keeps the same flows' lines and they can be followed from end to end."""

OTHER_LINES = 30
"""Most lines in a second of all other events, those of the fleet among them."""

LINES_A_KIND = 15
"""Most lines of one such event, so that none of them hides the rest."""

SAMPLED_OF = 8
"""One flow in so many is sampled."""

Write = Callable[[bytes], None]


class FlowJournal(Struct, eq=False):
    """Writes log lines within a budget.

    Attributes:
        host: Name of this host.
        clock: The runtime's clock.
        wall: Time of day, for people; it may jump.
        write: Takes a line; raises ``OSError`` where it would block.
        second: Start of the second that is being counted.
        followed: Lines in it that tell where flows went.
        others: Lines in it of other events, by kind.
        costly: Lines in it of decisions that cost a caller something.
        dropped: Lines that were not written, by kind.
    """

    host: str
    clock: Clock
    wall: Clock
    write: Write
    second: float = 0.0
    followed: int = 0
    others: Counter[str] = field(default_factory=Counter)
    costly: int = 0
    dropped: Counter[str] = field(default_factory=Counter)

    def log(self, event: str, **fields: object) -> None:
        """Writes one line, or counts it where the budget is used up."""
        now = self.clock()
        if now - self.second >= 1.0:
            self.second = now
            self.followed = self.costly = 0
            self.others.clear()
            self._tell_dropped()
        if self._admits(event, str(fields.get("flow", ""))):
            self._write(event, fields)
        else:
            self.dropped[event] += 1

    def _admits(self, event: str, flow: str) -> bool:
        """Takes a line into the budget, if it has room for it."""
        others = self.others.total()
        if event in COSTLY_EVENTS:
            if self.costly + self.followed + others >= LINES_A_SECOND:
                return False
            self.costly += 1
        elif event in ROUTINE_EVENTS:
            room = FLOW_LINES if is_sampled(flow) else ANY_FLOW_LINES
            if self.followed >= room:
                return False
            self.followed += 1
        else:
            if others >= OTHER_LINES or self.others[event] >= LINES_A_KIND:
                return False
            self.others[event] += 1
        return True

    def _tell_dropped(self) -> None:
        if not self.dropped:
            return
        dropped = dict(self.dropped)
        self.dropped.clear()
        self._write("lines_dropped", {"dropped": dropped})

    def _write(self, event: str, fields: dict[str, object]) -> None:
        line: dict[str, object] = {
            "timestamp": round(self.wall(), 3),
            "clock": round(self.clock(), 4),
            "message_type": event,
            "host": self.host,
        }
        for name, value in fields.items():
            line[f"input_{name}" if name in line else name] = value
        try:
            self.write(msgspec.json.encode(line, enc_hook=str) + b"\n")
        except OSError:
            # The reader does not keep up; the next line that gets through
            # tells how many were lost.
            self.dropped[event] += 1


def is_sampled(flow: str) -> bool:
    """Tells whether the lines of a flow are kept longest; alike on every host.

    Examples:
        >>> is_sampled("")
        False
    """
    return bool(flow) and zlib.crc32(flow.encode()) % SAMPLED_OF == 0


def write_to_stdout(line: bytes) -> None:
    """Writes to standard output without ever waiting for its reader.

    Raises:
        OSError: The reader does not keep up; nothing useful was written.
    """
    os.write(1, line)


def flow_text(flow: bytes) -> str:
    """Returns a flow's key as people write it: caller to service address.

    Examples:
        >>> flow_text(bytes.fromhex("6440000a9c41c612000101bb"))
        '100.64.0.10:40001-198.18.0.1:443'
    """
    ends = (flow[:6], flow[6:12])
    return "-".join(
        f"{'.'.join(str(octet) for octet in end[:4])}:"
        f"{int.from_bytes(end[4:], 'big')}"
        for end in ends
    )
