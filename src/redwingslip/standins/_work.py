"""The work that a request's body describes to a stand-in endpoint."""

import enum

import msgspec

__all__ = ["Mode", "Work", "parse_work"]


class Mode(enum.StrEnum):
    """Fault of a run or of its answer.

    ``fail`` ends the run as failed. ``lose`` closes the connection before the body of
    the answer and ``cut`` in the middle of it. ``late`` delays the answer, and
    ``silent`` never sends one.
    """

    OK = "ok"
    FAIL = "fail"
    LOSE = "lose"
    CUT = "cut"
    LATE = "late"
    SILENT = "silent"


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """A request body that describes a run.

    Attributes
    ----------
    sleep_s : float
        Run time in seconds.
    mode : Mode or None
        Fault of the run or its answer; None for the endpoint's own mode.
    late_s : float
        Delay of a late answer after the end of the run, in seconds.
    """

    sleep_s: float = 0.0
    mode: Mode | None = None
    late_s: float = 1.0


def parse_work(body: bytes) -> Work:
    """Return the work that a body describes; any other body takes no time to run."""
    try:
        return msgspec.json.decode(body, type=Work)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Work()
