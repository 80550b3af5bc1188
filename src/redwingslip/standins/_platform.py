"""A stand-in platform that reboots VMs by restarting their endpoints."""

import asyncio
from collections.abc import Mapping, Sequence
from datetime import timedelta

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from ..http import (
    HttpLimits,
    HttpServer,
    Problem,
    build_app,
    decode_json,
    problem_response,
    read_body,
    strict_convert,
)
from ..reboots import VmPower, VmState
from ._endpoint import EndpointStandin

__all__ = ["PlatformStandin"]


class _RebootBody(msgspec.Struct, frozen=True, kw_only=True):
    operation_id: str


class PlatformStandin:
    """Serves the platform's API; a repeat of a VM's last operation id does nothing.

    Parameters
    ----------
    endpoints_by_vm : mapping of str to sequence of EndpointStandin
        The endpoints of each VM.
    reboot_time : timedelta
        Time for which a VM is down.
    host : str
        IP address to listen on.
    port : int
        0 for any free port.

    Attributes
    ----------
    n_reboots : int
        Number of reboots that are complete.
    """

    __slots__ = (
        "_endpoints_by_vm",
        "_limits",
        "_reboot_time",
        "_reboots",
        "_server",
        "_states",
        "n_reboots",
    )

    def __init__(
        self,
        endpoints_by_vm: Mapping[str, Sequence[EndpointStandin]],
        *,
        reboot_time: timedelta = timedelta(seconds=1),
        host: str = "127.0.0.1",
        port: int = 0,
    ) -> None:
        self._endpoints_by_vm = endpoints_by_vm
        self._reboot_time = reboot_time
        self._limits = HttpLimits()
        self._states = {vm: VmState(state=VmPower.RUNNING) for vm in endpoints_by_vm}
        self._reboots: set[asyncio.Task] = set()
        self.n_reboots = 0
        routes = [
            Route("/vms/{vm}", self._get, methods=["GET"]),
            Route("/vms/{vm}/reboot", self._reboot, methods=["POST"]),
        ]
        self._server = HttpServer(build_app(routes), self._limits, host=host, port=port)

    @property
    def address(self) -> str:
        """Return the host and port that the platform listens on."""
        return self._server.address

    async def start(self) -> None:
        """Start to listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Finish the reboots in progress and stop."""
        if self._reboots:
            await asyncio.wait(set(self._reboots))
        await self._server.stop(timedelta(seconds=1))

    async def _get(self, req: Request) -> Response:
        vm = req.path_params["vm"]
        if vm not in self._states:
            return _unknown_vm(vm)
        return _state_response(self._states[vm])

    async def _reboot(self, req: Request) -> Response:
        vm = req.path_params["vm"]
        if vm not in self._states:
            return _unknown_vm(vm)
        body = decode_json(await read_body(req, self._limits))
        order = strict_convert(body, _RebootBody)
        state = self._states[vm]
        if state.operation_id == order.operation_id:
            return _state_response(state)
        if state.state is VmPower.REBOOTING:
            problem = Problem(
                status=409, title="reboot under way", detail=f"{vm} is rebooting"
            )
            return problem_response(problem)
        self._states[vm] = VmState(
            state=VmPower.REBOOTING, operation_id=order.operation_id
        )
        task = asyncio.create_task(self._restart(vm, order.operation_id))
        self._reboots.add(task)
        task.add_done_callback(self._reboots.discard)
        return _state_response(self._states[vm])

    async def _restart(self, vm: str, operation_id: str) -> None:
        """Kill a VM's endpoints and restart them after the reboot time."""
        endpoints = self._endpoints_by_vm[vm]
        await asyncio.gather(*(endpoint.kill() for endpoint in endpoints))
        await asyncio.sleep(self._reboot_time.total_seconds())
        await asyncio.gather(*(endpoint.restart() for endpoint in endpoints))
        self.n_reboots += 1
        self._states[vm] = VmState(state=VmPower.RUNNING, operation_id=operation_id)


def _state_response(state: VmState) -> Response:
    return Response(msgspec.json.encode(state), media_type="application/json")


def _unknown_vm(vm: str) -> Response:
    problem = Problem(status=404, title="no such VM", detail=f"there is no VM {vm!r}")
    return problem_response(problem)
