"""One leadership: what all of its parts share."""

from datetime import timedelta

from ..clock import Clock
from ..consensus import NotLeaderError, ProposalOutcomeUnknownError, Replica
from ..jobs import (
    Command,
    ForgetVm,
    JobsState,
    RecordEnds,
    RunEnd,
    VmRecord,
    encode_command,
)
from ..observe import Event, EventName, EventSink, Metrics
from .exceptions import CommandLostError, NotLeadingError

__all__ = ["Term"]

MS = timedelta(milliseconds=1)


class Term:
    """A leadership, from its beginning to its end.

    Parameters
    ----------
    replica : Replica
        Leads, and has commands committed.
    state : JobsState
        The replicated state.
    clock : Clock
        The time.
    events : EventSink
        Takes the events.
    metrics : Metrics
        Takes the metrics.

    Attributes
    ----------
    fence : int
        The log's term: orders of an earlier leader carry a lower one.
    since : timedelta
        Monotonic time at which it began.
    """

    __slots__ = (
        "_replica",
        "_wall_offset_ms",
        "clock",
        "events",
        "fence",
        "metrics",
        "since",
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
        self.since = clock.monotonic()
        wall_ms = int(clock.utcnow().timestamp() * 1000)
        self._wall_offset_ms = wall_ms - self.since // MS

    def is_leading(self) -> bool:
        """Return whether no other leader can exist."""
        return self._replica.has_quorum_lease()

    def now_ms(self) -> int:
        """Return Unix time as it was when leadership began, steady since then."""
        return self._wall_offset_ms + self.clock.monotonic() // MS

    async def propose(self, command: Command) -> object:
        """Have a command committed and return its outcome.

        Raises
        ------
        NotLeadingError
            The command was not taken.
        CommandLostError
            The command may have been taken or not.
        """
        began_at = self.clock.monotonic()
        try:
            outcome = await self._replica.propose(encode_command(command))
        except NotLeaderError as exc:
            raise NotLeadingError("this replica does not lead") from exc
        except ProposalOutcomeUnknownError as exc:
            raise CommandLostError(str(exc)) from exc
        self.metrics.record_commit(duration=self.clock.monotonic() - began_at)
        return outcome

    async def propose_or_log(self, command: Command) -> object:
        """Have a command committed; None, and a log line, when leadership is over."""
        try:
            return await self.propose(command)
        except (NotLeadingError, CommandLostError) as exc:
            name = type(command).__name__
            self.emit(EventName.WARNING, detail=f"{name} not taken: {exc}")
            return None

    async def record_ends(
        self, vm: VmRecord, ends: tuple[RunEnd, ...], cursor: int
    ) -> None:
        """Have ends recorded; return once they are, or leadership is over."""
        command = RecordEnds(
            vm_id=vm.vm_id,
            born_ms=vm.born_ms,
            ends=ends,
            now_ms=self.now_ms(),
            cursor=cursor,
        )
        await self.propose_or_log(command)

    async def forget_vm(self, vm: VmRecord, reason: str) -> None:
        """Have a life dropped that is over."""
        self.emit(EventName.VM_LOST, vm=vm.vm_id, detail=reason)
        command = ForgetVm(vm_id=vm.vm_id, born_ms=vm.born_ms, now_ms=self.now_ms())
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
        """Log an event of this leadership."""
        event = Event(
            name=name,
            request_id=request_id,
            vm=vm,
            wave=wave,
            term=self.fence,
            detail=detail,
        )
        self.events.emit(event)
