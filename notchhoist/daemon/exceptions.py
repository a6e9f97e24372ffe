"""Records exceptions that leave callbacks of the event loop."""

from collections import deque
from types import TracebackType

from msgspec import Struct

from notchhoist.daemon.flow_journal import FlowJournal
from notchhoist.flows.model.records import Count, Records

EVENT = "exception"
REASON_CHARACTERS = 200
MAX_FRAMES = 12
"""Innermost frames of a traceback that are logged."""

PACKAGE = "notchhoist"


class ExceptionRecorder(Struct, eq=False):
    """Counts exceptions and logs them, within the limits of the log.

    Attributes:
        records: Counts them.
        journal: Writer of the logs.
    """

    records: Records
    journal: FlowJournal

    def record(self, callback: str, error: Exception) -> None:
        """Records an exception; raises none itself.

        Args:
            callback: Name of the callback that it left.
            error: The exception.
        """
        self.records.counters[Count.EXCEPTIONS] += 1
        try:
            reason = str(error)[:REASON_CHARACTERS]
            reason.encode()
        except Exception as second:  # The text is made of any values.
            reason = f"no text: {type(second).__name__}"
        self.journal.log(
            EVENT,
            outcome=type(error).__name__,
            reason=reason,
            callback=callback,
            frames=frames_of(error.__traceback__),
        )


def frames_of(traceback: TracebackType | None) -> list[str]:
    """Returns the innermost frames of a traceback, outermost first.

    The standard library's ``traceback`` would read the source files.
    """
    frames: deque[str] = deque(maxlen=MAX_FRAMES)
    while traceback is not None:
        code = traceback.tb_frame.f_code
        start = max(code.co_filename.rfind(f"{PACKAGE}/"), 0)
        place = f"{code.co_filename[start:]}:{traceback.tb_lineno}"
        frames.append(f"{place} {code.co_name}")
        traceback = traceback.tb_next
    return list(frames)
