"""The operators' resource interface, asked over several servers."""

import asyncio
import random
import ssl
import uuid
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Any

import msgspec

from ..clock import Clock, SystemClock
from ..fleet import Kind
from ._exchange import (
    AnswerLostError,
    ExchangeError,
    HttpAnswer,
    HttpRequest,
    NotSentError,
    RefusedStreamError,
    exchange,
    stream_lines,
)
from ._problems import error_of
from .exceptions import (
    NotInForceError,
    NotReachedError,
    RefusedError,
    UnknownOutcomeError,
)

__all__ = [
    "Call",
    "ClientSettings",
    "Document",
    "Listing",
    "OperatorClient",
    "WatchLine",
]

RETRY_PAUSE = timedelta(milliseconds=200)
MAX_RETRY_PAUSE = timedelta(seconds=2)
FIRST_SERVER_ERROR = 500

# The server sends a bookmark every 5 s; a watch that is silent for longer is dead.
WATCH_SILENCE = timedelta(seconds=12)


class ClientSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How to reach the servers.

    Attributes
    ----------
    servers : tuple of str
        Base URLs; the next is asked when one does not answer.
    token : str
        The operator's token.
    tls : ssl.SSLContext or None
        Trusted authorities for HTTPS; None for those of the machine.
    attempt_timeout : timedelta
        Longest wait for the answer of one server.
    timeout : timedelta
        Longest time for a command's one request over all servers.
    """

    servers: tuple[str, ...]
    token: str
    tls: ssl.SSLContext | None = None
    attempt_timeout: timedelta = timedelta(seconds=12)
    timeout: timedelta = timedelta(seconds=40)


class Document(msgspec.Struct, frozen=True, kw_only=True):
    """A resource as it is written and read.

    Attributes
    ----------
    version : int or None
        As read; in a write, the version that must be current.
    in_force : bool
        Whether every entry acts by this version.
    """

    kind: Kind
    name: str
    spec: dict[str, Any] = {}
    version: int | None = None
    status: dict[str, Any] = {}
    in_force: bool = False


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """All resources of a kind at a revision."""

    revision: int
    items: tuple[Document, ...] = ()


class _Deleted(msgspec.Struct, frozen=True, kw_only=True):
    """Names a resource that is gone."""

    kind: Kind
    name: str


class WatchLine(msgspec.Struct, frozen=True, kw_only=True):
    """A line of a watch: a changed resource, one that is gone, or a bookmark."""

    resource: Document | None = None
    deleted: _Deleted | None = None
    bookmark: int | None = None
    in_force: int = 0


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A request to whichever server answers."""

    method: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""


class OperatorClient:
    """Reads and writes resources.

    A write is sent again to the next server when its answer is lost, with the same
    operation id, so that it is done once.

    Parameters
    ----------
    cfg : ClientSettings
        The servers.
    clock : Clock
        Bounds the time of a request.
    """

    __slots__ = ("_cfg", "_clock", "_next")

    def __init__(self, cfg: ClientSettings, *, clock: Clock | None = None) -> None:
        self._cfg = cfg
        self._clock = clock or SystemClock()
        self._next = 0

    async def get(self, kind: Kind, name: str) -> Document:
        """Return a resource."""
        answer = await self.ask(Call(method="GET", path=f"/v1/{kind}/{name}"))
        return _decode(answer, Document)

    async def list(self, kind: Kind) -> Listing:
        """Return all resources of a kind."""
        answer = await self.ask(Call(method="GET", path=f"/v1/{kind}"))
        return _decode(answer, Listing)

    async def status(self) -> dict[str, Any]:
        """Return what a server knows of itself and of the leader."""
        answer = await self.ask(Call(method="GET", path="/v1/status"))
        return _decode(answer, dict[str, Any])

    async def replicas(self) -> dict[str, Any]:
        """Return how the replicas are, as the leader sees them."""
        answer = await self.ask(Call(method="GET", path="/v1/replicas"))
        return _decode(answer, dict[str, Any])

    async def put(
        self, document: Document, *, if_version: int | None, operation_id: str = ""
    ) -> Document:
        """Write a resource and return it.

        Parameters
        ----------
        document : Document
            Its kind, name and specification count.
        if_version : int or None
            The version that must be current; 0 for "does not exist", None for any.
        operation_id : str
            The same for a resend by hand; empty for a new operation.
        """
        body = msgspec.json.encode({"spec": document.spec})
        call = Call(
            method="PUT",
            path=f"/v1/{document.kind}/{document.name}",
            headers={
                **_condition(if_version),
                "Content-Type": "application/json",
                "Idempotency-Key": operation_id or new_operation_id(),
            },
            body=body,
        )
        answer = await self.ask(call)
        return _decode(answer, Document)

    async def delete(
        self,
        kind: Kind,
        name: str,
        *,
        if_version: int | None = None,
        operation_id: str = "",
    ) -> Document:
        """Delete a resource; the answer's version is the deletion's.

        Raises
        ------
        NotFoundError
            There is none. A resend by hand is not asked about first, since the
            earlier try may have deleted it.
        """
        if not operation_id:
            await self.get(kind, name)
        call = Call(
            method="DELETE",
            path=f"/v1/{kind}/{name}",
            headers={
                **_condition(if_version),
                "Idempotency-Key": operation_id or new_operation_id(),
            },
        )
        answer = await self.ask(call)
        return _decode(answer, Document)

    async def watch(self, kind: Kind, revision: int) -> AsyncIterator[WatchLine]:
        """Yield what changes after a revision, over lost connections.

        Raises
        ------
        TooOldError
            The servers can't continue from there: list again.
        """
        heard_at = self._clock.monotonic()
        while True:
            path = f"/v1/{kind}?watch={revision}"
            try:
                async for line in self._watch_once(path):
                    yield line
                    revision = max(revision, line.bookmark or 0)
                    heard_at = self._clock.monotonic()
            except RefusedStreamError as exc:
                if exc.answer.status < FIRST_SERVER_ERROR:
                    raise error_of(exc.answer) from exc
            except ExchangeError as exc:
                if self._clock.monotonic() - heard_at > self._cfg.timeout:
                    raise NotReachedError(f"the watch was lost: {exc}") from exc
            self._next += 1
            await asyncio.sleep(RETRY_PAUSE.total_seconds())

    async def _watch_once(self, path: str) -> AsyncIterator[WatchLine]:
        req = self._request(Call(method="GET", path=path), WATCH_SILENCE)
        async for line in stream_lines(req):
            try:
                yield msgspec.json.decode(line, type=WatchLine)
            except msgspec.DecodeError as exc:
                raise AnswerLostError(f"{req.url}: {exc}") from exc

    async def wait_in_force(self, version: int, timeout: timedelta) -> None:
        """Wait until every entry acts by a version.

        Raises
        ------
        NotInForceError
            Some entry did not in time.
        """
        end = self._clock.monotonic() + timeout
        while True:
            status = await self.status()
            if status.get("in_force_index", 0) >= version:
                return
            if self._clock.monotonic() >= end:
                raise NotInForceError(
                    f"change {version} is accepted and not yet in force everywhere: "
                    "see 'redwingslip status'"
                )
            await asyncio.sleep(RETRY_PAUSE.total_seconds())

    async def ask(self, call: Call) -> HttpAnswer:
        """Ask one server after the other until one answers, and return its answer.

        Raises
        ------
        CommandError
            The server refused.
        NotReachedError
            No server was reached; nothing was done.
        UnknownOutcomeError
            Every answer was lost of a call that has an idempotency key.
        """
        end = self._clock.monotonic() + self._cfg.timeout
        is_sent = False
        reasons: dict[str, str] = {}
        while True:
            server = self._server()
            pause = RETRY_PAUSE * random.uniform(0.5, 1.5)
            try:
                left = max(end - self._clock.monotonic(), RETRY_PAUSE)
                timeout = min(self._cfg.attempt_timeout, left)
                answer = await exchange(self._request(call, timeout))
                _check_whole(server, answer)
            except NotSentError as exc:
                reasons[server] = str(exc)
            except AnswerLostError as exc:
                is_sent = True
                reasons[server] = str(exc)
            else:
                if answer.status < FIRST_SERVER_ERROR:
                    _raise_for_status(answer)
                    return answer
                is_sent = is_sent or not _says_not_run(answer)
                reasons[server] = f"{server}: {error_of(answer)}"
                pause = max(pause, _retry_after(answer))
            self._next += 1
            if self._clock.monotonic() + pause >= end:
                raise self._failure(call, reasons, is_sent)
            await asyncio.sleep(pause.total_seconds())

    def _failure(
        self, call: Call, reasons: dict[str, str], is_sent: bool
    ) -> NotReachedError | UnknownOutcomeError:
        words = "; ".join(reasons.values())
        operation_id = call.headers.get("Idempotency-Key")
        if not is_sent or operation_id is None:
            return NotReachedError(
                f"no server answered ({words}); nothing was done: check --server and "
                "that the entries run"
            )
        return UnknownOutcomeError(
            f"every answer was lost ({words}); it may have been done: repeat the "
            f"command with --operation-id {operation_id} if it takes one, which does "
            "it once; else look with 'redwingslip get' first"
        )

    def _server(self) -> str:
        return self._cfg.servers[self._next % len(self._cfg.servers)]

    def _request(self, call: Call, timeout: timedelta) -> HttpRequest:
        headers = {**call.headers, "Authorization": f"Bearer {self._cfg.token}"}
        return HttpRequest(
            method=call.method,
            url=self._server() + call.path,
            headers=headers,
            body=call.body,
            timeout=timeout,
            tls=self._cfg.tls,
        )


def _decode(answer: HttpAnswer, type_: Any) -> Any:
    try:
        return msgspec.json.decode(answer.body, type=type_)
    except msgspec.DecodeError as exc:
        raise RefusedError(f"the server's answer is not understood: {exc}") from exc


def new_operation_id() -> str:
    """Return the id of a new write."""
    return uuid.uuid4().hex


def _condition(if_version: int | None) -> dict[str, str]:
    if if_version is None:
        return {}
    if if_version == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{if_version}"'}


def _check_whole(server: str, answer: HttpAnswer) -> None:
    """Raise when an accepting answer is no JSON, which no whole answer is."""
    if answer.status >= 300:
        return
    try:
        msgspec.json.decode(answer.body)
    except msgspec.DecodeError as exc:
        raise AnswerLostError(f"{server}: {exc}") from exc


def _raise_for_status(answer: HttpAnswer) -> None:
    if answer.status >= 300:
        raise error_of(answer)


def _says_not_run(answer: HttpAnswer) -> bool:
    try:
        problem = msgspec.json.decode(answer.body)
    except msgspec.DecodeError:
        return False
    return isinstance(problem, dict) and problem.get("outcome") == "not-run"


def _retry_after(answer: HttpAnswer) -> timedelta:
    text = answer.headers.get("retry-after", "")
    if not text.isdecimal():
        return timedelta(0)
    return min(timedelta(seconds=int(text[:4])), MAX_RETRY_PAUSE)
