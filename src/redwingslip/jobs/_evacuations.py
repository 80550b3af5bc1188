"""Data centres in which nothing is started, at the request of operators."""

import msgspec

__all__ = ["Evacuations"]

# Longer than any ramp after the end of an evacuation.
FINISHED_RETENTION_MS = 600_000


class Evacuations(msgspec.Struct, kw_only=True):
    """The data centres that are being evacuated, and those that were until lately.

    Attributes
    ----------
    started : dict of str to int
        Unix time in milliseconds of the start of each evacuation, by data centre.
    finished : dict of str to int
        Unix time in milliseconds of the end of each recent one.
    """

    started: dict[str, int] = msgspec.field(default_factory=dict)
    finished: dict[str, int] = msgspec.field(default_factory=dict)

    def includes(self, data_centre: str) -> bool:
        """Return whether nothing may be started in a data centre."""
        return data_centre in self.started

    def start(self, data_centre: str, now_ms: int) -> bool:
        """Start the evacuation of a data centre; return whether it is new."""
        if data_centre in self.started:
            return False
        self.started[data_centre] = now_ms
        self.finished.pop(data_centre, None)
        return True

    def finish(self, data_centre: str, now_ms: int) -> bool:
        """Finish the evacuation of a data centre; return whether there was one."""
        if self.started.pop(data_centre, None) is None:
            return False
        oldest_ms = now_ms - FINISHED_RETENTION_MS
        self.finished = {n: ms for n, ms in self.finished.items() if ms > oldest_ms}
        self.finished[data_centre] = now_ms
        return True
