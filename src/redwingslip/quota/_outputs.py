"""Actions that the allotment planner requests."""

import msgspec

from ..fleet import GrantAllotment
from ..peers import AllotmentRecall

__all__ = ["Proposed", "QuotaOutput", "Recalled"]


class Proposed(msgspec.Struct, frozen=True, kw_only=True):
    """Propose a command to the replicated log."""

    command: GrantAllotment


class Recalled(msgspec.Struct, frozen=True, kw_only=True):
    """Send a recall to the entry whose dispatcher serves the pool."""

    entry_id: str
    message: AllotmentRecall


QuotaOutput = Proposed | Recalled
