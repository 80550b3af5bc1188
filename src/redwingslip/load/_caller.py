"""Sends the requests of a load to the entries."""

import hashlib
import json
import os
import time
import uuid
from datetime import timedelta

import msgspec

from ..clock import Clock
from ..http import (
    NOT_RUN,
    ClientAnswer,
    ClientLimits,
    ClientPool,
    ClientRequest,
    HttpError,
    NotConnectedError,
    Problem,
)
from ._outcomes import CallOutcome, OutcomeKind
from ._schedule import Arrival

__all__ = ["Caller", "new_request_key"]

ANSWER_GRACE = timedelta(seconds=5)
REQUEST_ID_HEADER = "redwingslip-request"


class _Echo(msgspec.Struct):
    """The part of an answer that repeats the request's body."""

    echo: str | None = None


class Caller:
    """Sends each request once, to the entries in rotation.

    A connection serves one request at a time. It is closed after any timeout,
    cancellation or error, so that no answer reaches another request.

    Parameters
    ----------
    addresses : list of str
        Host and port of each entry.
    deadline : timedelta
        Time within which an answer is timely. The entry receives it as the wait of
        the request; the caller itself waits `ANSWER_GRACE` longer.
    clock : Clock
        Measures the time to each answer.
    """

    __slots__ = ("_addresses", "_clock", "_deadline", "_n_calls", "_pool")

    def __init__(self, addresses: list[str], deadline: timedelta, clock: Clock) -> None:
        self._addresses = addresses
        self._deadline = deadline
        self._clock = clock
        self._n_calls = 0
        self._pool = ClientPool(ClientLimits())

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()

    async def call(self, arrival: Arrival, key: str, seed: int) -> CallOutcome:
        """Send a request and return its outcome."""
        body = request_body(arrival, seed)
        began_at = self._clock.monotonic()
        address = self._addresses[self._n_calls % len(self._addresses)]
        self._n_calls += 1
        req = ClientRequest(
            address=address,
            method="POST",
            path=f"/v1/queues/{arrival.queue}/requests",
            headers=self._headers(arrival, key),
            body=body,
            timeout=self._deadline + ANSWER_GRACE,
        )
        try:
            answer = await self._pool.exchange(req)
        except NotConnectedError:
            outcome = initial_outcome(arrival, seed, OutcomeKind.NOT_RUN)
            outcome = msgspec.structs.replace(outcome, title="not connected")
        except HttpError:
            outcome = initial_outcome(arrival, seed, OutcomeKind.UNKNOWN)
            outcome = msgspec.structs.replace(outcome, title="answer lost")
        else:
            outcome = _read_answer(initial_outcome(arrival, seed), answer, body)
        took = self._clock.monotonic() - began_at
        is_answered = outcome.kind is OutcomeKind.ANSWERED
        is_timely = is_answered and took <= self._deadline
        return msgspec.structs.replace(outcome, took=took, is_timely=is_timely)

    def _headers(self, arrival: Arrival, key: str) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
            "Prefer": f"wait={self._deadline.total_seconds():.3f}",
            "Redwingslip-Idempotent": "true" if arrival.idempotent else "false",
            "Redwingslip-Expected-Run": f"{arrival.expected_run.total_seconds():.3f}",
        }
        if not arrival.idempotent:
            headers["Idempotency-Key"] = new_request_key()
        return headers


def initial_outcome(
    arrival: Arrival, seed: int, kind: OutcomeKind = OutcomeKind.LOST
) -> CallOutcome:
    """Return the outcome of a request before anything is known of its answer."""
    return CallOutcome(
        number=arrival.number,
        queue=arrival.queue,
        team=arrival.team,
        idempotent=arrival.idempotent,
        body_sha256=hashlib.sha256(request_body(arrival, seed)).hexdigest(),
        kind=kind,
        began_at=arrival.at,
    )


def request_body(arrival: Arrival, seed: int) -> bytes:
    """Return the unique body of a request; it gives a stand-in the run time."""
    run_s = round(arrival.run_time.total_seconds(), 4)
    work = {"load": seed, "number": arrival.number, "sleep_s": run_s}
    return json.dumps(work).encode()


def new_request_key() -> str:
    """Return a version 7 UUID, which begins with the time of its creation."""
    milliseconds = time.time_ns() // 1_000_000
    value = (milliseconds << 80) | int.from_bytes(os.urandom(10))
    value = (value & ~(0xF << 76)) | (0x7 << 76)
    value = (value & ~(0x3 << 62)) | (0x2 << 62)
    return str(uuid.UUID(int=value))


def _read_answer(
    outcome: CallOutcome, answer: ClientAnswer, body: bytes
) -> CallOutcome:
    """Return the outcome completed by the entry's answer."""
    request_id = answer.headers.get(REQUEST_ID_HEADER, "")
    if answer.status < 400:
        return msgspec.structs.replace(
            outcome,
            kind=OutcomeKind.ANSWERED,
            status=answer.status,
            request_id=request_id,
            is_crossed=_is_crossed(answer.body, body),
        )
    problem = _read_problem(answer)
    is_not_run = problem.outcome == NOT_RUN
    return msgspec.structs.replace(
        outcome,
        kind=OutcomeKind.NOT_RUN if is_not_run else OutcomeKind.UNKNOWN,
        status=answer.status,
        request_id=request_id or problem.request_id,
        title=problem.title,
    )


def _is_crossed(answer: bytes, body: bytes) -> bool:
    """Return whether an answer repeats the body of another request."""
    try:
        echo = msgspec.json.decode(answer, type=_Echo).echo
    except (msgspec.DecodeError, UnicodeDecodeError):
        return False
    return echo is not None and echo != body.decode()


def _read_problem(answer: ClientAnswer) -> Problem:
    """Return the problem document of an answer, or a substitute for any other body."""
    try:
        return msgspec.json.decode(answer.body, type=Problem)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return Problem(status=answer.status, title="no problem document")
