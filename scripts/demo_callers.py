"""Callers that the demo and the recovery measurement use."""

import asyncio
import hashlib
import os
import time
import zlib
from datetime import timedelta

import msgspec

from redwingslip.http import (
    ClientAnswer,
    ClientLimits,
    ClientPool,
    ClientRequest,
    HttpError,
    NotConnectedError,
)
from redwingslip.load import CallOutcome, OutcomeKind, new_request_key
from scripts.fleet_processes import is_ready

__all__ = ["REFUSED_KEY", "Balancer", "Caller", "CallerRequest", "new_photo"]

PROBE_INTERVAL_S = 0.25
ATTEMPT_TIMEOUT = timedelta(seconds=10)
RETRY_PAUSE_S = 0.2
REFUSED_KEY = "refused-key"


def new_photo(n_pixels: int = 24) -> bytes:
    """Return a small grey PNG of random pixels."""
    rows = b"".join(b"\0" + os.urandom(n_pixels) for _ in range(n_pixels))
    header = n_pixels.to_bytes(4) * 2 + bytes([8, 0, 0, 0, 0])
    chunks = [(b"IHDR", header), (b"IDAT", zlib.compress(rows)), (b"IEND", b"")]
    png = b"\x89PNG\r\n\x1a\n"
    for kind, data in chunks:
        png += len(data).to_bytes(4) + kind + data
        png += zlib.crc32(kind + data).to_bytes(4)
    return png


class CallerRequest:
    """One request of a caller, with the outcome over all its attempts.

    Attributes
    ----------
    outcome : str
        ``answered``, ``not-run``, ``unknown`` or ``refused-key``; empty until the
        request is sent.
    detail : str
        Text of the last error or refusal.
    took_s : float
        Seconds from the first attempt to the outcome.
    is_crossed : bool
        Whether the answer echoes another body than the request's.
    not_run_ids : list of str
        Request ids of the attempts that were answered as not run.
    """

    def __init__(self, *, queue: str, body: bytes, key: str, idempotent: bool) -> None:
        self.queue = queue
        self.body = body
        self.key = key
        self.idempotent = idempotent
        self.request_key = "" if idempotent else new_request_key()
        self.outcome = ""
        self.detail = ""
        self.took_s = 0.0
        self.is_crossed = False
        self.not_run_ids: list[str] = []

    def as_call_outcome(self, number: int) -> CallOutcome:
        """Return the outcome in the form that the check of outcomes takes."""
        kind = OutcomeKind.NOT_RUN
        if self.outcome != REFUSED_KEY:
            kind = OutcomeKind(self.outcome or OutcomeKind.LOST)
        return CallOutcome(
            number=number,
            queue=self.queue,
            team="",
            idempotent=self.idempotent,
            body_sha256=hashlib.sha256(self.body).hexdigest(),
            kind=kind,
            is_crossed=self.is_crossed,
        )


class Balancer:
    """Chooses the entries that report readiness, in turn."""

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._ready = list(addresses)
        self._n_picks = 0

    async def poll_readiness(self) -> None:
        """Poll the readiness of all entries until the task is cancelled."""
        while True:
            states = await asyncio.gather(
                *(asyncio.to_thread(is_ready, address) for address in self._addresses)
            )
            pairs = zip(self._addresses, states, strict=True)
            self._ready = [address for address, ready in pairs if ready]
            await asyncio.sleep(PROBE_INTERVAL_S)

    def next_address(self) -> str:
        """Return the address of the next ready entry, empty when none is ready."""
        if not self._ready:
            return ""
        self._n_picks += 1
        return self._ready[self._n_picks % len(self._ready)]


class Caller:
    """Sends requests, with retries until there is an outcome or the time is over."""

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer
        self._pool = ClientPool(ClientLimits())

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()

    async def send(
        self, request: CallerRequest, *, wait_s: float = 8.0
    ) -> CallerRequest:
        """Send a request, and retry it until it has an outcome or `wait_s` is over.

        An attempt that was answered as not run is retried. So is an attempt without
        an answer, whose retry carries the same idempotency key unless the request is
        idempotent.
        """
        started = time.monotonic()
        is_uncertain = False
        request.outcome = "not-run"
        while time.monotonic() - started < wait_s:
            remaining_s = wait_s - (time.monotonic() - started)
            answer = await self._attempt(request, remaining_s)
            if answer is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            if isinstance(answer, Exception):
                is_uncertain = True
                request.detail = str(answer)
                continue
            if self._handle_answer(request, answer):
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        if request.outcome == "not-run" and is_uncertain:
            request.outcome = "unknown"
        request.took_s = time.monotonic() - started
        return request

    async def _attempt(
        self, request: CallerRequest, remaining_s: float
    ) -> ClientAnswer | Exception | None:
        """Send the request once.

        Returns
        -------
        ClientAnswer or Exception or None
            None when no entry was ready or could be connected to; the exception when
            the connection failed afterwards and the outcome is unknown.
        """
        address = self._balancer.next_address()
        if not address:
            return None
        headers = {
            "Authorization": f"Bearer {request.key}",
            "Content-Type": "application/octet-stream",
            "Redwingslip-Idempotent": "true" if request.idempotent else "false",
            "Prefer": f"wait={max(remaining_s, 0.1):.3f}",
        }
        if request.request_key:
            headers["Idempotency-Key"] = request.request_key
        req = ClientRequest(
            address=address,
            method="POST",
            path=f"/v1/queues/{request.queue}/requests",
            headers=headers,
            body=request.body,
            timeout=timedelta(seconds=remaining_s) + ATTEMPT_TIMEOUT,
        )
        try:
            return await self._pool.exchange(req)
        except NotConnectedError:
            return None
        except HttpError as exc:
            return exc

    def _handle_answer(self, request: CallerRequest, answer: ClientAnswer) -> bool:
        """Record an answer's outcome; return whether it is final."""
        if answer.status == 200:
            request.outcome = "answered"
            run = msgspec.json.decode(answer.body)
            request.is_crossed = run["echo"] != request.body.decode(errors="replace")
            return True
        problem = msgspec.json.decode(answer.body)
        request.detail = f"{answer.status} {problem.get('detail', '')}"
        if problem.get("outcome") == "not-run":
            request.not_run_ids.append(problem.get("request_id", ""))
            if answer.status in (400, 401, 403, 404, 413):
                request.outcome = REFUSED_KEY if answer.status == 401 else "not-run"
                return True
            return False
        request.outcome = "unknown"
        return True
