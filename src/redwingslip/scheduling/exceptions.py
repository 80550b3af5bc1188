"""Exceptions of the scheduling."""

from datetime import timedelta

from ..exceptions import RedwingslipError

__all__ = [
    "CommandOutcomeUnknownError",
    "FutureStartError",
    "JobRefusedError",
    "KeyRefusedError",
    "NoPlanError",
    "NoQueueError",
    "NotLeadingError",
    "OrderNotSentError",
    "OrderOutcomeUnknownError",
    "SchedulingError",
    "UnknownDataCentreError",
    "UnknownPoolError",
    "VmAtWorkError",
    "VmReplacedError",
    "VmUnansweredError",
    "VmUnconfirmedError",
]


class SchedulingError(RedwingslipError):
    """Base of the errors of the scheduling."""


class NotLeadingError(SchedulingError):
    """The replica does not lead; the command was not committed and never will be."""


class CommandOutcomeUnknownError(SchedulingError):
    """Leadership ended before the outcome was known; the command may be committed."""


class NoPlanError(SchedulingError):
    """No plan has been submitted yet."""


class NoQueueError(SchedulingError):
    """No queue matches the address or the name."""


class KeyRefusedError(SchedulingError):
    """No customer has this key."""


class JobRefusedError(SchedulingError):
    """The job was not proposed to the log, and never runs.

    Parameters
    ----------
    message : str
        Why.
    retry_after : timedelta
        Time after which its caller may try again.
    """

    def __init__(self, message: str, *, retry_after: timedelta) -> None:
        super().__init__(message)
        self.retry_after = retry_after


class FutureStartError(SchedulingError):
    """A report names a VM that has not started yet."""


class UnknownPoolError(SchedulingError):
    """A report names a pool that the plan does not have."""


class UnknownDataCentreError(SchedulingError):
    """The settings list the data centres, and not this one."""


class VmAtWorkError(SchedulingError):
    """A report would replace an incarnation that answers."""


class VmUnconfirmedError(SchedulingError):
    """A report would replace an incarnation that may not have ended."""


class VmUnansweredError(SchedulingError):
    """Too many VMs have not answered yet, and nor has the one of a report."""


class OrderNotSentError(SchedulingError):
    """The order never reached the VM."""


class OrderOutcomeUnknownError(SchedulingError):
    """The order got no answer; it may have been carried out, or may be at any time."""


class VmReplacedError(SchedulingError):
    """Another incarnation answers at the VM's address, so this one has ended."""
