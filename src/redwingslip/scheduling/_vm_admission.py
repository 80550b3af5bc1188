"""Verification of reports of unknown VMs, above the limits on them."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta

from ..jobs import VmRecord
from ..observe import EventName
from ._scheduler import Scheduler
from ._settings import SchedulingSettings
from ._term import Term
from .exceptions import VmUnansweredError

__all__ = ["VmAdmission"]

REFUSAL_CAUSE = "unconfirmed-vms"
# A report must be answered within a second.
PATIENCE = timedelta(milliseconds=700)
MAX_PROBES = 32
LOG_INTERVAL = timedelta(seconds=10)


class VmAdmission:
    """Decides whether the report of an unknown VM is stored.

    A stored report costs a record on each replica, and polls by the leader. Up to the
    limits on VMs that have not answered, it is stored at once. Beyond them, only if the
    VM answers at the address that it names, so that true VMs are still taken.

    Parameters
    ----------
    term : Term
        The term of this leader.
    scheduler : Scheduler
        Polls the VMs.
    cfg : SchedulingSettings
        The limits.
    """

    __slots__ = (
        "_cfg",
        "_logged_at",
        "_n_refusals",
        "_probes",
        "_scheduler",
        "_term",
    )

    def __init__(
        self, *, term: Term, scheduler: Scheduler, cfg: SchedulingSettings
    ) -> None:
        self._term = term
        self._scheduler = scheduler
        self._cfg = cfg
        self._probes = asyncio.Semaphore(MAX_PROBES)
        self._logged_at: timedelta | None = None
        self._n_refusals = 0

    async def verify(self, vm: VmRecord) -> None:
        """Return if the report of a VM may be stored.

        Raises
        ------
        VmUnansweredError
            Too many VMs have not answered yet, and nor has this one.
        """
        if self._has_room(vm):
            return
        is_answering = None
        try:
            async with asyncio.timeout(PATIENCE.total_seconds()), self._probes:
                is_answering = await self._scheduler.probe(vm, PATIENCE)
        except TimeoutError:
            pass
        if not is_answering:
            self._report_refusal(vm)
            raise VmUnansweredError(
                f"{len(self._scheduler.unconfirmed)} VMs have not answered yet, and "
                f"{vm.vm_id} does not answer at {vm.address}"
            )

    @contextmanager
    def reservation(self, vm: VmRecord) -> Iterator[None]:
        """Count a VM while its report is being committed."""
        unconfirmed = self._scheduler.unconfirmed
        if not self._is_confirmed(vm):
            unconfirmed.add(vm)
        try:
            yield
        finally:
            if self._agent_born_ms(vm) != vm.born_ms:
                unconfirmed.discard(vm)

    def _report_refusal(self, vm: VmRecord) -> None:
        """Count a refusal, and log it at most once in each `LOG_INTERVAL`."""
        self._term.metrics.add_memory_refusals(1, cause=REFUSAL_CAUSE)
        self._n_refusals += 1
        now = self._term.clock.monotonic()
        if self._logged_at is not None and now - self._logged_at < LOG_INTERVAL:
            return
        unconfirmed = self._scheduler.unconfirmed
        detail = (
            f"{REFUSAL_CAUSE}: {self._n_refusals}; {len(unconfirmed)} VMs with "
            f"{unconfirmed.n_bytes} bytes of texts have not answered yet, the last "
            f"report was of {vm.vm_id} at {vm.address}"
        )
        self._term.emit(EventName.MEMORY_REFUSED, vm=vm.vm_id, detail=detail)
        self._logged_at = now
        self._n_refusals = 0

    def _has_room(self, vm: VmRecord) -> bool:
        return self._is_confirmed(vm) or self._scheduler.unconfirmed.has_room(
            vm,
            max_vms=self._cfg.max_unconfirmed_vms,
            max_bytes=self._cfg.max_unconfirmed_bytes,
        )

    def _is_confirmed(self, vm: VmRecord) -> bool:
        """Return whether the incarnation has answered this leader."""
        is_known = self._agent_born_ms(vm) == vm.born_ms
        return is_known and vm not in self._scheduler.unconfirmed

    def _agent_born_ms(self, vm: VmRecord) -> int | None:
        agent = self._scheduler.agents.get(vm.vm_id)
        return None if agent is None else agent.vm.born_ms
