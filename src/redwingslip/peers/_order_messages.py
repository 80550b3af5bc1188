"""Messages between the leader and the controllers that call VMs for it."""

import enum
from datetime import timedelta

import msgspec

from ..jobs import ActiveRun, TaskKey, VmRecord
from ..scheduling import HoldReport, StartOutcome
from ._base import PeerMessage

__all__ = [
    "DelegateLease",
    "DelegateLeaseRecall",
    "DelegateLeaseRequest",
    "DelegateLeaseReturn",
    "HoldOrder",
    "OrderBatch",
    "OrderMessage",
    "OrderReplies",
    "OrderReply",
    "OrderResult",
    "StartOrder",
    "StopOrder",
    "VmOrder",
]


class DelegateLeaseRequest(PeerMessage):
    """A controller's request to the leader for a lease as its delegate.

    Attributes
    ----------
    number : int
        Number of the request, higher than those of earlier processes of the sender; the
        lease repeats it.
    fence : int
        Term of the lease that the sender holds, 0 for none.
    lag : timedelta
        How late the sender's event loop is.
    """

    number: int
    fence: int = 0
    lag: timedelta = timedelta(0)


class DelegateLease(PeerMessage):
    """The leader's permission to carry out its orders.

    The lease counts from the time at which the delegate sent the request, so that it
    ends before the leader's own lease.

    Attributes
    ----------
    fence : int
        Term of the leader.
    """

    number: int
    fence: int
    duration: timedelta


class DelegateLeaseRecall(PeerMessage):
    """The leader's request to end a lease before its time."""

    fence: int


class DelegateLeaseReturn(PeerMessage):
    """A delegate's word that it sends no more orders of the term `fence`."""

    fence: int


class HoldOrder(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A poll of a VM; see `redwingslip.scheduling.VmOrders.hold`.

    Attributes
    ----------
    number : int
        Number of the order within the leader's term; the reply repeats it.
    vm : VmRecord
        The incarnation to call: its name, start time and address.
    """

    number: int
    vm: VmRecord
    cursor: int
    until_ms: int | None
    wait_ms: int


class StartOrder(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The start of a run; see `redwingslip.scheduling.VmOrders.start`."""

    number: int
    vm: VmRecord
    run: ActiveRun
    payload: str
    ticket: str
    until_ms: int


class StopOrder(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The stop of a run; see `redwingslip.scheduling.VmOrders.stop`."""

    number: int
    vm: VmRecord
    key: TaskKey
    run_number: int


VmOrder = HoldOrder | StartOrder | StopOrder


class OrderBatch(PeerMessage):
    """Orders of the leader that a delegate carries out.

    Attributes
    ----------
    fence : int
        Term of the leader.
    """

    fence: int
    orders: tuple[VmOrder, ...]


class OrderResult(enum.Enum):
    """What became of an order.

    `NO_LEASE` stands for an order that the delegate did not send, since it holds no
    lease of the leader's term. The others correspond to the answer and the errors of
    `redwingslip.scheduling.VmOrders`.
    """

    ANSWERED = "answered"
    NO_LEASE = "no lease"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"
    REPLACED = "replaced"


class OrderReply(msgspec.Struct, frozen=True, array_like=True):
    """What became of one order.

    Attributes
    ----------
    hold, start : HoldReport, StartOutcome or None
        The VM's answer to a poll or to a start.
    detail : str
        Text of the error.
    """

    number: int
    result: OrderResult
    hold: HoldReport | None = None
    start: StartOutcome | None = None
    detail: str = ""


class OrderReplies(PeerMessage):
    """A delegate's replies to orders of the term with the number `fence`."""

    fence: int
    replies: tuple[OrderReply, ...]


OrderMessage = (
    DelegateLeaseRequest
    | DelegateLease
    | DelegateLeaseRecall
    | DelegateLeaseReturn
    | OrderBatch
    | OrderReplies
)
