"""HTTP client of the platform that runs the VMs."""

import enum
from datetime import timedelta
from urllib.parse import quote

import msgspec

from ..decoding import UndecodableError, decode_document
from ..http import (
    ClientAnswer,
    ClientLimits,
    ClientPool,
    ClientRequest,
    HttpError,
    Problem,
)
from .exceptions import PlatformRefusedError, PlatformUnavailableError

__all__ = ["PlatformClient", "PlatformSettings", "VmPower", "VmState"]


class VmPower(enum.StrEnum):
    """Power state of a VM, as the platform reports it."""

    RUNNING = "running"
    REBOOTING = "rebooting"


class VmState(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's report of a VM.

    Attributes
    ----------
    state : VmPower
        Power state.
    operation_id : str
        Id of the last reboot that was requested; empty if there was none.
    """

    state: VmPower
    operation_id: str = ""


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Address of the platform, and limits of the calls to it.

    Attributes
    ----------
    address : str
        IP address and port.
    token : str
        Sent as a bearer token if not empty.
    timeout : timedelta
        Longest wait for an answer.
    limits : ClientLimits
        Limits of the connections.
    """

    address: str
    token: str = ""
    timeout: timedelta = timedelta(seconds=5)
    limits: ClientLimits = ClientLimits()


class _RebootBody(msgspec.Struct, frozen=True, kw_only=True):
    operation_id: str


_STATE_DECODER = msgspec.json.Decoder(VmState)
_PROBLEM_DECODER = msgspec.json.Decoder(Problem)


class PlatformClient:
    """Requests reboots and VM states from the platform.

    Parameters
    ----------
    cfg : PlatformSettings
        Address of the platform, and limits of the calls.
    """

    __slots__ = ("_cfg", "_pool")

    def __init__(self, cfg: PlatformSettings) -> None:
        self._cfg = cfg
        self._pool = ClientPool(cfg.limits)

    async def reboot(self, vm: str, operation_id: str) -> VmState:
        """Have a VM rebooted; the platform reboots it only once per operation id.

        Raises
        ------
        PlatformRefusedError
            The platform refuses the reboot.
        PlatformUnavailableError
            No usable answer was received; the reboot may have been accepted.
        """
        body = msgspec.json.encode(_RebootBody(operation_id=operation_id))
        headers = {"Idempotency-Key": operation_id, "Content-Type": "application/json"}
        path = f"/vms/{quote(vm, safe='')}/reboot"
        return await self._request("POST", path, headers, body)

    async def get(self, vm: str) -> VmState:
        """Return the platform's report of a VM; see `reboot` for the errors."""
        return await self._request("GET", f"/vms/{quote(vm, safe='')}", {}, b"")

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()

    async def _request(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> VmState:
        if self._cfg.token:
            headers = {**headers, "Authorization": f"Bearer {self._cfg.token}"}
        req = ClientRequest(
            address=self._cfg.address,
            method=method,
            path=path,
            headers=headers,
            body=body,
            timeout=self._cfg.timeout,
        )
        try:
            answer = await self._pool.exchange(req)
        except HttpError as exc:
            raise PlatformUnavailableError(str(exc)) from exc
        return _decode_state(answer)


def _decode_state(answer: ClientAnswer) -> VmState:
    if answer.status >= 500 or answer.status == 429:
        raise PlatformUnavailableError(f"the platform answered {answer.status}")
    if answer.status >= 300:
        raise PlatformRefusedError(_describe_refusal(answer))
    try:
        return decode_document(_STATE_DECODER, answer.body)
    except UndecodableError as exc:
        text = f"the platform's answer can't be decoded: {exc}"
        raise PlatformUnavailableError(text) from exc


def _describe_refusal(answer: ClientAnswer) -> str:
    try:
        problem = decode_document(_PROBLEM_DECODER, answer.body)
    except UndecodableError:
        return f"the platform answered {answer.status}"
    return f"the platform answered {answer.status}: {problem.detail or problem.title}"
