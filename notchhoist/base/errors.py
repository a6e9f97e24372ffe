"""Exception types of the system; every failure has one of them.

They are plain classes: small processes load them first, and generating classes
with a library would take longer than loading all of this module.
"""

SHOWN_PROBLEMS_MAX = 5
"""Most problems of a document in the message of its error."""


class NotchhoistError(Exception):
    """Base of all errors of the package."""


class CodecError(NotchhoistError):
    """Raised for bytes that cannot be decoded.

    Attributes:
        codec: Name of the codec, such as ``coap`` or ``thrift``.
        reason: Error text, mostly from the codec's library.
    """

    def __init__(self, codec: str, reason: str) -> None:
        super().__init__(codec, reason)
        self.codec = codec
        self.reason = reason

    def __str__(self) -> str:
        """Returns a message of one line."""
        return f"{self.codec}: {self.reason}"


class MisdirectedError(NotchhoistError):
    """Raised for a message that is addressed to another service.

    Attributes:
        expected: Service of the receiver.
        got: Service that the message names.
    """

    def __init__(self, expected: str, got: str) -> None:
        super().__init__(expected, got)
        self.expected = expected
        self.got = got

    def __str__(self) -> str:
        """Returns a message of one line."""
        return f"message for service {self.got!r} at service {self.expected!r}"


class ConfigurationProblem:
    """A single error in a published document or a settings file.

    Attributes:
        place: Path to the field, such as ``services[0].servers[2].slots``.
        expected: Description of the accepted values.
        got: The value found there, shortened.
    """

    __slots__ = ("expected", "got", "place")

    def __init__(self, place: str, expected: str, got: str) -> None:
        self.place = place
        self.expected = expected
        self.got = got

    def _key(self) -> tuple[str, str, str]:
        return (self.place, self.expected, self.got)

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, ConfigurationProblem):
            return NotImplemented
        return self._key() == other._key()

    def __hash__(self) -> int:
        return hash(self._key())

    def __repr__(self) -> str:
        return f"ConfigurationProblem{self._key()}"

    def __str__(self) -> str:
        """Returns a message of one line."""
        return f"{self.place}: expected {self.expected}, got {self.got}"


class ConfigurationRefusedError(NotchhoistError):
    """Raised for a published document that is invalid and not applied.

    Attributes:
        revision: The document's revision, or -1 if it has none.
        problems: Every error in the document.
    """

    def __init__(
        self, revision: int, problems: tuple[ConfigurationProblem, ...]
    ) -> None:
        super().__init__(revision, problems)
        self.revision = revision
        self.problems = problems

    def __str__(self) -> str:
        """Returns a message of one line, with the first problems."""
        shown = [str(problem) for problem in self.problems[:SHOWN_PROBLEMS_MAX]]
        more = len(self.problems) - len(shown)
        return "; ".join([*shown, f"{more} more"] if more else shown)


class SettingsRefusedError(NotchhoistError):
    """Raised for an invalid settings file; the process does not start.

    Attributes:
        path: Path of the file.
        problems: Every error in the file.
    """

    def __init__(
        self, path: str, problems: tuple[ConfigurationProblem, ...]
    ) -> None:
        super().__init__(path, problems)
        self.path = path
        self.problems = problems

    def __str__(self) -> str:
        """Returns a message with one line for each problem."""
        return "\n".join(f"{self.path}: {item}" for item in self.problems)


class AddressError(NotchhoistError):
    """Raised if an address of the process cannot be bound.

    Attributes:
        address: Protocol, host and port, such as ``udp 10.0.0.1:53``.
        reason: Error text of the system.
        may_become_free: Whether the address is in use or not yet on the host.
    """

    def __init__(
        self, address: str, reason: str, may_become_free: bool
    ) -> None:
        super().__init__(address, reason, may_become_free)
        self.address = address
        self.reason = reason
        self.may_become_free = may_become_free

    def __str__(self) -> str:
        """Returns a message of one line."""
        return f"{self.address}: {self.reason}"


class PlatformError(NotchhoistError):
    """Raised if the platform's service gives no usable response.

    Attributes:
        operation: Name of the read that failed.
        reason: Error text, such as that of the HTTP client.
    """

    def __init__(self, operation: str, reason: str) -> None:
        super().__init__(operation, reason)
        self.operation = operation
        self.reason = reason

    def __str__(self) -> str:
        """Returns a message of one line."""
        return f"platform {self.operation}: {self.reason}"


class StatementError(NotchhoistError):
    """Raised for a statement of the command language that cannot be executed.

    Attributes:
        column: Column of the error, from 1; 0 if it has no position.
        expected: Description of the accepted input.
        got: The input found there.
    """

    def __init__(self, column: int, expected: str, got: str) -> None:
        super().__init__(column, expected, got)
        self.column = column
        self.expected = expected
        self.got = got

    def __str__(self) -> str:
        """Returns a message of one line."""
        return f"column {self.column}: expected {self.expected}, got {self.got}"
