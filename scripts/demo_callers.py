"""Callers of the demo."""

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
    """One thing that a caller wants done, over all its attempts.

    Attributes
    ----------
    outcome : str
        ``answered``, ``not-run``, ``unknown``, ``refused-key`` or empty while open.
    not_run_ids : list of str
        Request ids of the attempts that were refused as not run.
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
        """Return the ask as the judge takes it."""
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
    """Gives the entries in turn that say they are ready."""

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._ready = list(addresses)
        self._n_picks = 0

    async def poll_readiness(self) -> None:
        """Ask the entries again and again."""
        while True:
            states = await asyncio.gather(
                *(asyncio.to_thread(is_ready, address) for address in self._addresses)
            )
            pairs = zip(self._addresses, states, strict=True)
            self._ready = [address for address, ready in pairs if ready]
            await asyncio.sleep(PROBE_INTERVAL_S)

    def next_address(self) -> str:
        """Return the next entry's address, empty when none is ready."""
        if not self._ready:
            return ""
        self._n_picks += 1
        return self._ready[self._n_picks % len(self._ready)]


class Caller:
    """Asks until there is an outcome or the time is over."""

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer
        self._pool = ClientPool(ClientLimits())

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()

    async def send(
        self, request: CallerRequest, *, wait_s: float = 8.0
    ) -> CallerRequest:
        """Ask, and again where that is safe, until `wait_s` is over."""
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
        """Send once; None when nothing was sent, an error when no answer came."""
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
        """Take an answer; return whether it is the last word."""
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
