"""A stand-in endpoint that announces itself, checks permits and records its runs."""

import asyncio
import hashlib
import uuid
from datetime import timedelta

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..clock import Clock
from ..endpoints import PERMIT, CallHeaders, parse_call_headers
from ..http import (
    NOT_RUN,
    HttpLimits,
    HttpServer,
    Problem,
    build_app,
    problem_response,
    read_body,
)
from ._announcer import Announcer, AnnouncerSettings
from ._record import RunRecord, RunRecorder
from ._responses import CutResponse, SilentResponse
from ._work import Mode, Work, parse_work

__all__ = ["EndpointSettings", "EndpointStandin"]


class EndpointSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one stand-in endpoint.

    Attributes
    ----------
    vm : str
        The VM that the endpoint runs on.
    slots : int
        Number of calls that run at the same time.
    host : str
        IP address to listen on.
    port : int
        0 for any free port, which is kept over restarts.
    mode : Mode
        Fault of runs whose body names none.
    announcer : AnnouncerSettings
        Settings of the announcements.
    limits : HttpLimits
        Limits of the server. The drain time should be longer than the start window of
        permits.
    grace : timedelta
        Time that runs have to finish after the drain time.
    """

    endpoint_id: str
    service: str
    vm: str
    slots: int = 8
    host: str = "127.0.0.1"
    port: int = 0
    mode: Mode = Mode.OK
    announcer: AnnouncerSettings = AnnouncerSettings()
    limits: HttpLimits = HttpLimits(drain_time=timedelta(seconds=3))
    grace: timedelta = timedelta(seconds=60)


class _RefusedError(Exception):
    """The endpoint refuses to run a call."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


class EndpointStandin:
    """Runs calls with a valid permit and answers them according to its mode.

    Parameters
    ----------
    cfg : EndpointSettings
        Settings of the endpoint.
    clock : Clock
        Clock of the endpoint.
    recorder : RunRecorder
        Records the start and end of each run.

    Attributes
    ----------
    mode : Mode
        Fault of runs whose body names none; may be changed at any time.
    running : dict of str to CallHeaders
        The calls that are running, by permit id.
    fencing_token : int
        The highest fencing token received.
    incarnation : str
        Random id of the current start, which permits must name.
    is_leaving : bool
        Whether the endpoint announces that it is leaving.
    """

    __slots__ = (
        "_announcer",
        "_clock",
        "_recorder",
        "_server",
        "_tasks",
        "cfg",
        "fencing_token",
        "incarnation",
        "is_leaving",
        "mode",
        "running",
    )

    def __init__(
        self, cfg: EndpointSettings, clock: Clock, recorder: RunRecorder
    ) -> None:
        self.cfg = cfg
        self.mode = cfg.mode
        self._clock = clock
        self._recorder = recorder
        routes = [Route("/{path:path}", self._handle, methods=["POST"])]
        self._server = HttpServer(
            build_app(routes), cfg.limits, host=cfg.host, port=cfg.port
        )
        self._reset()

    def _reset(self) -> None:
        """Reset the state that a process loses when it restarts."""
        self.incarnation = uuid.uuid4().hex
        self.fencing_token = 0
        self.is_leaving = False
        self.running: dict[str, CallHeaders] = {}
        self._tasks: set[asyncio.Task] = set()
        self._announcer = Announcer(self, self.cfg.announcer, self._clock)

    @property
    def address(self) -> str:
        """Return the host and port that the endpoint listens on."""
        return self._server.address

    async def start(self) -> None:
        """Start to listen, and announce the endpoint as serving."""
        await self._server.start()
        self._announcer.start()

    async def stop(self) -> None:
        """Announce the endpoint as leaving, finish the running calls, and stop."""
        self.is_leaving = True
        await self._announcer.announce_once()
        await self._server.stop(self.cfg.grace)
        await self._announcer.stop()

    async def kill(self) -> None:
        """Stop immediately, like a failing VM, and abort the running calls."""
        await self._announcer.stop()
        for task in list(self._tasks):
            task.cancel()
        await self._server.abort()

    async def restart(self) -> None:
        """Start again under a new incarnation, after `stop` or `kill`."""
        self._reset()
        await self.start()

    async def _handle(self, req: Request) -> Response:
        """Check the permit of a call, run the call and return its answer."""
        body = await read_body(req, self.cfg.limits)
        try:
            call = parse_call_headers(req.headers)
            self._check_permit(call)
        except _RefusedError as exc:
            return _refusal_response(exc.status, exc.detail)
        except ValueError as exc:
            return _refusal_response(412, str(exc))
        task = asyncio.create_task(self._run(call, parse_work(body), body))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.wait({task})
        return SilentResponse() if task.cancelled() else task.result()

    def _check_permit(self, call: CallHeaders) -> None:
        """Raise unless the permit allows the call to start.

        Raises
        ------
        _RefusedError
            The permit is not valid, or every slot is taken.
        """
        if call.incarnation != self.incarnation:
            raise _RefusedError(412, "the permit is for another incarnation")
        if call.fencing_token < self.fencing_token:
            raise _RefusedError(409, "the fencing token is older than one seen")
        if self._clock.monotonic() > call.start_by:
            raise _RefusedError(409, "the permit's start window has passed")
        if call.permit_id in self.running:
            raise _RefusedError(409, "the permit is in use")
        if len(self.running) >= self.cfg.slots:
            raise _RefusedError(503, "every slot is taken")
        self.fencing_token = call.fencing_token

    async def _run(self, call: CallHeaders, work: Work, body: bytes) -> Response:
        """Run a call until its work or its lease ends, and record start and end."""
        mode = work.mode or self.mode
        body_sha256 = hashlib.sha256(body).hexdigest()
        self.running[call.permit_id] = call
        self._record("start", call, body_sha256)
        event = "killed"
        try:
            async with asyncio.timeout(call.lease.total_seconds()):
                await asyncio.sleep(work.sleep_s)
            event = "failed" if mode is Mode.FAIL else "end"
        except TimeoutError:
            event = "lease-expired"
        finally:
            self._record(event, call, body_sha256)
            del self.running[call.permit_id]
        if mode is Mode.LATE:
            await asyncio.sleep(work.late_s)
        return self._response(call, event, mode, body)

    def _response(
        self, call: CallHeaders, event: str, mode: Mode, body: bytes
    ) -> Response:
        """Return the answer to a call that has ended, with the fault of the mode."""
        answer = {
            "endpoint_id": self.cfg.endpoint_id,
            "permit_id": call.permit_id,
            "request_id": call.request_id,
            "team": call.team,
            "echo": body.decode(errors="replace"),
        }
        content = msgspec.json.encode(answer)
        headers = {PERMIT: call.permit_id}
        if mode is Mode.SILENT:
            return SilentResponse()
        if mode is Mode.LOSE:
            return CutResponse(content, n_bytes_sent=0)
        if mode is Mode.CUT:
            return CutResponse(content, n_bytes_sent=len(content) // 2)
        status = 200 if event == "end" else 500
        return Response(
            content, status_code=status, headers=headers, media_type="application/json"
        )

    def _record(self, event: str, call: CallHeaders, body_sha256: str) -> None:
        record = RunRecord(
            time=self._clock.utcnow(),
            event=event,
            permit_id=call.permit_id,
            request_id=call.request_id,
            team=call.team,
            endpoint_id=self.cfg.endpoint_id,
            vm=self.cfg.vm,
            incarnation=self.incarnation,
            body_sha256=body_sha256,
        )
        self._recorder.append(record)


def _refusal_response(status: int, detail: str) -> Response:
    problem = Problem(status=status, title="not run", detail=detail, outcome=NOT_RUN)
    return problem_response(problem)
