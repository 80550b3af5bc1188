"""The memory that jobs take in the replicated state."""

from ._spec import JobSpec

__all__ = ["SMALL_JOB_BYTES", "JobSizes", "job_bytes"]

# Measured with Python 3.11 as resident memory per object, rounded up. A job includes
# its names and its entries in dictionaries. A step and a task include their part of
# the snapshot, which each replica keeps in memory too.
JOB_BYTES = 1_000
STEP_BYTES = 450
TASK_BYTES = 370
# A reference and a small number, of which larger ones are objects of their own.
AFTER_BYTES = 40
# The list of a step's tasks in one occurrence, and that of an occurrence's steps.
LIST_BYTES = 75
# What the leader keeps for a task that is ready, and creates for it in each round.
READY_TASK_BYTES = 840
# A text is kept decoded and in the snapshot. Characters outside ASCII take up to 4
# bytes in both, and as many in the encoded form that Python keeps with them.
TEXT_BYTES = 60
ASCII_BYTES = 2
OTHER_CHARACTER_BYTES = 12

# Larger jobs leave a part of the memory free for smaller ones. An ordinary job has a
# body of a few kB and takes 10 to 25 kB.
SMALL_JOB_BYTES = 128 << 10


def job_bytes(spec: JobSpec) -> int:
    """Return about how many bytes a job takes until it is forgotten.

    The result depends on the job alone, so that all replicas count the same.
    """
    n_occurrences = spec.repetition.count if spec.repetition else 1
    n_bytes = JOB_BYTES + _text_bytes(spec.payload) + len(spec.steps) * STEP_BYTES
    n_tasks = n_after = 0
    # A step takes about a microsecond here; a job may have 100,000 of them.
    for step in spec.steps:
        n_tasks += step.n_tasks
        n_after += len(step.after)
        if step.label or step.data_rack or step.image:
            for text in (step.label, step.data_rack, step.image):
                n_bytes += _text_bytes(text)
    per_occurrence = (
        n_tasks * TASK_BYTES
        + (len(spec.steps) + 1) * LIST_BYTES
        + _max_ready_tasks(spec) * READY_TASK_BYTES
    )
    return n_bytes + n_after * AFTER_BYTES + n_occurrences * per_occurrence


def _text_bytes(text: str) -> int:
    if not text:
        return 0
    each = ASCII_BYTES if text.isascii() else OTHER_CHARACTER_BYTES
    return TEXT_BYTES + each * len(text)


def _max_ready_tasks(spec: JobSpec) -> int:
    """Return a bound on the tasks of one occurrence that are ready at the same time.

    The steps are divided into chains in which each step waits for the one before it, so
    that only one step of each chain can be ready.
    """
    total = 0
    # The largest number of tasks in each chain, by the last step of the chain.
    largest_of_end: dict[int, int] = {}
    for number, step in enumerate(spec.steps):
        n_tasks = step.n_tasks
        if not n_tasks:
            # It counts as done, so that steps on both of its sides may be ready.
            continue
        largest = 0
        for end in step.after:
            if end in largest_of_end:
                largest = largest_of_end.pop(end)
                break
        if n_tasks > largest:
            total += n_tasks - largest
            largest = n_tasks
        largest_of_end[number] = largest
    return total


class JobSizes:
    """The bytes of all jobs in the state, active and ended.

    Attributes
    ----------
    n_small_bytes, n_large_bytes : int
        Bytes of the jobs of up to `SMALL_JOB_BYTES`, and of the larger ones.
    """

    __slots__ = ("_of_job", "n_large_bytes", "n_small_bytes")

    def __init__(self) -> None:
        self._of_job: dict[str, int] = {}
        self.n_small_bytes = 0
        self.n_large_bytes = 0

    @property
    def n_bytes(self) -> int:
        """Return the bytes of all jobs."""
        return self.n_small_bytes + self.n_large_bytes

    def of_job(self, job_id: str) -> int:
        """Return the bytes of a job in the state."""
        return self._of_job[job_id]

    def add(self, spec: JobSpec) -> None:
        """Count a job that is new in the state."""
        n_bytes = self._of_job[spec.job_id] = job_bytes(spec)
        self._add(n_bytes, n_bytes)

    def remove(self, job_id: str) -> None:
        """Stop counting a job that has left the state."""
        n_bytes = self._of_job.pop(job_id)
        self._add(n_bytes, -n_bytes)

    def _add(self, n_bytes: int, change: int) -> None:
        if n_bytes <= SMALL_JOB_BYTES:
            self.n_small_bytes += change
        else:
            self.n_large_bytes += change
