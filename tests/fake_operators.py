"""A server of the operators' interface that injects faults into answers."""

import asyncio
import enum
import json
import threading
from collections import deque
from typing import Any

import msgspec

from redwingslip.fleet import (
    Accepted,
    Conflict,
    DeleteResource,
    FleetState,
    Invalid,
    Kind,
    PutResource,
    Resource,
)

TOKEN = "operator-token"
LATE_BY_S = 0.6


class Fault(enum.Enum):
    """A fault in the handling of one request.

    The values define whether the request is applied, and what the client receives.
    """

    LOSE = "applied, connection closed without an answer"
    CUT = "applied, answer truncated"
    NOT_RUN = "not applied, 503 with outcome not-run"
    UNCONFIRMED = "applied, 503 with outcome unknown"
    HANG = "applied, never answered"
    LATE = "applied, answered after the timeout of the client"


class FakeFleet:
    """The fleet state, which any number of servers can share.

    Attributes
    ----------
    commands : list
        Every command that was applied, in order.
    watch_lines : list of dict
        Lines that watches send, one per connection.
    n_watches : int
        How many watches were requested.
    """

    def __init__(self) -> None:
        self.state = FleetState()
        self.commands: list[Any] = []
        self.watch_lines: list[dict] = []
        self.n_watches = 0

    def apply(self, command):
        """Apply a command and return its outcome."""
        self.commands.append(command)
        return self.state.apply(len(self.commands), command)[0]

    def record(self, resource: Resource, kind: Kind) -> dict:
        """Return a resource in the form that is encoded as JSON."""
        spec = msgspec.to_builtins(resource.spec)
        del spec["type"]
        return {
            "kind": kind.value,
            "name": resource.name,
            "version": resource.version,
            "spec": spec,
            "status": {"state": "done"} if kind is Kind.WAVE else {},
            "in_force": True,
        }


class FakeServer:
    """A server that runs in a thread of its own.

    Parameters
    ----------
    fleet : FakeFleet
        The state; servers may share it.
    faults : list of Fault
        Faults of the first requests, in order; None for a request without a fault.
    """

    def __init__(self, fleet: FakeFleet, faults=()) -> None:
        self._fleet = fleet
        self.faults = deque(faults)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self.url = ""

    def __enter__(self):
        """Start the thread, and listen on a free port."""
        self._thread.start()
        listening = asyncio.run_coroutine_threadsafe(self._listen(), self._loop)
        self.url = f"http://127.0.0.1:{listening.result()}"
        return self

    def __exit__(self, *exc_info):
        """Stop the server, and close every connection."""
        asyncio.run_coroutine_threadsafe(self._stop(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _listen(self) -> int:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    async def _stop(self) -> None:
        self._server.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            method, path, _ = head[0].split(" ")
            headers = {}
            for line in head[1:-2]:
                key, _, value = line.partition(":")
                headers[key.lower()] = value.strip()
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            await self._answer(writer, method, path, headers, body)
        except (asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, writer, method, path, headers, body) -> None:
        if "?watch=" in path:
            await self._watch(writer)
            return
        fault = self.faults.popleft() if self.faults else None
        status, value = 503, {"title": "not ready", "outcome": "not-run"}
        if fault is not Fault.NOT_RUN:
            status, value = self._handle(method, path, headers, body)
        if fault is Fault.UNCONFIRMED:
            status, value = 503, {"title": "no leader", "outcome": "unknown"}
        data = _encode(status, value)
        if fault is Fault.HANG:
            await asyncio.sleep(3600)
        if fault is Fault.LATE:
            await asyncio.sleep(LATE_BY_S)
        if fault is Fault.LOSE:
            return
        writer.write(data[: len(data) - 5] if fault is Fault.CUT else data)
        await writer.drain()

    async def _watch(self, writer) -> None:
        """Send the next line of `watch_lines`, then close the connection.

        Responds with 410 when no line remains.
        """
        fleet = self._fleet
        fleet.n_watches += 1
        if not fleet.watch_lines:
            writer.write(_encode(410, {"title": "revision too old"}))
            return
        line = json.dumps(fleet.watch_lines.pop(0)).encode() + b"\n"
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))
        await writer.drain()

    def _handle(self, method, path, headers, body) -> tuple[int, dict]:
        if headers.get("authorization") != f"Bearer {TOKEN}":
            return 401, {"title": "token not accepted", "detail": "use another"}
        parts = path.removeprefix("/v1/").split("/")
        if parts == ["status"]:
            index = self._fleet.state.view.index
            return 200, {"entry_id": "entry-1", "in_force_index": index}
        kind = Kind(parts[0])
        resources = self._fleet.state.view.resources[kind]
        if len(parts) == 1:
            items = [self._fleet.record(res, kind) for res in resources.values()]
            return 200, {"revision": self._fleet.state.view.index, "items": items}
        if method == "GET":
            if parts[1] not in resources:
                return 404, {"title": "no such resource"}
            return 200, self._fleet.record(resources[parts[1]], kind)
        return self._write(kind, parts[1], method, headers, body)

    def _write(self, kind, name, method, headers, body) -> tuple[int, dict]:
        options = {
            "if_version": _if_version(headers),
            "operation_id": headers["idempotency-key"],
        }
        if method == "PUT":
            tagged = {"type": kind.value, **json.loads(body)["spec"]}
            resource = {"type": "Resource", "name": name, "spec": tagged, "version": 0}
            spec = msgspec.convert(resource, Resource).spec
            outcome = self._fleet.apply(PutResource(name=name, spec=spec, **options))
        else:
            outcome = self._fleet.apply(DeleteResource(kind=kind, name=name, **options))
        match outcome:
            case Accepted(version=version):
                record = {"kind": kind.value, "name": name, "version": version}
                return 200, record
            case Conflict(version=version):
                detail = f"the current version is {version}"
                return 412, {"title": "someone else wrote first", "detail": detail}
            case Invalid(field=field, reason=reason):
                return 422, {"title": "invalid", "field": field, "detail": reason}
        return 409, {"title": "not admitted now", "detail": outcome.reason}


def _if_version(headers: dict[str, str]) -> int | None:
    if headers.get("if-none-match") == "*":
        return 0
    if "if-match" in headers:
        return int(headers["if-match"].strip('"'))
    return None


def _encode(status: int, value: dict) -> bytes:
    body = json.dumps(value).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body
