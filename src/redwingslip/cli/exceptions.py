"""How a command can fail, each kind with an exit code of its own."""

import enum

from ..exceptions import RedwingslipError

__all__ = [
    "CommandError",
    "ConflictError",
    "ExitCode",
    "InvalidInputError",
    "NotAdmittedError",
    "NotFoundError",
    "NotInForceError",
    "NotReachedError",
    "RefusedError",
    "TooOldError",
    "UnauthorizedError",
    "UnknownOutcomeError",
]


class ExitCode(enum.IntEnum):
    """What a command's exit code says."""

    OK = 0
    INTERNAL = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    NOT_ADMITTED = 5
    NOT_FOUND = 6
    UNAUTHORIZED = 7
    NOT_REACHED = 8
    UNKNOWN_OUTCOME = 9
    DIFFERENT = 10
    NOT_IN_FORCE = 11


class CommandError(RedwingslipError):
    """A command failed; the message says what to do.

    Attributes
    ----------
    exit_code : ExitCode
        The kind of failure.
    """

    exit_code = ExitCode.INTERNAL


class InvalidInputError(CommandError):
    """What was given is wrong: a file, an option, a specification."""

    exit_code = ExitCode.INVALID


class ConflictError(CommandError):
    """Someone else wrote first."""

    exit_code = ExitCode.CONFLICT


class NotAdmittedError(CommandError):
    """The fleet does not admit it now; it may later."""

    exit_code = ExitCode.NOT_ADMITTED


class NotFoundError(CommandError):
    """There is no such resource."""

    exit_code = ExitCode.NOT_FOUND


class UnauthorizedError(CommandError):
    """The token was not accepted."""

    exit_code = ExitCode.UNAUTHORIZED


class NotReachedError(CommandError):
    """No server took the request: nothing was done."""

    exit_code = ExitCode.NOT_REACHED


class UnknownOutcomeError(CommandError):
    """The answer was lost: it may or may not have been done."""

    exit_code = ExitCode.UNKNOWN_OUTCOME


class NotInForceError(CommandError):
    """It was accepted, and not every entry acts by it yet."""

    exit_code = ExitCode.NOT_IN_FORCE


class RefusedError(CommandError):
    """A server refused for a reason that this program does not know."""


class TooOldError(CommandError):
    """A watch can't go on from this revision."""
