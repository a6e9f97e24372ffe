"""Logs of the opaque-flow daemons: JSON lines, written without blocking.

The fields are those that ``eliot`` writes for a message. The library itself
takes 0.08 s and 4 MB to load, too much for the platform's hosts.
"""

import errno
import os
import stat
import sys
import zlib
from collections import Counter
from collections.abc import Callable

import msgspec
from msgspec import Struct, field

import notchhoist
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

MAX_LINE_BYTES = 4096
"""Longest line: what a pipe takes whole or not at all (``PIPE_BUF``), so that
lines of processes that share one do not mix."""

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
            self.log_dropped()
        flow = fields.get("flow")
        if self._admits(event, flow if isinstance(flow, str) else ""):
            self._write(event, fields)
        else:
            self.dropped[event] += 1

    def log_start(self, balances: bool) -> None:
        """Logs the start of the process, in the role of balancer or agent."""
        self.log("start", **process_fields(balances))

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

    def log_dropped(self) -> None:
        """Logs how many lines were dropped since this was last logged."""
        if not self.dropped:
            return
        dropped, self.dropped = self.dropped, Counter()
        if not self._write("lines_dropped", {"dropped": dict(dropped)}):
            self.dropped = dropped

    def _write(self, event: str, fields: dict[str, object]) -> bool:
        """Writes a line; returns False if the reader does not keep up."""
        line: dict[str, object] = {
            "timestamp": round(self.wall(), 3),
            "clock": round(self.clock(), 4),
            "message_type": event,
            "host": self.host,
        }
        for name, value in fields.items():
            line[f"input_{name}" if name in line else name] = value
        try:
            self.write(encode_line(line))
        except OSError:
            # A later line reports how many lines were lost.
            self.dropped[event] += 1
            return False
        return True


def encode_line(line: dict[str, object]) -> bytes:
    r"""Encodes a line; values that JSON cannot hold or too long ones are cut.

    Examples:
        >>> encode_line({"host": "h", "outcome": "ready"})
        b'{"host":"h","outcome":"ready"}\n'
    """
    try:
        text = msgspec.json.encode(line, enc_hook=str)
    except Exception:
        # Values raise errors of any type, those of their own methods too. The
        # line says that it is cut.
        text = b""
    if not text or len(text) >= MAX_LINE_BYTES:
        from notchhoist.daemon.log_values import encode_shortened

        text = encode_shortened(line, MAX_LINE_BYTES - 1)
    return text + b"\n"


def is_sampled(flow: str) -> bool:
    """Returns whether a flow is sampled, which is the same on every host.

    Examples:
        >>> is_sampled("")
        False
    """
    text = flow.encode(errors="backslashreplace")
    return bool(flow) and zlib.crc32(text) % FLOWS_PER_SAMPLE == 0


class LineWriter(Struct, eq=False):
    """Writes whole lines without waiting for their reader.

    Attributes:
        fd: File descriptor of the output.
        rest: What is missing of a line that was written in part.
        prepared: Whether the output has been set not to block.
    """

    fd: int
    rest: bytes = b""
    prepared: bool = False

    def write(self, line: bytes) -> None:
        """Writes a line.

        Raises:
            OSError: The reader does not keep up, or is gone; nothing of the
                line was written.
        """
        if not self.prepared:
            self._prepare()
        if self.rest:
            self.rest = self.rest[os.write(self.fd, self.rest) :]
            if self.rest:
                raise BlockingIOError(errno.EAGAIN, "output is full")
        self.rest = line[os.write(self.fd, line) :]

    def _prepare(self) -> None:
        """Sets a pipe or socket not to block; files and terminals never wait.

        A terminal is shared with the shell, which expects it to block.
        """
        mode = os.fstat(self.fd).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(self.fd, False)
        self.prepared = True


_STDOUT = LineWriter(1)


def write_to_stdout(line: bytes) -> None:
    """Writes to standard output without waiting for its reader.

    Raises:
        OSError: The reader does not keep up; nothing useful was written.
    """
    _STDOUT.write(line)


def process_fields(balances: bool) -> dict[str, str]:
    """Returns a process's role, versions and kind of machine.

    Examples:
        >>> list(process_fields(balances=True))
        ['role', 'version', 'python', 'machine']
    """
    return {
        "role": "balancer" if balances else "agent",
        "version": notchhoist.__version__,
        "python": ".".join(str(number) for number in sys.version_info[:3]),
        "machine": os.uname().machine,
    }


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
