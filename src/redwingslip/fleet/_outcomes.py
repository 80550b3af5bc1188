"""What becomes of a command when it is applied."""

import msgspec

__all__ = ["Accepted", "ClaimTaken", "Conflict", "Invalid", "NotAdmitted", "Outcome"]


class Accepted(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """The command is done; `version` is the log index that did it."""

    version: int


class Conflict(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Someone else wrote first; `version` is the current one, 0 for absent."""

    version: int


class Invalid(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """The command can't be done; `field` and `reason` say why."""

    field: str
    reason: str


class NotAdmitted(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """The state does not admit the command now; it may later."""

    reason: str


class ClaimTaken(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """The request id is claimed already.

    Attributes
    ----------
    settled : bool
        Whether the first run has its outcome.
    run : bool
        Whether the work may have run.
    status : int
        HTTP status of the recorded answer, 0 when the outcome is unknown.
    content_type : str
        Media type of the recorded answer.
    body : bytes
        The recorded answer.
    """

    settled: bool
    run: bool = True
    status: int = 0
    content_type: str = ""
    body: bytes = b""


Outcome = Accepted | Conflict | Invalid | NotAdmitted | ClaimTaken
