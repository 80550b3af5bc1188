"""Errors of the scheduling."""

from ..exceptions import RedwingslipError

__all__ = [
    "CommandOutcomeUnknownError",
    "KeyRefusedError",
    "NoPlanError",
    "NoQueueError",
    "NotLeadingError",
    "OrderNotSentError",
    "OrderOutcomeUnknownError",
    "SchedulingError",
    "VmReplacedError",
]


class SchedulingError(RedwingslipError):
    """The leader's work failed."""


class NotLeadingError(SchedulingError):
    """The process does not lead; the command was not taken."""


class CommandOutcomeUnknownError(SchedulingError):
    """Leadership was lost first; the command may have been taken or not."""


class NoPlanError(SchedulingError):
    """No plan has been handed in yet."""


class NoQueueError(SchedulingError):
    """No queue has this address."""


class KeyRefusedError(SchedulingError):
    """A key is nobody's."""


class OrderNotSentError(SchedulingError):
    """The order never reached the VM."""


class OrderOutcomeUnknownError(SchedulingError):
    """The order got no answer; it may be carried out, also later."""


class VmReplacedError(SchedulingError):
    """Another life answers at the VM's address, so that this one is gone."""
