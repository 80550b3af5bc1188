"""Verification of reports that would end a known incarnation of a VM."""

import asyncio
import enum
from collections.abc import Iterable
from datetime import timedelta

from ..jobs import VmRecord
from ..observe import EventName
from ._agent import VmAgent
from ._scheduler import Scheduler
from ._term import Term
from .exceptions import VmAtWorkError, VmUnconfirmedError

__all__ = ["ReplacementChecks"]

# Well within the second in which a report must be answered.
REPORT_PATIENCE = timedelta(milliseconds=700)
KNOWN_PATIENCE = timedelta(milliseconds=400)
# Enough for the three round trips of a new connection under load; later reports of the
# VM wait for the same check.
REPORTED_PATIENCE = timedelta(milliseconds=1200)


class _Finding(enum.Enum):
    """What is known about an incarnation that a report would replace."""

    ENDED = "ended"
    AT_WORK = "at work"
    UNKNOWN = "unknown"


class ReplacementChecks:
    """Finds out whether the incarnations have ended that a report would replace.

    A report alone proves nothing, as it may come from another writer. While the lease
    of the known incarnation may hold, it is replaced only if another incarnation
    answers at its address, or if it does not answer but the reported one does.

    Parameters
    ----------
    term : Term
        The term of this leader.
    scheduler : Scheduler
        Has the agents of the known incarnations.
    """

    __slots__ = ("_checks", "_scheduler", "_term")

    def __init__(self, term: Term, scheduler: Scheduler) -> None:
        self._term = term
        self._scheduler = scheduler
        self._checks: dict[tuple, asyncio.Task[_Finding]] = {}

    async def verify(
        self, vm: VmRecord, replaced: Iterable[VmRecord], *, is_new: bool
    ) -> None:
        """Return if all incarnations have ended that a report would replace.

        Parameters
        ----------
        vm : VmRecord
            The VM as it is reported.
        replaced : iterable of VmRecord
            Known records that the report would replace or remove. One of the same
            incarnation has another address.
        is_new : bool
            Whether the reported incarnation is not known yet.

        Raises
        ------
        VmAtWorkError
            One of them answers.
        VmUnconfirmedError
            It is not known of one of them; a later report is verified again.
        """
        checks = {
            self._begin(vm, old, agent, is_new): old
            for old in replaced
            if (agent := self._agent_of(old)) is not None
        }
        if checks:
            # A check goes on without this report, as others may wait for it.
            await asyncio.wait(checks, timeout=REPORT_PATIENCE.total_seconds())
        for check, old in checks.items():
            finding = check.result() if check.done() else _Finding.UNKNOWN
            detail = f"incarnation {old.born_ms} of {old.vm_id} at {old.address}"
            if finding is _Finding.AT_WORK:
                raise VmAtWorkError(f"{detail} answers")
            if finding is _Finding.UNKNOWN:
                raise VmUnconfirmedError(f"{detail} may be at work")

    def _agent_of(self, old: VmRecord) -> VmAgent | None:
        """Return the agent of a known incarnation; None if its lease has expired."""
        agent = self._scheduler.agents.get(old.vm_id)
        if agent is None or agent.vm.born_ms != old.born_ms:
            return None
        has_expired = agent.lease.has_expired(self._term.clock.monotonic())
        return None if has_expired else agent

    def _begin(
        self, vm: VmRecord, old: VmRecord, agent: VmAgent, is_new: bool
    ) -> asyncio.Task[_Finding]:
        """Return the check of a report, which may be in progress."""
        key = (
            (vm.vm_id, vm.born_ms, vm.address, is_new),
            (old.vm_id, old.born_ms, old.address),
        )
        check = self._checks.get(key)
        if check is None:
            check = asyncio.create_task(self._check(vm, old, agent, is_new))
            self._checks[key] = check
            check.add_done_callback(lambda _: self._checks.pop(key, None))
        return check

    async def _check(
        self, vm: VmRecord, old: VmRecord, agent: VmAgent, is_new: bool
    ) -> _Finding:
        is_answering = await agent.probe(old, KNOWN_PATIENCE)
        if is_answering:
            detail = f"replacement by {vm.vm_id}, incarnation {vm.born_ms}, refuted"
            self._term.emit(EventName.WARNING, vm=old.vm_id, detail=detail)
            return _Finding.AT_WORK
        if is_answering is not None:
            return _Finding.ENDED
        # An answer proves the address, and that the reported VM exists. A known VM
        # proves nothing more by it; it must not end another by a new machine.
        proves = is_new or old.vm_id == vm.vm_id or old.address == vm.address
        if proves and await agent.probe(vm, REPORTED_PATIENCE):
            return _Finding.ENDED
        return _Finding.UNKNOWN
