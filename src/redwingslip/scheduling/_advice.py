"""Tickets for VMs, from an external service that decides which VMs may run a step."""

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Protocol

import msgspec

from ..clock import Clock
from ..observe import Event, EventName, EventSink
from .exceptions import OrderOutcomeUnknownError

__all__ = ["Advice", "AdviceCache", "AdviceSettings", "Adviser"]

StepKey = tuple[str, int, int]

# A step that none of its VMs may run asks about them again after this long, at first;
# the time doubles up to the maximum. An answer may lack VMs that may run the step.
ASK_AGAIN_AFTER = timedelta(seconds=5)
MAX_ASK_AGAIN_AFTER = timedelta(seconds=60)
# Time between two steps that ask again; the service accepts one call at a time.
ASK_AGAIN_INTERVAL = timedelta(seconds=1)


class Advice(msgspec.Struct, frozen=True, kw_only=True):
    """The VMs that may run a step.

    Attributes
    ----------
    tickets : dict of str to str
        Ticket by VM; a ticket proves to the endpoint that its VM may run the step.
    validity : timedelta
        How long the tickets are valid, counted from the request.
    """

    tickets: dict[str, str]
    validity: timedelta


class Adviser(Protocol):
    """Client of the service that decides which VMs may run a step."""

    async def request_advice(self, step: StepKey, vm_ids: tuple[str, ...]) -> Advice:
        """Return which of the given VMs may run a step, each with its ticket.

        The service accepts one call at a time.

        Raises
        ------
        OrderOutcomeUnknownError
            The service did not answer.
        """


class AdviceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the requests for advice.

    Attributes
    ----------
    max_vms : int
        Maximum number of VMs in one call; the service needs some time for each.
    margin : timedelta
        A ticket is not used if it expires within this time, since it could expire
        while the start order is in flight.
    retry_delay : timedelta
        Wait after a call without an answer.
    """

    max_vms: int = 24
    margin: timedelta = timedelta(milliseconds=400)
    retry_delay: timedelta = timedelta(milliseconds=200)


class _Ticket(msgspec.Struct, frozen=True):
    text: str
    expires_at: timedelta
    # Whether the last answer about the VM did not contain it.
    is_refused: bool = False


class _Request(msgspec.Struct, frozen=True):
    """A queued request; `besides` are VMs whose tickets are of no use to it."""

    pool: str
    besides: frozenset[str]


class _Refusals(msgspec.Struct):
    """How long the answers about a step's VMs without a ticket hold."""

    until: timedelta
    next_wait: timedelta


class AdviceCache:
    """Caches tickets and requests missing ones, one call at a time.

    Urgent requests are served first, in turn with others. A VM without a ticket is
    asked about again, rarely, while the step has no VM with one.

    Parameters
    ----------
    adviser : Adviser
        Client of the service.
    candidates : callable
        Returns the VMs of a pool in the order in which tickets should be requested.
    clock : Clock
        Clock of this process.
    events : EventSink
        Receives the events.
    on_advice : callable
        Called after each answer of the service.
    cfg : AdviceSettings
        The settings.
    """

    __slots__ = (
        "_adviser",
        "_asked_again_at",
        "_candidates",
        "_cfg",
        "_clock",
        "_events",
        "_on_advice",
        "_queried",
        "_refusals",
        "_replaced_vms",
        "_requests",
        "_tickets",
        "_urgent_requests",
        "_wake",
    )

    def __init__(
        self,
        *,
        adviser: Adviser,
        candidates: Callable[[str], tuple[str, ...]],
        clock: Clock,
        events: EventSink,
        on_advice: Callable[[], None],
        cfg: AdviceSettings,
    ) -> None:
        self._adviser = adviser
        self._candidates = candidates
        self._clock = clock
        self._events = events
        self._on_advice = on_advice
        self._cfg = cfg
        self._tickets: dict[StepKey, dict[str, _Ticket]] = {}
        self._queried: dict[StepKey, set[str]] = {}
        self._refusals: dict[StepKey, _Refusals] = {}
        self._asked_again_at: timedelta | None = None
        self._requests: dict[StepKey, _Request] = {}
        self._urgent_requests: dict[StepKey, _Request] = {}
        # VMs that were replaced since the call in flight was sent.
        self._replaced_vms: set[str] = set()
        self._wake = asyncio.Event()

    def tickets(
        self, step: StepKey, *, valid_for: timedelta = timedelta(0)
    ) -> Mapping[str, str]:
        """Return the tickets of a step that stay usable for a time, by VM."""
        usable_until = self._clock.monotonic() + self._cfg.margin + valid_for
        return {
            vm_id: ticket.text
            for vm_id, ticket in self._tickets.get(step, {}).items()
            if ticket.expires_at > usable_until
        }

    def has_answers(
        self, step: StepKey, pool: str, *, valid_for: timedelta = timedelta(0)
    ) -> bool:
        """Return whether the service has answered about all VMs of a pool.

        A VM whose ticket expires within `valid_for` is to be asked about again. False
        if no VM accepts runs, as at the beginning of a term.
        """
        candidates = self._candidates(pool)
        usable = self.tickets(step, valid_for=valid_for)
        granted = self._tickets.get(step, {})
        queried = self._queried.get(step, set())
        return bool(candidates) and all(
            vm_id in queried
            and (vm_id not in granted or vm_id in usable or granted[vm_id].is_refused)
            for vm_id in candidates
        )

    def request(
        self,
        step: StepKey,
        pool: str,
        *,
        is_urgent: bool = False,
        besides: frozenset[str] = frozenset(),
    ) -> None:
        """Queue a request for more tickets of a step; requests are served in order.

        VMs that were refused are asked about again, rarely, if all VMs with a ticket
        are among `besides`.
        """
        requests = self._urgent_requests if is_urgent else self._requests
        requests.setdefault(step, _Request(pool, besides))
        self._wake.set()

    def forget_job(self, job_id: str) -> None:
        """Drop the tickets and requests of a job that was removed from the state."""
        for by_step in (
            self._tickets,
            self._queried,
            self._refusals,
            self._requests,
            self._urgent_requests,
        ):
            for step in [step for step in by_step if step[0] == job_id]:
                del by_step[step]

    def forget_vm(self, vm_id: str) -> None:
        """Drop the tickets of a VM that was replaced by its next incarnation."""
        self._replaced_vms.add(vm_id)
        for tickets in self._tickets.values():
            tickets.pop(vm_id, None)
        for vm_ids in self._queried.values():
            vm_ids.discard(vm_id)

    async def run(self) -> None:
        """Serve the queued requests until cancelled."""
        was_urgent = False
        while True:
            while not self._urgent_requests and not self._requests:
                self._wake.clear()
                await self._wake.wait()
            # A step that finds no room asks again in each round.
            is_urgent = not self._requests or (
                bool(self._urgent_requests) and not was_urgent
            )
            was_urgent = is_urgent
            requests = self._urgent_requests if is_urgent else self._requests
            step = next(iter(requests))
            await self._request_advice(step, requests.pop(step))

    async def _request_advice(self, step: StepKey, request: _Request) -> None:
        pool = request.pool
        vm_ids = self._choose_vms(step, pool)
        if request.besides.issuperset(vm_ids) and self._drop_refusals(step, pool):
            vm_ids = self._choose_vms(step, pool)
        if not vm_ids:
            return
        requested_at = self._clock.monotonic()
        self._replaced_vms.clear()
        try:
            advice = await self._adviser.request_advice(step, vm_ids)
        except OrderOutcomeUnknownError as exc:
            self._events.emit(Event(name=EventName.WARNING, detail=str(exc)))
            await asyncio.sleep(self._cfg.retry_delay.total_seconds())
            return
        queried = self._queried.setdefault(step, set())
        tickets = self._tickets.setdefault(step, {})
        if not tickets.keys() >= set(vm_ids):
            # A renewal is no news about the VMs without a ticket.
            self._hold_refusals(step)
        queried.update(set(vm_ids) - self._replaced_vms)
        for vm_id in tickets.keys() & (set(vm_ids) - advice.tickets.keys()):
            tickets[vm_id] = msgspec.structs.replace(tickets[vm_id], is_refused=True)
        for vm_id, text in advice.tickets.items():
            if vm_id not in self._replaced_vms:
                tickets[vm_id] = _Ticket(text, requested_at + advice.validity)
        self._events.emit(
            Event(
                name=EventName.ADVICE_TAKEN,
                request_id=step[0],
                detail=f"step {step[2]}: {len(advice.tickets)} of {len(vm_ids)} VMs",
            )
        )
        self._on_advice()

    def _hold_refusals(self, step: StepKey) -> None:
        """Let the answers about a step hold from now on."""
        now = self._clock.monotonic()
        refusals = self._refusals.get(step)
        if refusals is None:
            refusals = self._refusals[step] = _Refusals(now, ASK_AGAIN_AFTER)
        refusals.until = now + refusals.next_wait

    def _drop_refusals(self, step: StepKey, pool: str) -> bool:
        """Forget the refused VMs of a step if it may ask about them again.

        Return whether it may.
        """
        refusals = self._refusals.get(step)
        now = self._clock.monotonic()
        if refusals is None or now < refusals.until or not self._candidates(pool):
            return False
        asked_at = self._asked_again_at
        if asked_at is not None and now - asked_at < ASK_AGAIN_INTERVAL:
            return False
        self._asked_again_at = now
        self._queried[step].intersection_update(self._tickets[step])
        refusals.next_wait = min(2 * refusals.next_wait, MAX_ASK_AGAIN_AFTER)
        return True

    def _choose_vms(self, step: StepKey, pool: str) -> tuple[str, ...]:
        """Return VMs that were granted a ticket before, then VMs not yet queried.

        Their number is limited to `max_vms`.
        """
        candidates = self._candidates(pool)
        approved = self._tickets.get(step, {})
        queried = self._queried.get(step, set())
        renewals = [vm_id for vm_id in candidates if vm_id in approved]
        new = [vm_id for vm_id in candidates if vm_id not in queried]
        return tuple((renewals + new)[: self._cfg.max_vms])
