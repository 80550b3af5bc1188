"""What the planner of allotments asks to be done."""

import msgspec

from ..fleet import GrantAllotment
from ..peers import AllotmentRecall

__all__ = ["Proposed", "QuotaOutput", "Recalled"]


class Proposed(msgspec.Struct, frozen=True, kw_only=True):
    """Append a command to the log."""

    command: GrantAllotment


class Recalled(msgspec.Struct, frozen=True, kw_only=True):
    """Send a recall to the entry that dispatches the pool."""

    entry_id: str
    message: AllotmentRecall


QuotaOutput = Proposed | Recalled
