"""Client of the operators' resource interface, with failover between servers."""

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
from ._problems import error_from_answer
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

RETRY_DELAY = timedelta(milliseconds=200)
MAX_RETRY_AFTER = timedelta(seconds=2)
FIRST_SERVER_ERROR_STATUS = 500

# The server sends a bookmark every 5 s; a watch without data for this long is broken.
WATCH_TIMEOUT = timedelta(seconds=12)


class ClientSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How to reach the servers and how long to try.

    Attributes
    ----------
    servers : tuple of str
        Base URLs; if one does not answer, the next is tried.
    token : str
        The operator's token.
    tls : ssl.SSLContext or None
        Trusted authorities for HTTPS; None for those that the operating system trusts.
    attempt_timeout : timedelta
        Longest wait for the answer of one server to one attempt.
    timeout : timedelta
        Longest time for one request, including all attempts at all servers.
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
        The version that was read; in a write, the version that must be current.
    in_force : bool
        Whether every entry has adopted this version.
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
    """Names a resource that was deleted."""

    kind: Kind
    name: str


class WatchLine(msgspec.Struct, frozen=True, kw_only=True):
    """A line of a watch: a changed resource, a deletion or a bookmark.

    A bookmark is the revision up to which all changes were sent. Its line also has the
    version up to which every change is in force; `in_force` is 0 in other lines.
    """

    resource: Document | None = None
    deleted: _Deleted | None = None
    bookmark: int | None = None
    in_force: int = 0


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A request that any of the servers may answer."""

    method: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""


class OperatorClient:
    """Reads and writes resources.

    If the answer to a write is lost, the write is sent to the next server with the same
    operation id, so that it is applied only once.

    Parameters
    ----------
    cfg : ClientSettings
        The servers and the time limits.
    clock : Clock or None
        Measures the time limits; None for the system clock.
    """

    __slots__ = ("_cfg", "_clock", "_server_index")

    def __init__(self, cfg: ClientSettings, *, clock: Clock | None = None) -> None:
        self._cfg = cfg
        self._clock = clock or SystemClock()
        self._server_index = 0

    async def get(self, kind: Kind, name: str) -> Document:
        """Return a resource."""
        answer = await self.request(Call(method="GET", path=f"/v1/{kind}/{name}"))
        return _decode(answer, Document)

    async def list(self, kind: Kind) -> Listing:
        """Return all resources of a kind."""
        answer = await self.request(Call(method="GET", path=f"/v1/{kind}"))
        return _decode(answer, Listing)

    async def status(self) -> dict[str, Any]:
        """Return a server's status, with its view of the leader."""
        answer = await self.request(Call(method="GET", path="/v1/status"))
        return _decode(answer, dict[str, Any])

    async def replicas(self) -> dict[str, Any]:
        """Return the state of the replicas as the leader sees it."""
        answer = await self.request(Call(method="GET", path="/v1/replicas"))
        return _decode(answer, dict[str, Any])

    async def put(
        self, document: Document, *, if_version: int | None, operation_id: str = ""
    ) -> Document:
        """Write a resource and return the written document.

        Parameters
        ----------
        document : Document
            The resource; only its kind, name and specification are sent.
        if_version : int or None
            The version that must be current; 0 for "does not exist", None for any.
        operation_id : str
            Id of the earlier attempt if this is a repetition; empty for a new write.
        """
        body = msgspec.json.encode({"spec": document.spec})
        call = Call(
            method="PUT",
            path=f"/v1/{document.kind}/{document.name}",
            headers={
                **_precondition_headers(if_version),
                "Content-Type": "application/json",
                "Idempotency-Key": operation_id or new_operation_id(),
            },
            body=body,
        )
        answer = await self.request(call)
        return _decode(answer, Document)

    async def delete(
        self,
        kind: Kind,
        name: str,
        *,
        if_version: int | None = None,
        operation_id: str = "",
    ) -> Document:
        """Delete a resource; the returned document has the version of the deletion.

        Raises
        ------
        NotFoundError
            The resource does not exist. This is not checked when an operation id is
            given, because the earlier attempt may have deleted the resource.
        """
        if not operation_id:
            await self.get(kind, name)
        call = Call(
            method="DELETE",
            path=f"/v1/{kind}/{name}",
            headers={
                **_precondition_headers(if_version),
                "Idempotency-Key": operation_id or new_operation_id(),
            },
        )
        answer = await self.request(call)
        return _decode(answer, Document)

    async def watch(self, kind: Kind, revision: int) -> AsyncIterator[WatchLine]:
        """Yield the changes after a revision, reconnecting when a connection is lost.

        A status of 500 or above is retried without a time limit.

        Raises
        ------
        NotReachedError
            No connection delivered a line within the timeout.
        TooOldError
            The servers no longer have the changes after the revision: list again.
        """
        last_contact = self._clock.monotonic()
        while True:
            path = f"/v1/{kind}?watch={revision}"
            try:
                async for line in self._watch_once(path):
                    yield line
                    revision = max(revision, line.bookmark or 0)
                    last_contact = self._clock.monotonic()
            except RefusedStreamError as exc:
                if exc.answer.status < FIRST_SERVER_ERROR_STATUS:
                    raise error_from_answer(exc.answer) from exc
            except ExchangeError as exc:
                if self._clock.monotonic() - last_contact > self._cfg.timeout:
                    raise NotReachedError(f"the watch was lost: {exc}") from exc
            self._server_index += 1
            await asyncio.sleep(RETRY_DELAY.total_seconds())

    async def _watch_once(self, path: str) -> AsyncIterator[WatchLine]:
        req = self._build_request(Call(method="GET", path=path), WATCH_TIMEOUT)
        async for line in stream_lines(req):
            try:
                yield msgspec.json.decode(line, type=WatchLine)
            except msgspec.DecodeError as exc:
                raise AnswerLostError(f"{req.url}: {exc}") from exc

    async def wait_in_force(self, version: int, timeout: timedelta) -> None:
        """Wait until every entry has adopted a version, or raise `NotInForceError`."""
        deadline = self._clock.monotonic() + timeout
        while True:
            status = await self.status()
            if status.get("in_force_index", 0) >= version:
                return
            if self._clock.monotonic() >= deadline:
                raise NotInForceError(
                    f"change {version} is accepted and not yet in force everywhere: "
                    "see 'redwingslip status'"
                )
            await asyncio.sleep(RETRY_DELAY.total_seconds())

    async def request(self, call: Call) -> HttpAnswer:
        """Send a call to one server after the other until one answers.

        A server that answers with a status of 500 or above is retried like one that
        does not answer.

        Raises
        ------
        CommandError
            The server refused the call.
        NotReachedError
            No server gave a usable answer, and nothing was done: no server ran the
            call, or it has no idempotency key because it only reads.
        UnknownOutcomeError
            A server may have run the call, which has an idempotency key.
        """
        deadline = self._clock.monotonic() + self._cfg.timeout
        may_have_run = False
        reasons: dict[str, str] = {}
        while True:
            server = self._current_server()
            delay = RETRY_DELAY * random.uniform(0.5, 1.5)
            try:
                remaining = max(deadline - self._clock.monotonic(), RETRY_DELAY)
                timeout = min(self._cfg.attempt_timeout, remaining)
                answer = await exchange(self._build_request(call, timeout))
                _check_complete(server, answer)
            except NotSentError as exc:
                reasons[server] = str(exc)
            except AnswerLostError as exc:
                may_have_run = True
                reasons[server] = str(exc)
            else:
                if answer.status < FIRST_SERVER_ERROR_STATUS:
                    _raise_for_status(answer)
                    return answer
                may_have_run = may_have_run or not _reports_not_run(answer)
                reasons[server] = f"{server}: {error_from_answer(answer)}"
                delay = max(delay, _retry_after(answer))
            self._server_index += 1
            if self._clock.monotonic() + delay >= deadline:
                raise self._build_error(call, reasons, may_have_run)
            await asyncio.sleep(delay.total_seconds())

    def _build_error(
        self, call: Call, reasons: dict[str, str], may_have_run: bool
    ) -> NotReachedError | UnknownOutcomeError:
        details = "; ".join(reasons.values())
        operation_id = call.headers.get("Idempotency-Key")
        if not may_have_run or operation_id is None:
            return NotReachedError(
                f"no server answered ({details}); nothing was done: check --server and "
                "that the entries run"
            )
        return UnknownOutcomeError(
            f"every answer was lost ({details}); the change may have been made: repeat "
            f"the command with --operation-id {operation_id} if it has that option, "
            "which makes the change only once; else check with 'redwingslip get' first"
        )

    def _current_server(self) -> str:
        return self._cfg.servers[self._server_index % len(self._cfg.servers)]

    def _build_request(self, call: Call, timeout: timedelta) -> HttpRequest:
        headers = {**call.headers, "Authorization": f"Bearer {self._cfg.token}"}
        return HttpRequest(
            method=call.method,
            url=self._current_server() + call.path,
            headers=headers,
            body=call.body,
            timeout=timeout,
            tls=self._cfg.tls,
        )


def _decode(answer: HttpAnswer, type_: Any) -> Any:
    try:
        return msgspec.json.decode(answer.body, type=type_)
    except msgspec.DecodeError as exc:
        raise RefusedError(f"the server's answer can't be decoded: {exc}") from exc


def new_operation_id() -> str:
    """Return a random id for a new write."""
    return uuid.uuid4().hex


def _precondition_headers(if_version: int | None) -> dict[str, str]:
    if if_version is None:
        return {}
    if if_version == 0:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{if_version}"'}


def _check_complete(server: str, answer: HttpAnswer) -> None:
    """Raise if a successful answer is not valid JSON, since it was then cut off."""
    if answer.status >= 300:
        return
    try:
        msgspec.json.decode(answer.body)
    except msgspec.DecodeError as exc:
        raise AnswerLostError(f"{server}: {exc}") from exc


def _raise_for_status(answer: HttpAnswer) -> None:
    if answer.status >= 300:
        raise error_from_answer(answer)


def _reports_not_run(answer: HttpAnswer) -> bool:
    try:
        problem = msgspec.json.decode(answer.body)
    except msgspec.DecodeError:
        return False
    return isinstance(problem, dict) and problem.get("outcome") == "not-run"


def _retry_after(answer: HttpAnswer) -> timedelta:
    text = answer.headers.get("retry-after", "")
    if not text.isdecimal():
        return timedelta(0)
    return min(timedelta(seconds=int(text[:4])), MAX_RETRY_AFTER)
