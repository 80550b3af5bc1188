"""What a stand-in endpoint is asked to do."""

import enum

import msgspec

__all__ = ["Mode", "Work", "parse_work"]


class Mode(enum.StrEnum):
    """How a run or its answer goes wrong."""

    OK = "ok"
    FAIL = "fail"
    LOSE = "lose"
    CUT = "cut"
    LATE = "late"
    SILENT = "silent"


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """A request body that says what to do.

    Attributes
    ----------
    sleep_s : float
        How long the run takes, in seconds.
    mode : Mode or None
        How it goes wrong; None leaves it to the endpoint's own mode.
    late_s : float
        How long after the run a late answer comes, in seconds.
    """

    sleep_s: float = 0.0
    mode: Mode | None = None
    late_s: float = 1.0


def parse_work(body: bytes) -> Work:
    """Return the work in a body; any other body is work that takes no time."""
    try:
        return msgspec.json.decode(body, type=Work)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Work()
