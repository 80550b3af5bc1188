"""When a task is suspected of crashing the VMs that start it, and given up.

A VM that falls silent is a reason for suspicion, and no proof that it has crashed. A
job is given up only for VMs that are known to have ended.
"""

from ._records import TaskRecord
from ._spec import StepSpec

__all__ = [
    "MAX_CRASHES",
    "PROBATION_MS",
    "is_isolated",
    "is_quarantined",
]

# A run that its VM still lists this long after its start does not crash it. The time
# until the end of a VM is recorded tells nothing, as there may be no leader meanwhile.
PROBATION_MS = 10_000
# After two crashes a task may be given up (platform contract). Other runs on these VMs
# are suspected alike, so that each later run is alone on its VM, for two more crashes.
N_CRASHES_TO_ISOLATE = 2
MAX_CRASHES = 4


def is_isolated(step: StepSpec, task: TaskRecord) -> bool:
    """Return whether a task may share a VM only with other tasks of its job.

    The tasks of a gang need many VMs at the same time and are never isolated.
    """
    return task.n_suspected_crashes >= N_CRASHES_TO_ISOLATE and not step.is_gang


def is_quarantined(task: TaskRecord) -> bool:
    """Return whether a task must not start until more is known of silent VMs.

    Its job would be given up if all of them had crashed.
    """
    return bool(task.silent_vms) and task.n_suspected_crashes >= MAX_CRASHES
