"""Typed errors: every failure of the system has one of these types.

Plain classes: small processes load them before anything else, and a class
generator would cost them more than all errors together.
"""


class NotchhoistError(Exception):
    """Base of all errors of the package."""


class CodecError(NotchhoistError):
    """Bytes that do not decode.

    Attributes:
        codec: Name of the codec, such as ``coap`` or ``thrift``.
        reason: What the codec's library said.
    """

    def __init__(self, codec: str, reason: str) -> None:
        super().__init__(codec, reason)
        self.codec = codec
        self.reason = reason

    def __str__(self) -> str:
        """Returns one line for people."""
        return f"{self.codec}: {self.reason}"


class MisdirectedError(NotchhoistError):
    """A message for another service than the receiver's.

    Attributes:
        expected: Service of the receiver.
        got: Service that the message names.
    """

    def __init__(self, expected: str, got: str) -> None:
        super().__init__(expected, got)
        self.expected = expected
        self.got = got

    def __str__(self) -> str:
        """Returns one line for people."""
        return f"message for service {self.got!r} at {self.expected!r}"


class ConfigurationProblem:
    """One thing that is wrong in a document or a settings file.

    Attributes:
        place: Path to the field, such as ``services[0].servers[2].slots``.
        expected: What would have been accepted there.
        got: What stood there, shortened.
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
        """Returns one line for people."""
        return f"{self.place}: expected {self.expected}, got {self.got}"


class ConfigurationRefusedError(NotchhoistError):
    """A published document that is not put in force.

    Attributes:
        revision: The document's revision, or -1 where it has none.
        problems: Everything that is wrong with it.
    """

    def __init__(
        self, revision: int, problems: tuple[ConfigurationProblem, ...]
    ) -> None:
        super().__init__(revision, problems)
        self.revision = revision
        self.problems = problems

    def __str__(self) -> str:
        """Returns one line for people."""
        return "; ".join(str(problem) for problem in self.problems)


class SettingsRefusedError(NotchhoistError):
    """A settings file that a process does not start from.

    Attributes:
        path: Name of the file.
        problems: Everything that is wrong with it.
    """

    def __init__(
        self, path: str, problems: tuple[ConfigurationProblem, ...]
    ) -> None:
        super().__init__(path, problems)
        self.path = path
        self.problems = problems

    def __str__(self) -> str:
        """Returns a line for each problem."""
        return "\n".join(f"{self.path}: {item}" for item in self.problems)


class PlatformError(NotchhoistError):
    """The platform's service did not give a usable answer.

    Attributes:
        operation: Which read failed.
        reason: Why, from the HTTP client.
    """

    def __init__(self, operation: str, reason: str) -> None:
        super().__init__(operation, reason)
        self.operation = operation
        self.reason = reason

    def __str__(self) -> str:
        """Returns one line for people."""
        return f"platform {self.operation}: {self.reason}"


class StatementError(NotchhoistError):
    """A statement of the command language that cannot be carried out.

    Attributes:
        column: Where, counted from 1; 0 where no place applies.
        expected: What would have been accepted there.
        got: What stood there.
    """

    def __init__(self, column: int, expected: str, got: str) -> None:
        super().__init__(column, expected, got)
        self.column = column
        self.expected = expected
        self.got = got

    def __str__(self) -> str:
        """Returns one line for people."""
        return f"column {self.column}: expected {self.expected}, got {self.got}"
