"""Typed errors: every failure of the system has one of these types."""

import attrs


class NotchhoistError(Exception):
    """Base of all errors of the package."""


@attrs.frozen(slots=False)
class CodecError(NotchhoistError):
    """Bytes that do not decode.

    Attributes:
        codec: Name of the codec, ``coap`` or ``thrift``.
        reason: What the codec's library said.
    """

    codec: str
    reason: str

    def __str__(self) -> str:
        """Returns one line for people."""
        return f"{self.codec}: {self.reason}"


@attrs.frozen(slots=False)
class MisdirectedError(NotchhoistError):
    """A message for another service than the receiver's.

    Attributes:
        expected: Service of the receiver.
        got: Service that the message names.
    """

    expected: str
    got: str

    def __str__(self) -> str:
        """Returns one line for people."""
        return f"message for service {self.got!r} at {self.expected!r}"


@attrs.frozen
class ConfigurationProblem:
    """One thing that is wrong in a document or a settings file.

    Attributes:
        place: Path to the field, such as ``services[0].servers[2].slots``.
        expected: What would have been accepted there.
        got: What stood there, shortened.
    """

    place: str
    expected: str
    got: str

    def __str__(self) -> str:
        """Returns one line for people."""
        return f"{self.place}: expected {self.expected}, got {self.got}"


@attrs.frozen(slots=False)
class ConfigurationRefusedError(NotchhoistError):
    """A published document that is not put in force.

    Attributes:
        revision: The document's revision, or -1 where it has none.
        problems: Everything that is wrong with it.
    """

    revision: int
    problems: tuple[ConfigurationProblem, ...]

    def __str__(self) -> str:
        """Returns one line for people."""
        return "; ".join(str(problem) for problem in self.problems)


@attrs.frozen(slots=False)
class SettingsRefusedError(NotchhoistError):
    """A settings file that a process does not start from.

    Attributes:
        path: Name of the file.
        problems: Everything that is wrong with it.
    """

    path: str
    problems: tuple[ConfigurationProblem, ...]

    def __str__(self) -> str:
        """Returns a line for each problem."""
        return "\n".join(f"{self.path}: {item}" for item in self.problems)


@attrs.frozen(slots=False)
class PlatformError(NotchhoistError):
    """The platform's service did not give a usable answer.

    Attributes:
        operation: Which read failed.
        reason: Why, from the HTTP client.
    """

    operation: str
    reason: str

    def __str__(self) -> str:
        """Returns one line for people."""
        return f"platform {self.operation}: {self.reason}"


@attrs.frozen(slots=False)
class StatementError(NotchhoistError):
    """A statement of the command language that cannot be carried out.

    Attributes:
        column: Where, counted from 1; 0 where no place applies.
        expected: What would have been accepted there.
        got: What stood there.
    """

    column: int
    expected: str
    got: str

    def __str__(self) -> str:
        """Returns one line for people."""
        return f"column {self.column}: expected {self.expected}, got {self.got}"
