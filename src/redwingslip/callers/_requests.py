"""What passes between the callers' interface and the part that runs requests."""

from datetime import timedelta
from typing import Protocol

import msgspec

__all__ = ["Answer", "RequestRunner", "Submission", "WaitingAnswer"]


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request, checked for form only.

    Attributes
    ----------
    request_id : str
        Made by the entry for each request; traces it through all processes.
    queue : str
        Name of the queue.
    key : str or None
        The secret that came with the request.
    idempotency_key : str or None
        The caller's own id of the request, scoped to its team.
    idempotent : bool or None
        What the caller says; None leaves it to the queue.
    timeout : timedelta or None
        How long the caller waits; None leaves it to the queue.
    expected_run : timedelta or None
        The run time that the caller declares.
    slots, accelerators, memory_mb : int
        The size that the caller declares.
    """

    request_id: str
    queue: str
    key: str | None
    body: bytes
    content_type: str
    idempotency_key: str | None = None
    idempotent: bool | None = None
    timeout: timedelta | None = None
    expected_run: timedelta | None = None
    slots: int = 1
    accelerators: int = 0
    memory_mb: int = 0


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer of an endpoint.

    Attributes
    ----------
    replayed : bool
        Whether it is the recorded answer of an earlier run.
    """

    status: int
    content_type: str
    body: bytes
    endpoint_id: str = ""
    replayed: bool = False


class WaitingAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Where an asynchronous request stands; `answer` is None until it is there."""

    request_id: str
    answer: Answer | None = None
    problem: Exception | None = None


class RequestRunner(Protocol):
    """Runs callers' requests; the entry daemon implements it."""

    def is_ready(self) -> bool:
        """Return whether new work is taken."""

    async def run(self, submission: Submission) -> Answer:
        """Run a request and return its whole answer.

        Raises
        ------
        RequestError
            One of the errors of this package, which says whether the work ran.
        """
