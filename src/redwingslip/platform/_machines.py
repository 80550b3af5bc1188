"""The platform's interface for machines."""

from datetime import timedelta

import msgspec

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

_REASONS = {
    "fence": MachineOutcome.SUPERSEDED,
    "busy": MachineOutcome.BUSY,
    "wave": MachineOutcome.NOT_OF_WAVE,
}
_STATES = {"up": MachineState.UP, "moving": MachineState.MOVING}
_STATES |= {"upkeep": MachineState.MAINTENANCE, "down": MachineState.DOWN}


class _AmountsDoc(msgspec.Struct, frozen=True, rename="camel"):
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _MachineDoc(msgspec.Struct, frozen=True, rename="camel"):
    machine: str
    pool: str
    state: str
    zone: str = ""
    # The life that runs on the machine now; none while it is not up.
    id: str | None = None
    labels: tuple[str, ...] = ()
    capacity: _AmountsDoc = _AmountsDoc()


class _PageDoc(msgspec.Struct, frozen=True, rename="camel"):
    machines: tuple[_MachineDoc, ...]
    next_page_token: str | None = None


class _ReasonDoc(msgspec.Struct, frozen=True):
    reason: str = ""


class _UpkeepDoc(msgspec.Struct, frozen=True):
    machine: str
    wave: int


class _MoveDoc(msgspec.Struct, frozen=True):
    machine: str
    pool: str


class MachineClient:
    """Calls the platform; see `redwingslip.scheduling.MachineOperations`.

    Parameters
    ----------
    address : str
        ``host:port`` of the platform's interface.
    holder : str
        Name under which orders are given.
    """

    __slots__ = ("_address", "_holder", "_pool")

    def __init__(self, address: str, holder: str) -> None:
        self._address = address
        self._holder = holder
        self._pool = ClientPool(ClientLimits(connect_timeout=CALL_TIMEOUT))

    async def list_machines(self) -> tuple[MachineView, ...]:
        """Return all machines; raise `OrderOutcomeUnknownError` without an answer."""
        found: list[MachineView] = []
        token = ""
        while True:
            path = f"/machines?pageToken={token}" if token else "/machines"
            try:
                answer = await self._exchange("GET", path, b"", {})
                page = msgspec.json.decode(answer.body, type=_PageDoc)
            except (HttpError, msgspec.DecodeError) as exc:
                raise OrderOutcomeUnknownError(f"no list of machines: {exc}") from exc
            found.extend(_decode_machine(doc) for doc in page.machines)
            token = page.next_page_token
            if not token:
                return tuple(found)

    async def maintain(self, machine: str, wave: int, *, fence: int) -> MachineOutcome:
        """Have a machine maintained for a wave; its VM ends at once."""
        return await self._order("/machine-upkeep", _UpkeepDoc(machine, wave), fence)

    async def move(self, machine: str, pool: str, *, fence: int) -> MachineOutcome:
        """Have a machine moved to a pool; its VM ends at once."""
        return await self._order("/machine-move", _MoveDoc(machine, pool), fence)

    async def close(self) -> None:
        """Close every connection."""
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
        return _REASONS.get(_decode_reason(answer), MachineOutcome.BUSY)

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
        return msgspec.json.decode(answer.body, type=_ReasonDoc).reason
    except msgspec.DecodeError:
        return ""


def _decode_machine(doc: _MachineDoc) -> MachineView:
    room = doc.capacity
    return MachineView(
        machine=doc.machine,
        pool=doc.pool,
        state=_STATES.get(doc.state, MachineState.DOWN),
        vm_id=doc.id or "",
        data_centre=doc.zone,
        capacity=Amounts(room.cpu, room.mem_mb, room.gpu),
        labels=doc.labels,
    )
