"""The platform that runs the VMs."""

import enum
from datetime import timedelta
from urllib.parse import quote

import msgspec

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
    """What the platform does with a VM."""

    RUNNING = "running"
    REBOOTING = "rebooting"


class VmState(msgspec.Struct, frozen=True, kw_only=True):
    """What the platform says of a VM.

    Attributes
    ----------
    operation_id : str
        The last reboot that was asked for; empty for none.
    """

    state: VmPower
    operation_id: str = ""


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Where the platform is and how long it may take.

    Attributes
    ----------
    address : str
        IP number and port.
    token : str
        Sent as a bearer token when not empty.
    """

    address: str
    token: str = ""
    timeout: timedelta = timedelta(seconds=5)
    limits: ClientLimits = ClientLimits()


class _RebootBody(msgspec.Struct, frozen=True, kw_only=True):
    operation_id: str


class PlatformClient:
    """Asks the platform for reboots.

    Parameters
    ----------
    cfg : PlatformSettings
        Where the platform is.
    """

    __slots__ = ("_cfg", "_pool")

    def __init__(self, cfg: PlatformSettings) -> None:
        self._cfg = cfg
        self._pool = ClientPool(cfg.limits)

    async def reboot(self, vm: str, operation_id: str) -> VmState:
        """Have a VM rebooted; the platform does it once for an operation id.

        Raises
        ------
        PlatformRefusedError
            The platform won't do it.
        PlatformUnavailableError
            No answer; it may have been done.
        """
        body = msgspec.json.encode(_RebootBody(operation_id=operation_id))
        headers = {"Idempotency-Key": operation_id, "Content-Type": "application/json"}
        path = f"/vms/{quote(vm, safe='')}/reboot"
        return await self._ask("POST", path, headers, body)

    async def get(self, vm: str) -> VmState:
        """Return what the platform says of a VM; see `reboot` for the errors."""
        return await self._ask("GET", f"/vms/{quote(vm, safe='')}", {}, b"")

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.close()

    async def _ask(
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
        return _parse(answer)


def _parse(answer: ClientAnswer) -> VmState:
    if answer.status >= 500 or answer.status == 429:
        raise PlatformUnavailableError(f"the platform answered {answer.status}")
    if answer.status >= 300:
        raise PlatformRefusedError(_reason(answer))
    try:
        return msgspec.json.decode(answer.body, type=VmState)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        text = f"the platform's answer can't be read: {exc}"
        raise PlatformUnavailableError(text) from exc


def _reason(answer: ClientAnswer) -> str:
    try:
        problem = msgspec.json.decode(answer.body, type=Problem)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return f"the platform answered {answer.status}"
    return f"the platform answered {answer.status}: {problem.detail or problem.title}"
