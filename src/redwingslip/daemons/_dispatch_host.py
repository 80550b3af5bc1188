"""The dispatchers that run on an entry."""

import random
from collections.abc import Callable, Iterable
from datetime import timedelta
from functools import singledispatchmethod

from ..clock import Clock
from ..dispatch import (
    Dispatcher,
    DispatchSettings,
    Emitted,
    Granted,
    Output,
    Proposed,
    Refused,
    ToLeader,
)
from ..fleet import Change, Command, FleetView
from ..observe import Event, EventName, EventSink
from ..peers import (
    AllotmentRecall,
    EndpointReport,
    Message,
    PermitCancel,
    PermitDone,
    PermitRefusal,
    PermitRequest,
    RefusalReason,
)

__all__ = ["DispatchHost"]


class DispatchHost:
    """Runs a `Dispatcher` for each pool that is assigned to this entry.

    Parameters
    ----------
    cfg : DispatchSettings
        Settings of the dispatchers.
    entry_id, incarnation : str
        Id and incarnation of this entry.
    view : FleetView
        The entry's view, which contains the dispatcher lease of each pool.
    send : callable
        Called with an entry id and a message; the message may be lost.
    send_to_leader : callable
        Called with a message for the leader; the message may be lost.
    propose : callable
        Called with a command to commit; the command may be lost.
    clock : Clock
        The process's clock.
    rng : random.Random
        Randomises the times after which refused callers retry.
    events : EventSink
        Receives the events of the dispatchers.
    """

    __slots__ = (
        "_cfg",
        "_clock",
        "_dispatchers",
        "_entry_id",
        "_events",
        "_incarnation",
        "_is_stopping",
        "_propose",
        "_rng",
        "_send",
        "_send_to_leader",
        "_view",
    )

    def __init__(
        self,
        *,
        cfg: DispatchSettings,
        entry_id: str,
        incarnation: str,
        view: FleetView,
        send: Callable[[str, Message], None],
        send_to_leader: Callable[[Message], None],
        propose: Callable[[Command], None],
        clock: Clock,
        rng: random.Random,
        events: EventSink,
    ) -> None:
        self._cfg = cfg
        self._entry_id = entry_id
        self._incarnation = incarnation
        self._view = view
        self._send = send
        self._send_to_leader = send_to_leader
        self._propose = propose
        self._clock = clock
        self._rng = rng
        self._events = events
        self._dispatchers: dict[str, Dispatcher] = {}
        self._is_stopping = False

    @property
    def pools(self) -> tuple[str, ...]:
        """Return the pools whose dispatchers run on this entry, sorted."""
        return tuple(sorted(self._dispatchers))

    def view_changed(
        self, changes: Iterable[Change] | None, lease_ends_at: timedelta
    ) -> None:
        """Start, update and remove dispatchers after a change of the view.

        Parameters
        ----------
        changes : iterable of Change, or None
            The changes; None if the whole view was replaced.
        lease_ends_at : timedelta
            Monotonic time at which the entry's lease ends.
        """
        now = self._clock.monotonic()
        changes = None if changes is None else tuple(changes)
        self._remove_lost_dispatchers(now)
        for dispatcher in self._dispatchers.values():
            dispatcher.view_changed(now, changes)
            self._flush(dispatcher)
        self._start_new_dispatchers(now, lease_ends_at)

    def _remove_lost_dispatchers(self, now: timedelta) -> None:
        """Remove the dispatchers whose lease no longer exists or has another epoch."""
        for pool, dispatcher in list(self._dispatchers.items()):
            lease = self._view.dispatchers.get(pool)
            if lease is None or lease.epoch != dispatcher.epoch:
                dispatcher.view_changed(now, None)
                self._flush(dispatcher)
                del self._dispatchers[pool]
                self._emit(EventName.DISPATCH_STOPPED, dispatcher)

    def _start_new_dispatchers(self, now: timedelta, lease_ends_at: timedelta) -> None:
        """Start a dispatcher for each pool newly assigned to this incarnation."""
        for pool, lease in self._view.dispatchers.items():
            is_own = (lease.entry_id, lease.incarnation) == (
                self._entry_id,
                self._incarnation,
            )
            if not is_own or pool in self._dispatchers:
                continue
            dispatcher = Dispatcher(
                pool=pool,
                epoch=lease.epoch,
                cfg=self._cfg,
                view=self._view,
                rng=self._rng,
            )
            dispatcher.set_lease_end(lease_ends_at)
            dispatcher.view_changed(now, None)
            if self._is_stopping:
                dispatcher.stop_granting(now)
            self._dispatchers[pool] = dispatcher
            self._emit(EventName.DISPATCH_STARTED, dispatcher)
            self._flush(dispatcher)

    def set_lease_end(self, ends_at: timedelta) -> None:
        """Set the monotonic time at which the entry's lease ends."""
        for dispatcher in self._dispatchers.values():
            dispatcher.set_lease_end(ends_at)

    def tick(self) -> None:
        """Do the time-dependent work of every dispatcher."""
        now = self._clock.monotonic()
        for dispatcher in list(self._dispatchers.values()):
            dispatcher.tick(now)
            self._flush(dispatcher)

    def stop_granting(self) -> None:
        """Stop granting permits, before the pools are handed over."""
        self._is_stopping = True
        now = self._clock.monotonic()
        for dispatcher in self._dispatchers.values():
            dispatcher.stop_granting(now)
            self._flush(dispatcher)

    def releasable(self) -> list[tuple[str, int]]:
        """Return pool and epoch of each dispatcher that may be handed over."""
        now = self._clock.monotonic()
        return [
            (pool, dispatcher.epoch)
            for pool, dispatcher in self._dispatchers.items()
            if dispatcher.may_hand_over(now)
        ]

    @singledispatchmethod
    def receive(self, msg: Message) -> None:
        """Forward a message to the dispatcher of its pool."""
        raise TypeError(f"not a message for a dispatcher: {type(msg).__name__}")

    @receive.register
    def _(self, msg: PermitRequest) -> None:
        dispatcher = self._dispatchers.get(msg.pool)
        if dispatcher is not None:
            dispatcher.request(msg, self._clock.monotonic())
            self._flush(dispatcher)
            return
        refusal = PermitRefusal(
            request_id=msg.request_id,
            pool=msg.pool,
            reason=RefusalReason.NOT_DISPATCHER,
        )
        self._send(msg.entry_id, refusal)

    @receive.register
    def _(self, msg: PermitCancel) -> None:
        dispatcher = self._dispatchers.get(msg.pool)
        if dispatcher is not None:
            dispatcher.cancel(msg, self._clock.monotonic())
            self._flush(dispatcher)

    @receive.register
    def _(self, msg: PermitDone) -> None:
        dispatcher = self._dispatchers.get(msg.pool)
        if dispatcher is not None:
            dispatcher.done(msg, self._clock.monotonic())
            self._flush(dispatcher)

    @receive.register
    def _(self, msg: AllotmentRecall) -> None:
        dispatcher = self._dispatchers.get(msg.pool)
        if dispatcher is not None:
            dispatcher.recall(msg, self._clock.monotonic())
            self._flush(dispatcher)

    @receive.register
    def _(self, msg: EndpointReport) -> None:
        record = self._view.vms.get(msg.vm)
        dispatcher = None if record is None else self._dispatchers.get(record.pool)
        if dispatcher is not None:
            dispatcher.report(msg, self._clock.monotonic())
            self._flush(dispatcher)

    def _flush(self, dispatcher: Dispatcher) -> None:
        """Carry out the pending outputs of a dispatcher."""
        for output in dispatcher.take_outputs():
            self._carry_out(output)

    @singledispatchmethod
    def _carry_out(self, output: Output) -> None:
        raise TypeError(f"not an output of a dispatcher: {type(output).__name__}")

    @_carry_out.register
    def _(self, output: Granted) -> None:
        self._send(output.entry_id, output.permit)

    @_carry_out.register
    def _(self, output: Refused) -> None:
        self._send(output.entry_id, output.refusal)

    @_carry_out.register
    def _(self, output: Proposed) -> None:
        self._propose(output.command)

    @_carry_out.register
    def _(self, output: ToLeader) -> None:
        self._send_to_leader(output.message)

    @_carry_out.register
    def _(self, output: Emitted) -> None:
        self._events.emit(output.event)

    def _emit(self, name: EventName, dispatcher: Dispatcher) -> None:
        event = Event(name=name, pool=dispatcher.pool, epoch=dispatcher.epoch)
        self._events.emit(event)
