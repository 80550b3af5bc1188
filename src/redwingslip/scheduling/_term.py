"""The term of one leader: what all parts of its scheduling share."""

from datetime import timedelta

from ..clock import Clock
from ..consensus import NotLeaderError, ProposalOutcomeUnknownError, Replica
from ..jobs import (
    Command,
    ForgetVm,
    JobsState,
    RecordEnds,
    RunEnd,
    SilentVm,
    VmRecord,
    encode_command,
)
from ..observe import Event, EventName, EventSink, Metrics
from .exceptions import CommandOutcomeUnknownError, NotLeadingError

__all__ = ["Term"]

MS = timedelta(milliseconds=1)


class Term:
    """A term of leadership: identity, clock, commands and events.

    Parameters
    ----------
    replica : Replica
        The replica that leads and commits commands.
    state : JobsState
        The replicated state of the jobs.
    clock : Clock
        Clock of this process.
    events : EventSink
        Receives the events.
    metrics : Metrics
        Receives the metrics.

    Attributes
    ----------
    fence : int
        Term of the consensus log; orders of an earlier leader carry a lower number.
    started_at : timedelta
        Monotonic time at which the term began.
    """

    __slots__ = (
        "_replica",
        "_wall_offset_ms",
        "clock",
        "events",
        "fence",
        "metrics",
        "started_at",
        "state",
    )

    def __init__(
        self,
        *,
        replica: Replica,
        state: JobsState,
        clock: Clock,
        events: EventSink,
        metrics: Metrics,
    ) -> None:
        self._replica = replica
        self.state = state
        self.clock = clock
        self.events = events
        self.metrics = metrics
        self.fence = replica.term
        self.started_at = clock.monotonic()
        wall_ms = int(clock.utcnow().timestamp() * 1000)
        self._wall_offset_ms = wall_ms - self.started_at // MS

    def is_leading(self) -> bool:
        """Return whether this replica leads in this term and no other can."""
        return self._is_current() and self._replica.has_quorum_lease()

    def _is_current(self) -> bool:
        """Return whether no later term is known; the replica may lead again in one."""
        return self._replica.term == self.fence

    def now_ms(self) -> int:
        """Return Unix time at the start of the term plus monotonic time since then."""
        return self._wall_offset_ms + self.clock.monotonic() // MS

    async def propose(self, command: Command) -> object:
        """Commit a command and return its outcome.

        Raises
        ------
        NotLeadingError
            The command was not committed and never will be.
        CommandOutcomeUnknownError
            The command may be committed or not.
        """
        if not self._is_current():
            raise NotLeadingError("a later term has begun")
        began_at = self.clock.monotonic()
        try:
            outcome = await self._replica.propose(encode_command(command))
        except NotLeaderError as exc:
            raise NotLeadingError("this replica does not lead") from exc
        except ProposalOutcomeUnknownError as exc:
            raise CommandOutcomeUnknownError(str(exc)) from exc
        self.metrics.record_commit(duration=self.clock.monotonic() - began_at)
        return outcome

    async def propose_or_log(self, command: Command) -> object:
        """Commit a command; log a warning and return None if leadership has ended."""
        try:
            return await self.propose(command)
        except (NotLeadingError, CommandOutcomeUnknownError) as exc:
            name = type(command).__name__
            self.emit(EventName.WARNING, detail=f"{name} was not confirmed: {exc}")
            return None

    async def record_ends(
        self,
        vm: VmRecord,
        ends: tuple[RunEnd, ...],
        cursor: int,
        *,
        is_silent: bool = False,
    ) -> None:
        """Commit ends of runs; return once committed or once leadership has ended."""
        command = RecordEnds(
            vm_id=vm.vm_id,
            born_ms=vm.born_ms,
            ends=ends,
            now_ms=self.now_ms(),
            cursor=cursor,
            is_silent=is_silent,
        )
        await self.propose_or_log(command)

    async def forget_vm(
        self,
        vm: VmRecord | SilentVm,
        reason: str,
        *,
        has_crashed: bool = False,
        is_silent: bool = False,
    ) -> None:
        """Remove an ended incarnation of a VM from the state, and log the reason."""
        self.emit(EventName.VM_LOST, vm=vm.vm_id, detail=reason)
        command = ForgetVm(
            vm_id=vm.vm_id,
            born_ms=vm.born_ms,
            now_ms=self.now_ms(),
            has_crashed=has_crashed,
            is_silent=is_silent,
        )
        await self.propose_or_log(command)

    def emit(
        self,
        name: EventName,
        *,
        request_id: str = "",
        vm: str = "",
        wave: str = "",
        detail: str = "",
    ) -> None:
        """Log an event with the number of this term."""
        event = Event(
            name=name,
            request_id=request_id,
            vm=vm,
            wave=wave,
            term=self.fence,
            detail=detail,
        )
        self.events.emit(event)
