"""Logs of the opaque-flow daemons: JSON lines, written without blocking.

The fields are those that ``eliot`` writes for a message. The library itself
takes 0.08 s and 4 MB to load, too much for the platform's hosts.
"""

import errno
import os
import stat
import zlib
from collections import Counter
from collections.abc import Callable

import msgspec
from msgspec import Struct, field

from notchhoist.daemon.loop import Clock
from notchhoist.flows.model.records import COSTLY_EVENTS, ROUTINE_EVENTS

MAX_LINES_PER_SECOND = 200
"""Most lines a second; further ones are only counted, by event. A line of 243
bytes takes 10 us (benchmarks/bench_logging.py), so this is 49 KB/s and 0.2% of
a core."""

MAX_FLOW_LINES = 70
"""Most lines a second of routine decisions on flows. Together with the other
events they leave half of the lines to decisions that cost a caller something.
"""

MAX_UNSAMPLED_FLOW_LINES = 30
"""Routine lines a second beyond which only lines of sampled flows are written.
Every host then keeps the lines of the same flows, which can be traced end to
end."""

MAX_OTHER_LINES = 30
"""Most lines a second of all other events, such as changes of the fleet."""

MAX_LINES_PER_EVENT = 15
"""Most lines a second of one of the other events, so that none of them uses up
the limit of all."""

FLOWS_PER_SAMPLE = 8
"""One flow in this many is sampled."""

Write = Callable[[bytes], None]


class FlowJournal(Struct, eq=False):
    """Writes log lines within limits per second.

    Attributes:
        host: Name of this host.
        clock: The runtime's clock.
        wall: Time of day, for human readers; it may jump.
        write: Writes a line; raises ``OSError`` if it would block.
        second_started_at: Start of the current second.
        flow_lines: Lines in this second of routine decisions on flows.
        other_lines: Lines in this second of other events, by event.
        costly_lines: Lines in this second of decisions that cost a caller
            something.
        dropped: Lines that were not written, by event.
    """

    host: str
    clock: Clock
    wall: Clock
    write: Write
    second_started_at: float = 0.0
    flow_lines: int = 0
    other_lines: Counter[str] = field(default_factory=Counter)
    costly_lines: int = 0
    dropped: Counter[str] = field(default_factory=Counter)

    def log(self, event: str, **fields: object) -> None:
        """Writes one line, or only counts it if its limit is reached."""
        now = self.clock()
        if now - self.second_started_at >= 1.0:
            self.second_started_at = now
            self.flow_lines = self.costly_lines = 0
            self.other_lines.clear()
            self._log_dropped()
        if self._admits(event, str(fields.get("flow", ""))):
            self._write(event, fields)
        else:
            self.dropped[event] += 1

    def _admits(self, event: str, flow: str) -> bool:
        """Counts a line against its limit; returns False if that is reached."""
        others = self.other_lines.total()
        if event in COSTLY_EVENTS:
            if (
                self.costly_lines + self.flow_lines + others
                >= MAX_LINES_PER_SECOND
            ):
                return False
            self.costly_lines += 1
        elif event in ROUTINE_EVENTS:
            max_lines = (
                MAX_FLOW_LINES if is_sampled(flow) else MAX_UNSAMPLED_FLOW_LINES
            )
            if self.flow_lines >= max_lines:
                return False
            self.flow_lines += 1
        else:
            if (
                others >= MAX_OTHER_LINES
                or self.other_lines[event] >= MAX_LINES_PER_EVENT
            ):
                return False
            self.other_lines[event] += 1
        return True

    def _log_dropped(self) -> None:
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
            # The reader does not keep up. A later line reports how many lines
            # were lost.
            self.dropped[event] += 1


def is_sampled(flow: str) -> bool:
    """Returns whether a flow is sampled, which is the same on every host.

    Examples:
        >>> is_sampled("")
        False
    """
    return bool(flow) and zlib.crc32(flow.encode()) % FLOWS_PER_SAMPLE == 0


class Output(Struct, eq=False):
    """A file for log lines that does not wait for its reader.

    Attributes:
        number: File descriptor.
        cut_off: The last line was written in part only.
    """

    number: int
    cut_off: bool = False

    def write(self, line: bytes) -> None:
        """Writes a line, or a part of it.

        Raises:
            OSError: The reader does not keep up, or has gone.
        """
        if self.cut_off:
            line = b"\n" + line
        self.cut_off = os.write(self.number, line) < len(line)
        if self.cut_off:
            raise BlockingIOError(errno.EAGAIN, "written in part")


def open_output(number: int) -> Output:
    """Returns the output at a file descriptor.

    A pipe would block the whole process once it is full, so it is made
    non-blocking, for everybody who has it from the same parent.
    """
    if stat.S_ISFIFO(os.fstat(number).st_mode):
        os.set_blocking(number, False)
    return Output(number)


def flow_text(flow: bytes) -> str:
    """Returns a flow's key as text: address of the caller, then the service's.

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
