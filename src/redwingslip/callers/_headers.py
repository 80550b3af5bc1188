"""Parsing of the headers of callers' requests."""

import math
import re
from datetime import timedelta

from starlette.requests import Request

from ..decoding import is_whole
from ._keys import bearer_token
from ._requests import Submission
from .exceptions import BadRequestError

__all__ = ["HeaderError", "parse_submission"]

IDEMPOTENCY_KEY = "Idempotency-Key"
IDEMPOTENT = "Redwingslip-Idempotent"
EXPECTED_RUN = "Redwingslip-Expected-Run"
SLOTS = "Redwingslip-Slots"
ACCELERATORS = "Redwingslip-Accelerators"
MEMORY_MB = "Redwingslip-Memory-MB"
PREFER = "Prefer"

DEFAULT_CONTENT_TYPE = "application/octet-stream"
MAX_WAIT_S = 86_400.0
MAX_RUN_S = 30 * 86_400.0
MAX_COUNT = 1_000_000
MAX_ID_LENGTH = 255

_ID_PATTERN = re.compile(r"[\x21-\x7e]+")


class HeaderError(BadRequestError):
    """A header is malformed; `field` is the name of the header."""

    def __init__(self, field: str, detail: str) -> None:
        super().__init__(f"{field}: {detail}")
        self.field = field


def parse_submission(
    req: Request, request_id: str, body: bytes
) -> tuple[Submission, bool]:
    """Return a submission, and whether its caller wants it run asynchronously.

    Raises
    ------
    HeaderError
        A header is malformed.
    """
    timeout, is_async = _preferences(req)
    submission = Submission(
        request_id=request_id,
        queue=req.path_params["queue"],
        key=bearer_token(req.headers.get("authorization")),
        body=body,
        content_type=req.headers.get("content-type", DEFAULT_CONTENT_TYPE),
        idempotency_key=_idempotency_key(req),
        idempotent=_boolean(req, IDEMPOTENT),
        timeout=timeout,
        expected_run=_duration(req, EXPECTED_RUN),
        slots=_count(req, SLOTS, 1, 1),
        accelerators=_count(req, ACCELERATORS, 0, 0),
        memory_mb=_count(req, MEMORY_MB, 0, 0),
    )
    return submission, is_async


def _preferences(req: Request) -> tuple[timedelta | None, bool]:
    """Return the ``wait`` and ``respond-async`` preferences, RFC 7240."""
    timeout = None
    is_async = False
    for line in req.headers.getlist(PREFER):
        for preference in line.split(","):
            name, _, value = preference.partition(";")[0].strip().partition("=")
            if name.strip().lower() == "respond-async":
                is_async = True
            if name.strip().lower() == "wait":
                timeout = _seconds(PREFER, value.strip().strip('"'), MAX_WAIT_S)
    return timeout, is_async


def _seconds(field: str, value: str, max_seconds: float) -> timedelta:
    try:
        seconds = float(value)
    except ValueError:
        raise HeaderError(field, f"{value!r} is not a number of seconds") from None
    if not math.isfinite(seconds) or not 0 < seconds <= max_seconds:
        raise HeaderError(
            field, f"must be above 0 and at most {max_seconds:.0f} seconds"
        )
    return timedelta(seconds=seconds)


def _duration(req: Request, field: str) -> timedelta | None:
    value = req.headers.get(field)
    return None if value is None else _seconds(field, value, MAX_RUN_S)


def _idempotency_key(req: Request) -> str | None:
    value = req.headers.get(IDEMPOTENCY_KEY)
    if value is None:
        return None
    value = value.strip('"')
    if len(value) > MAX_ID_LENGTH or not _ID_PATTERN.fullmatch(value):
        detail = f"must be 1 to {MAX_ID_LENGTH} visible ASCII characters"
        raise HeaderError(IDEMPOTENCY_KEY, detail)
    return value


def _boolean(req: Request, field: str) -> bool | None:
    value = req.headers.get(field)
    if value is None:
        return None
    if value.lower() not in ("true", "false"):
        raise HeaderError(field, "must be 'true' or 'false'")
    return value.lower() == "true"


def _count(req: Request, field: str, default: int, min_value: int) -> int:
    value = req.headers.get(field)
    if value is None:
        return default
    if not is_whole(value) or not min_value <= int(value) <= MAX_COUNT:
        raise HeaderError(
            field, f"must be a whole number from {min_value} to {MAX_COUNT}"
        )
    return int(value)
