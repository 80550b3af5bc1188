"""Outputs of a dispatcher, which its owner carries out."""

import msgspec

from ..fleet import ReportVm, ReturnAllotment
from ..observe._events import Event
from ..peers import Permit, PermitRefusal, PoolDemand, VmDrained

__all__ = ["Emitted", "Granted", "Output", "Proposed", "Refused", "ToLeader"]


class Granted(msgspec.Struct, frozen=True, kw_only=True):
    """Send a permit to an entry."""

    entry_id: str
    permit: Permit


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """Send a refusal to an entry."""

    entry_id: str
    refusal: PermitRefusal


class Proposed(msgspec.Struct, frozen=True, kw_only=True):
    """Propose a command to the leader.

    The dispatcher proposes it again until the view shows its outcome.
    """

    command: ReportVm | ReturnAllotment


class ToLeader(msgspec.Struct, frozen=True, kw_only=True):
    """Send a message to the leader."""

    message: PoolDemand | VmDrained


class Emitted(msgspec.Struct, frozen=True, kw_only=True):
    """Write an event to the event log."""

    event: Event


Output = Granted | Refused | Proposed | ToLeader | Emitted
