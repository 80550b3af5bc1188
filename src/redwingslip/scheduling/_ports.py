"""Interfaces to the endpoints and the platform, and the data that they exchange."""

import enum
from typing import Protocol

import msgspec

from ..jobs import ActiveRun, Amounts, EndKind, TaskKey, VmRecord

__all__ = [
    "HoldReport",
    "ListedEnd",
    "ListedRun",
    "MachineOperations",
    "MachineOutcome",
    "MachineState",
    "MachineView",
    "StartOutcome",
    "StartResult",
    "VmOrders",
]


AT_WORK_PERCENT = 100


class ListedRun(msgspec.Struct, frozen=True):
    """A run that a VM lists in its answer to a poll.

    Attributes
    ----------
    percent : float
        Progress of the run; 100 for a long-running run that is at work.
    load : float
        Tail latency in ms of a run that serves requests; cores in use of any other.
    """

    key: TaskKey
    number: int
    checkpoint: str = ""
    percent: float = 0.0
    load: float = 0.0

    @property
    def is_at_work(self) -> bool:
        """Return whether a long-running run is at work."""
        return self.percent >= AT_WORK_PERCENT


class ListedEnd(msgspec.Struct, frozen=True):
    """The end of a run, as a VM reports it; `cursor` numbers the ends of the VM."""

    cursor: int
    key: TaskKey
    number: int
    kind: EndKind
    checkpoint: str = ""


class HoldReport(msgspec.Struct, frozen=True, kw_only=True):
    """A VM's answer to a poll.

    Attributes
    ----------
    clock_ms : int
        Reading of the VM's own clock.
    born_ms : int
        Identifies the incarnation that answered; 0 if the answer does not contain it.
    runs : tuple of ListedRun
        Runs that the VM has.
    ends : tuple of ListedEnd
        Ends of runs with a cursor above the one in the request.
    has_more_ends : bool
        Whether there may be ends beyond those in the answer.
    """

    clock_ms: int
    born_ms: int = 0
    runs: tuple[ListedRun, ...] = ()
    ends: tuple[ListedEnd, ...] = ()
    has_more_ends: bool = False


class StartResult(enum.Enum):
    """How a VM responded to the order to start a run.

    `SUPERSEDED` answers an order with a lower fence than an earlier one. `OLD` answers
    an order for a run that has ended on the VM, or whose task has another run there.
    `LATE` answers an order that arrived after the lease end that it carried.
    `UNHEALTHY` stands for a VM that accepts no orders at present, and `REFUSED` for any
    other refusal.
    """

    ACCEPTED = "accepted"
    SUPERSEDED = "superseded"
    OLD = "old"
    LATE = "late"
    NO_ROOM = "no room"
    NO_TICKET = "no ticket"
    REFUSED = "refused"
    UNHEALTHY = "unhealthy"


class StartOutcome(msgspec.Struct, frozen=True):
    """The answer to the order to start a run, with a reading of the VM's clock."""

    result: StartResult
    clock_ms: int | None = None


class VmOrders(Protocol):
    """Client of the endpoints on the VMs.

    Every call may raise `OrderNotSentError`, `OrderOutcomeUnknownError` or
    `VmReplacedError`. Starts and stops are carried out by no other incarnation than the
    one that the call names.
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
        """Poll a VM: renew its lease, acknowledge ends and request its runs.

        Parameters
        ----------
        vm : VmRecord
            The incarnation to call.
        fence : int
            Term of the caller; an endpoint refuses orders with a lower one.
        cursor : int
            Number of the last end that the replicated state holds.
        until_ms : int or None
            End of the lease on the VM's clock; None leaves the lease as it is.
        wait_ms : int
            Milliseconds for which the VM may delay its answer while no run ends.
        """

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
        """Start a run; a repeated call does not start it twice.

        Parameters
        ----------
        vm : VmRecord
            The incarnation to call.
        run : ActiveRun
            The run.
        payload : str
            Payload of the job.
        ticket : str
            Proof that the VM may run the step; empty where none is needed.
        fence : int
            Term of the caller.
        until_ms : int
            End of the VM's lease, on the VM's clock.
        """

    async def stop(
        self, vm: VmRecord, key: TaskKey, number: int, *, fence: int
    ) -> None:
        """Stop a run; a start of the same run that arrives later is refused."""


class MachineState(enum.StrEnum):
    """State of a machine, as the platform reports it."""

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
    """How the platform responded to an order for a machine.

    `SUPERSEDED` answers an order with a lower fence than an earlier one. `LATER`
    answers an order that the platform does not accept at present.
    """

    DONE = "done"
    BUSY = "busy"
    SUPERSEDED = "superseded"
    NOT_OF_WAVE = "not of that wave"
    UNKNOWN_MACHINE = "unknown machine"
    LATER = "later"
    NO_ANSWER = "no answer"


class MachineOperations(Protocol):
    """Client of the platform that runs the machines."""

    async def list_machines(self) -> tuple[MachineView, ...]:
        """Return all machines.

        Raises
        ------
        OrderOutcomeUnknownError
            The platform did not answer.
        """

    async def maintain(self, machine: str, wave: int, *, fence: int) -> MachineOutcome:
        """Order the maintenance of a machine for a wave; its VM ends immediately."""

    async def move(self, machine: str, pool: str, *, fence: int) -> MachineOutcome:
        """Order the move of a machine to a pool; its VM ends immediately."""
