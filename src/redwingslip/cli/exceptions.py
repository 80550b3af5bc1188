"""Errors of commands; most kinds have an exit code of their own."""

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
    """Exit codes of commands."""

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
    """A command failed; the message tells the operator what to do.

    Attributes
    ----------
    exit_code : ExitCode
        The kind of failure.
    """

    exit_code = ExitCode.INTERNAL


class InvalidInputError(CommandError):
    """A file, an option or a specification is invalid."""

    exit_code = ExitCode.INVALID


class ConflictError(CommandError):
    """The resource was changed by another write, or exists already."""

    exit_code = ExitCode.CONFLICT


class NotAdmittedError(CommandError):
    """The fleet's current state does not admit the change; it may later."""

    exit_code = ExitCode.NOT_ADMITTED


class NotFoundError(CommandError):
    """The resource does not exist."""

    exit_code = ExitCode.NOT_FOUND


class UnauthorizedError(CommandError):
    """The token was missing, unknown or not permitted."""

    exit_code = ExitCode.UNAUTHORIZED


class NotReachedError(CommandError):
    """No server accepted the request, so nothing was done."""

    exit_code = ExitCode.NOT_REACHED


class UnknownOutcomeError(CommandError):
    """The answer was lost, so the change may or may not have been made."""

    exit_code = ExitCode.UNKNOWN_OUTCOME


class NotInForceError(CommandError):
    """The change was accepted, but not every entry has adopted it yet."""

    exit_code = ExitCode.NOT_IN_FORCE


class RefusedError(CommandError):
    """A server refused with a status that this client does not know."""


class TooOldError(CommandError):
    """The servers no longer have the changes after a watch's revision."""
