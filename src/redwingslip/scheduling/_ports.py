"""What the scheduling asks of the outside, as interfaces."""

import enum
from typing import Protocol

import msgspec

from ..jobs import ActiveRun, Amounts, EndKind, TaskKey, VmRecord

__all__ = [
    "HoldReport",
    "ListedEnd",
    "ListedRun",
    "MachineOutcome",
    "MachineState",
    "MachineView",
    "StartOutcome",
    "StartResult",
    "VmOperations",
    "VmOrders",
]


class ListedRun(msgspec.Struct, frozen=True):
    """A run that a VM says it has.

    Attributes
    ----------
    percent : float
        How far it is; for a long-running one, whether it is at work (100).
    load : float
        Tail latency in ms of one that serves, else cores in use.
    """

    key: TaskKey
    number: int
    checkpoint: str = ""
    percent: float = 0.0
    load: float = 0.0


class ListedEnd(msgspec.Struct, frozen=True):
    """An end that a VM says happened; `cursor` counts its ends."""

    cursor: int
    key: TaskKey
    number: int
    kind: EndKind
    checkpoint: str = ""


class HoldReport(msgspec.Struct, frozen=True, kw_only=True):
    """A VM's answer to a renewal of its lease.

    Attributes
    ----------
    born_ms : int
        Tells which life answered; 0 when it does not say.
    """

    clock_ms: int
    born_ms: int = 0
    runs: tuple[ListedRun, ...] = ()
    ends: tuple[ListedEnd, ...] = ()


class StartResult(enum.Enum):
    """What a VM did with the order to start a run."""

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "no room"
    NO_TICKET = "no ticket"
    REFUSED = "refused"
    UNHEALTHY = "unhealthy"


class StartOutcome(msgspec.Struct, frozen=True):
    """The answer to the order to start a run."""

    result: StartResult
    clock_ms: int | None = None


class VmOrders(Protocol):
    """Calls to endpoints.

    Every call may raise `OrderNotSentError`, `OrderOutcomeUnknownError` or
    `VmReplacedError`.
    """

    async def hold(
        self,
        vm: VmRecord,
        *,
        fence: int,
        cursor: int,
        until_ms: int | None,
        wait_ms: int,
    ) -> HoldReport:
        """Renew the lease, take note of ends up to `cursor`, and look."""

    async def start(
        self,
        vm: VmRecord,
        run: ActiveRun,
        *,
        payload: str,
        ticket: str,
        fence: int,
        until_ms: int,
    ) -> StartOutcome:
        """Have a run started, once; `ticket` is empty where none is needed."""

    async def stop(
        self, vm: VmRecord, key: TaskKey, number: int, *, fence: int
    ) -> None:
        """Have a run stopped; it can't start any more either."""


class MachineState(enum.StrEnum):
    """What the platform says of a machine."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


class MachineView(msgspec.Struct, frozen=True, kw_only=True):
    """A machine in the platform's list."""

    machine: str
    pool: str
    state: MachineState
    vm_id: str = ""
    data_centre: str = ""
    capacity: Amounts = Amounts()
    labels: tuple[str, ...] = ()


class MachineOutcome(enum.Enum):
    """What the platform did with an order for a machine."""

    DONE = "done"
    BUSY = "busy"
    SUPERSEDED = "superseded"
    NOT_OF_WAVE = "not of that wave"
    UNKNOWN_MACHINE = "unknown machine"
    LATER = "later"
    NO_ANSWER = "no answer"


class VmOperations(Protocol):
    """Calls to the platform that runs the machines."""

    async def list_machines(self) -> tuple[MachineView, ...]:
        """Return all machines; raise `OrderOutcomeUnknownError` without an answer."""

    async def maintain(self, machine: str, wave: int, *, fence: int) -> MachineOutcome:
        """Have a machine maintained for a wave; its VM ends at once."""

    async def move(self, machine: str, pool: str, *, fence: int) -> MachineOutcome:
        """Have a machine moved to a pool; its VM ends at once."""
