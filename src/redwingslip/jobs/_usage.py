"""Resources that the runs in the state use, kept up to date with each change."""

from collections import Counter

from ._plan import NO_AMOUNTS, Amounts
from ._spec import JobSpec, TaskKey

__all__ = ["RunUsage"]


class RunUsage:
    """Sums over the runs that may be alive, by VM and by customer.

    A leader reads them many times a second, so that they are not computed from the
    runs each time.
    """

    __slots__ = ("_by_customer", "_by_vm", "_steps_by_vm")

    def __init__(self) -> None:
        self._by_vm: dict[str, Amounts] = {}
        self._steps_by_vm: dict[str, Counter[tuple]] = {}
        self._by_customer: dict[str, Amounts] = {}

    def add(self, vm_id: str, key: TaskKey, spec: JobSpec) -> None:
        """Add a run of a job's task on a VM."""
        step = spec.steps[key.step]
        self._by_vm[vm_id] = self._by_vm.get(vm_id, NO_AMOUNTS) + step.reserved
        self._steps_by_vm.setdefault(vm_id, Counter())[key[:3]] += 1
        if spec.customer:
            used = self._by_customer.get(spec.customer, NO_AMOUNTS)
            self._by_customer[spec.customer] = used + step.need

    def remove(self, vm_id: str, key: TaskKey, spec: JobSpec) -> None:
        """Remove a run that was added."""
        step = spec.steps[key.step]
        steps = self._steps_by_vm[vm_id]
        steps[key[:3]] -= 1
        if not steps[key[:3]]:
            del steps[key[:3]]
        self._by_vm[vm_id] = self._by_vm[vm_id] - step.reserved
        if not steps:
            del self._steps_by_vm[vm_id], self._by_vm[vm_id]
        if spec.customer:
            self._by_customer[spec.customer] -= step.need
            if self._by_customer[spec.customer] == NO_AMOUNTS:
                del self._by_customer[spec.customer]

    def of_vm(self, vm_id: str) -> tuple[Amounts, Counter[tuple]]:
        """Return what the runs of a VM reserve, and their number by step.

        Returns
        -------
        tuple of Amounts, Counter
            The number of runs is by job, occurrence and step, in a new counter.
        """
        steps = self._steps_by_vm.get(vm_id)
        if steps is None:
            return NO_AMOUNTS, Counter()
        return self._by_vm[vm_id], steps.copy()

    def of_customers(self) -> dict[str, Amounts]:
        """Return what the runs of each customer use, if any."""
        return dict(self._by_customer)
