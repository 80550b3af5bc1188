"""How much of the time that a move of machines takes jobs can't wait for."""

__all__ = ["JobUrgency"]

# The latest job counts with this weight.
NEW_WEIGHT = 0.05


class JobUrgency:
    """Mean part of the lead that the jobs of a pool can't wait for, weighted by load.

    Jobs that can wait until machines have been moved need no reserve. A reserve serves
    the others until the machines arrive.

    Attributes
    ----------
    value : float
        From 0, all jobs can wait for the whole lead, to 1, none can wait at all. It is
        1 before the first job with short tasks.
    """

    __slots__ = ("_load", "_urgent_load", "value")

    def __init__(self) -> None:
        self._load = 0.0
        self._urgent_load = 0.0
        self.value = 1.0

    def record(self, load: float, slack_ms: float, lead_ms: int) -> None:
        """Record a job.

        Parameters
        ----------
        load : float
            Load that one such job per second causes; 0 for one without short tasks.
        slack_ms : float
            Time by which it may start late and still end by its deadline.
        lead_ms : int
            Time from the order to move a machine until it serves.
        """
        if load <= 0:
            return
        urgency = min(1.0, max(0.0, 1 - slack_ms / max(1, lead_ms)))
        self._load += NEW_WEIGHT * (load - self._load)
        self._urgent_load += NEW_WEIGHT * (load * urgency - self._urgent_load)
        self.value = self._urgent_load / self._load
