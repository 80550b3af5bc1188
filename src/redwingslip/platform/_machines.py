"""Client of the platform's interface for machines."""

import contextlib
from collections.abc import Iterable, Iterator
from datetime import timedelta
from typing import Literal

import msgspec

from ..decoding import Amount, UndecodableError, decode_document, decode_page
from ..http import ClientAnswer, ClientLimits, ClientPool, ClientRequest, HttpError
from ..jobs import Amounts
from ..scheduling import (
    MachineOutcome,
    MachineState,
    MachineView,
    OrderOutcomeUnknownError,
)

__all__ = ["MachineClient"]

CALL_TIMEOUT = timedelta(seconds=2)

_OUTCOMES_BY_REASON = {
    "fence": MachineOutcome.SUPERSEDED,
    "busy": MachineOutcome.BUSY,
    "wave": MachineOutcome.NOT_OF_WAVE,
}
_STATES = {"up": MachineState.UP, "moving": MachineState.MOVING}
_STATES |= {"upkeep": MachineState.MAINTENANCE, "down": MachineState.DOWN}


class _AmountsDoc(msgspec.Struct, frozen=True, rename="camel"):
    cpu: Amount = 0
    mem_mb: Amount = 0
    gpu: Amount = 0


class _MachineDoc(msgspec.Struct, frozen=True, rename="camel"):
    machine: str
    pool: str
    state: Literal["up", "moving", "upkeep", "down"]
    zone: str = ""
    # Id of the VM that runs on the machine; None while the machine is not up.
    id: str | None = None
    labels: tuple[str, ...] = ()
    capacity: _AmountsDoc = _AmountsDoc()


class _PageDoc(msgspec.Struct, frozen=True, rename="camel"):
    # Decoded one by one, so that an odd entry leaves the others.
    machines: tuple[msgspec.Raw, ...]
    next_page_token: str | None = None


class _ReasonDoc(msgspec.Struct, frozen=True):
    reason: str = ""


class _UpkeepDoc(msgspec.Struct, frozen=True):
    machine: str
    wave: int


class _MoveDoc(msgspec.Struct, frozen=True):
    machine: str
    pool: str


_MACHINE_DECODER = msgspec.json.Decoder(_MachineDoc)
_PAGE_DECODER = msgspec.json.Decoder(_PageDoc)
_REASON_DECODER = msgspec.json.Decoder(_ReasonDoc)


class MachineClient:
    """Implements `redwingslip.scheduling.MachineOperations` over HTTP.

    Parameters
    ----------
    address : str
        ``host:port`` of the platform's interface.
    holder : str
        Name of the lease holder, sent with each order.
    """

    __slots__ = ("_address", "_holder", "_pool")

    def __init__(self, address: str, holder: str) -> None:
        self._address = address
        self._holder = holder
        self._pool = ClientPool(ClientLimits(connect_timeout=CALL_TIMEOUT))

    async def list_machines(self) -> tuple[MachineView, ...]:
        """Return all machines; entries that can't be decoded are left out.

        `OrderOutcomeUnknownError` is raised if a page was not received or can't be
        decoded.
        """
        machines: list[MachineView] = []
        token = ""
        while True:
            path = f"/machines?pageToken={token}" if token else "/machines"
            try:
                answer = await self._exchange("GET", path, b"", {})
                page = await decode_page(_PAGE_DECODER, answer.body)
            except (HttpError, UndecodableError) as exc:
                raise OrderOutcomeUnknownError(
                    f"machines could not be listed: {exc}"
                ) from exc
            machines.extend(_decode_machines(page.machines))
            token = page.next_page_token
            if not token:
                return tuple(machines)

    async def maintain(self, machine: str, wave: int, *, fence: int) -> MachineOutcome:
        """Have a machine maintained for a wave; this ends its VM immediately."""
        return await self._order("/machine-upkeep", _UpkeepDoc(machine, wave), fence)

    async def move(self, machine: str, pool: str, *, fence: int) -> MachineOutcome:
        """Have a machine moved to a pool; this ends its VM immediately."""
        return await self._order("/machine-move", _MoveDoc(machine, pool), fence)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()

    async def _order(
        self, path: str, doc: msgspec.Struct, fence: int
    ) -> MachineOutcome:
        headers = {
            "Content-Type": "application/json",
            "Lease-Holder": self._holder,
            "Fencing-Token": str(fence),
        }
        try:
            answer = await self._exchange(
                "POST", path, msgspec.json.encode(doc), headers
            )
        except HttpError:
            return MachineOutcome.NO_ANSWER
        if answer.status == 200:
            return MachineOutcome.DONE
        if answer.status == 400:
            return MachineOutcome.UNKNOWN_MACHINE
        if answer.status == 429:
            return MachineOutcome.LATER
        if answer.status != 409:
            return MachineOutcome.NO_ANSWER
        return _OUTCOMES_BY_REASON.get(_decode_reason(answer), MachineOutcome.BUSY)

    async def _exchange(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> ClientAnswer:
        return await self._pool.exchange(
            ClientRequest(
                address=self._address,
                method=method,
                path=path,
                headers=headers,
                body=body,
                timeout=CALL_TIMEOUT,
            )
        )


def _decode_reason(answer: ClientAnswer) -> str:
    try:
        return decode_document(_REASON_DECODER, answer.body).reason
    except UndecodableError:
        return ""


def _decode_machines(entries: Iterable[msgspec.Raw]) -> Iterator[MachineView]:
    """Yield the machines in the entries that can be decoded."""
    for entry in entries:
        with contextlib.suppress(UndecodableError):
            yield _decode_machine(decode_document(_MACHINE_DECODER, bytes(entry)))


def _decode_machine(doc: _MachineDoc) -> MachineView:
    capacity = doc.capacity
    return MachineView(
        machine=doc.machine,
        pool=doc.pool,
        state=_STATES[doc.state],
        vm_id=doc.id or "",
        data_centre=doc.zone,
        capacity=Amounts(capacity.cpu, capacity.mem_mb, capacity.gpu),
        labels=doc.labels,
    )
