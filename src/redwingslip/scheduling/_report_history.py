"""What the earlier reports of a VM say about the next one."""

from collections.abc import Callable
from datetime import timedelta

from ..clock import Clock
from ..jobs import VmRecord

__all__ = ["ReportHistory"]

# Longer than a report is on its way. One that comes later was sent after the report
# that it contradicts.
MAX_REPORT_DELAY = timedelta(seconds=20)
# A few may be held back for longer, or come from another writer.
N_REPORTS_TO_REFUTE = 5
# Above this number of incarnations, those that are not known any more are forgotten.
MAX_INCARNATIONS = 10_000


class _Claim:
    """What a report says, until enough later reports contradict it."""

    __slots__ = ("_last_against", "_n_against", "at")

    def __init__(self, at: timedelta) -> None:
        self.at = at
        self._n_against = 0
        self._last_against = -1

    def contradict(self, sequence: int, now: timedelta) -> None:
        """Count a report that contradicts the claim."""
        if now - self.at > MAX_REPORT_DELAY:
            self._n_against = self._count_with(sequence)
            self._last_against = sequence

    def is_refuted_by(self, sequence: int, now: timedelta) -> bool:
        """Return whether a report is the last that is needed to refute the claim."""
        if now - self.at <= MAX_REPORT_DELAY:
            return False
        return self._count_with(sequence) >= N_REPORTS_TO_REFUTE

    def _count_with(self, sequence: int) -> int:
        """Return how many reports in a row have rising numbers, with a further one."""
        return self._n_against + 1 if sequence > self._last_against else 1


class _Reports:
    """The reports of one incarnation.

    Attributes
    ----------
    sequence : int
        Number of the last report in use.
    number : _Claim
        That reports with a lower number are outdated.
    """

    __slots__ = ("number", "sequence")

    def __init__(self, sequence: int, now: timedelta) -> None:
        self.sequence = sequence
        self.number = _Claim(now)


class ReportHistory:
    """The reports that a leader has received, by incarnation.

    The numbers of the true reports of an incarnation rise, and once one has told that
    it is draining, all later ones do. What a false or damaged report says holds until
    several later ones, with rising numbers, contradict it.

    Parameters
    ----------
    clock : Clock
        Clock of this process.
    started_at : timedelta
        Monotonic time at which the term began. Until then an earlier leader may have
        received a drain.
    is_known : callable
        Returns whether the state has an incarnation, by the name and the start of its
        VM.
    """

    __slots__ = (
        "_clock",
        "_drains",
        "_is_known",
        "_max_incarnations",
        "_reports",
        "_started_at",
    )

    def __init__(
        self,
        clock: Clock,
        started_at: timedelta,
        is_known: Callable[[str, int], bool],
    ) -> None:
        self._clock = clock
        self._is_known = is_known
        self._max_incarnations = MAX_INCARNATIONS
        self._started_at = started_at
        self._reports: dict[tuple[str, int], _Reports] = {}
        self._drains: dict[tuple[str, int], _Claim] = {}

    def is_outdated(self, vm: VmRecord, sequence: int) -> bool:
        """Return whether a later report of the incarnation was received before."""
        reports = self._reports.get((vm.vm_id, vm.born_ms))
        if reports is None or sequence >= reports.sequence:
            return False
        return not reports.number.is_refuted_by(sequence, self._clock.monotonic())

    def refutes_drain(self, vm: VmRecord, sequence: int) -> bool:
        """Return whether a report shows that its incarnation did not begin to drain."""
        drain = self._drains.get((vm.vm_id, vm.born_ms))
        if vm.is_draining or drain is None:
            return False
        return drain.is_refuted_by(sequence, self._clock.monotonic())

    def note(self, vm: VmRecord, sequence: int) -> None:
        """Note a report that is used."""
        now = self._clock.monotonic()
        incarnation = (vm.vm_id, vm.born_ms)
        reports = self._reports.get(incarnation)
        if reports is None or sequence != reports.sequence:
            self._reports[incarnation] = _Reports(sequence, now)
        if vm.is_draining:
            self.note_drain(vm)
        else:
            drain = self._drains.setdefault(incarnation, _Claim(self._started_at))
            drain.contradict(sequence, now)
        if len(self._drains) > self._max_incarnations:
            self._forget_unknown(now)

    def note_outdated(self, vm: VmRecord, sequence: int) -> None:
        """Note a report that is not used, or only for its drain."""
        reports = self._reports.get((vm.vm_id, vm.born_ms))
        if reports is None:
            return
        if sequence < reports.sequence:
            reports.number.contradict(sequence, self._clock.monotonic())
        if vm.is_draining:
            self.note_drain(vm)

    def note_drain(self, vm: VmRecord) -> None:
        """Note that an incarnation has told that it is leaving."""
        self._drains[(vm.vm_id, vm.born_ms)] = _Claim(self._clock.monotonic())

    def note_end(self, vm: VmRecord) -> None:
        """Note that an incarnation, or a later one of its VM, is known to have left."""
        self._drains.setdefault((vm.vm_id, vm.born_ms), _Claim(self._clock.monotonic()))

    def _forget_unknown(self, now: timedelta) -> None:
        """Forget incarnations that are not known, and of which no report may come."""
        self._drains = {
            incarnation: claim
            for incarnation, claim in self._drains.items()
            if self._is_known(*incarnation) or self._is_recent(incarnation, now)
        }
        self._reports = {
            incarnation: reports
            for incarnation, reports in self._reports.items()
            if incarnation in self._drains
        }
        self._max_incarnations = max(MAX_INCARNATIONS, 2 * len(self._drains))

    def _is_recent(self, incarnation: tuple[str, int], now: timedelta) -> bool:
        reports = self._reports.get(incarnation)
        claims = [self._drains[incarnation]]
        if reports is not None:
            claims.append(reports.number)
        return any(now - claim.at <= MAX_REPORT_DELAY for claim in claims)
