"""Index of the runs that may be alive, kept up to date with each change."""

from collections.abc import Iterable

import msgspec

from ._records import RunRecord
from ._spec import JobSpec, TaskKey
from ._usage import RunUsage

__all__ = ["ActiveRun", "ActiveRuns"]


class ActiveRun(msgspec.Struct, frozen=True):
    """A run that may be alive, with its task; see `RunRecord`."""

    key: TaskKey
    number: int
    vm_id: str
    born_ms: int
    checkpoint: str
    started_ms: int


class ActiveRuns:
    """The runs that may be alive, by VM and then by task and run number.

    Attributes
    ----------
    by_vm : dict
        All of them.
    suspects : dict
        Those whose task has crashed a VM before, or may have.
    usage : RunUsage
        Resources that the runs use.
    """

    __slots__ = ("by_vm", "suspects", "usage")

    def __init__(self) -> None:
        self.by_vm: dict[str, dict[tuple[TaskKey, int], ActiveRun]] = {}
        self.suspects: dict[str, dict[tuple[TaskKey, int], ActiveRun]] = {}
        self.usage = RunUsage()

    def add(self, key: TaskKey, run: RunRecord, spec: JobSpec) -> ActiveRun:
        """Add a run of a job's task, and return it."""
        active = ActiveRun(
            key,
            run.number,
            run.vm_id,
            run.born_ms,
            run.checkpoint,
            run.started_ms,
        )
        self.by_vm.setdefault(run.vm_id, {})[(key, run.number)] = active
        self.usage.add(run.vm_id, key, spec)
        return active

    def remove(self, run: ActiveRun, spec: JobSpec) -> None:
        """Remove a run that was added."""
        del self.by_vm[run.vm_id][(run.key, run.number)]
        self.usage.remove(run.vm_id, run.key, spec)
        self._remove_suspect(run.vm_id, run.key, run.number)

    def find(
        self, vm_id: str, born_ms: int, run_id: tuple[TaskKey, int]
    ) -> ActiveRun | None:
        """Return a run, by its task and number, if it is on this incarnation."""
        run = self.by_vm.get(vm_id, {}).get(run_id)
        return run if run is not None and run.born_ms == born_ms else None

    def on_vm(self, vm_id: str, born_ms: int | None = None) -> tuple[ActiveRun, ...]:
        """Return the runs on a VM, or on one incarnation of it."""
        runs = self.by_vm.get(vm_id, {}).values()
        return tuple(r for r in runs if born_ms is None or r.born_ms == born_ms)

    def add_suspects(self, key: TaskKey, runs: Iterable[RunRecord]) -> None:
        """Add the runs of a task to those that may crash their VM."""
        for run in runs:
            run_id = (key, run.number)
            suspects = self.suspects.setdefault(run.vm_id, {})
            suspects[run_id] = self.by_vm[run.vm_id][run_id]

    def remove_suspects(self, key: TaskKey, runs: Iterable[RunRecord]) -> None:
        """Remove the runs of a task from those that may crash their VM."""
        for run in runs:
            self._remove_suspect(run.vm_id, key, run.number)

    def _remove_suspect(self, vm_id: str, key: TaskKey, number: int) -> None:
        suspects = self.suspects.get(vm_id, {})
        if suspects.pop((key, number), None) and not suspects:
            del self.suspects[vm_id]
