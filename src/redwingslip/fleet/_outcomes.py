"""The possible outcomes of applying a command."""

import msgspec

__all__ = ["Accepted", "ClaimTaken", "Conflict", "Invalid", "NotAdmitted", "Outcome"]


class Accepted(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """The command was applied; `version` is its log index."""

    version: int


class Conflict(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """The expected version is outdated.

    `version` is the current version, or 0 when the object does not exist.
    """

    version: int


class Invalid(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """The command is invalid; `field` names the bad field and `reason` the cause."""

    field: str
    reason: str


class NotAdmitted(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """The current state rules the command out; a later attempt may succeed."""

    reason: str


class ClaimTaken(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """The request id is already claimed.

    Attributes
    ----------
    settled : bool
        Whether the outcome of the first run is recorded.
    run : bool
        Whether the work may have run.
    status : int
        HTTP status of the recorded answer, 0 when the outcome is unknown.
    content_type : str
        Media type of the recorded answer.
    body : bytes
        Body of the recorded answer.
    """

    settled: bool
    run: bool = True
    status: int = 0
    content_type: str = ""
    body: bytes = b""


Outcome = Accepted | Conflict | Invalid | NotAdmitted | ClaimTaken
