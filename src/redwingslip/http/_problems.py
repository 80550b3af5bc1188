"""Problem documents, RFC 9457."""

import math
from collections.abc import Mapping
from datetime import timedelta

import msgspec
from starlette.responses import Response

__all__ = [
    "NOT_RUN",
    "PROBLEM_TYPE",
    "UNKNOWN",
    "Problem",
    "problem_response",
    "unauthorized_response",
]

PROBLEM_TYPE = "application/problem+json"

NOT_RUN = "not-run"
UNKNOWN = "unknown"


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A problem document: what went wrong, and what the client can do.

    Attributes
    ----------
    field : str
        The part of the request that is invalid.
    outcome : str
        ``not-run`` if it is certain that the work did not run, else ``unknown``;
        empty if the request is not for work.
    version : int or None
        The current version or revision, if the problem is that the request names
        another.
    """

    status: int
    title: str
    detail: str = ""
    field: str = ""
    outcome: str = ""
    version: int | None = None
    request_id: str = ""


def problem_response(
    problem: Problem,
    *,
    retry_after: timedelta | None = None,
    headers: Mapping[str, str] | None = None,
) -> Response:
    """Return a response with a problem document as its body."""
    all_headers = dict(headers or {})
    if retry_after is not None:
        seconds = max(1, math.ceil(retry_after.total_seconds()))
        all_headers["Retry-After"] = str(seconds)
    return Response(
        msgspec.json.encode(problem),
        status_code=problem.status,
        headers=all_headers,
        media_type=PROBLEM_TYPE,
    )


def unauthorized_response(whose: str) -> Response:
    """Return the answer to a request without an accepted bearer token.

    Parameters
    ----------
    whose : str
        Whose token the request needs, such as ``an operator's``.
    """
    problem = Problem(
        status=401,
        title="token not accepted",
        detail=f"send {whose} token as 'Authorization: Bearer TOKEN'",
        field="Authorization",
    )
    return problem_response(problem, headers={"WWW-Authenticate": "Bearer"})
