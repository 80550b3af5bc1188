"""The planner of allotments, on the leader, as a plain state machine."""

from collections.abc import Iterable
from datetime import timedelta
from functools import singledispatchmethod

from ..fleet import (
    Allotment,
    Change,
    FleetView,
    GrantAllotment,
    Kind,
    Resource,
    Table,
    TeamSpec,
)
from ..fleet import Removed as RemovedRow
from ..peers import AllotmentRecall, PoolDemand
from ._book import Book, Demand, Settling
from ._outputs import Proposed, QuotaOutput, Recalled
from ._settings import QuotaSettings
from ._waterfill import water_fill

__all__ = ["AllotmentPlanner"]

HYSTERESIS = 32
"""A lack below this fraction of the limit is not worth a recall."""

# The start window of a permit and the margin of the clocks.
START_MARGIN = timedelta(seconds=5)


class AllotmentPlanner:
    """Divides each team's upper limit among the pools by their demand.

    A pool may ask for what the team has running and waiting there, up to the pool's
    slots. The limit is water-filled over these wishes. What a pool holds above its
    part is recalled only while another pool lacks it, so a queue that has fallen
    empty keeps its allotment until it is wanted elsewhere.

    Nothing here is relied upon for the limit itself: the replicated state refuses a
    grant that would take the sum above it.

    Parameters
    ----------
    cfg : QuotaSettings
        Settings.
    view : FleetView
        The leader's view, up to date at each call.
    """

    __slots__ = (
        "_books",
        "_cfg",
        "_demands",
        "_dirty",
        "_in_force_index",
        "_n_demands",
        "_new_limits",
        "_outputs",
        "_said",
        "_settling",
        "_view",
    )

    def __init__(self, *, cfg: QuotaSettings, view: FleetView) -> None:
        self._cfg = cfg
        self._view = view
        self._demands: dict[str, Demand] = {}
        self._books: dict[str, Book] = {}
        self._dirty: set[str] = set()
        self._outputs: list[QuotaOutput] = []
        self._in_force_index = 0
        self._n_demands = 0
        self._settling: dict[str, Settling] = {}
        self._new_limits: set[str] = set()
        self._said: dict[tuple[str, str], tuple[QuotaOutput, timedelta]] = {}
        self._read_view()

    def take_outputs(self) -> list[QuotaOutput]:
        """Return what is to be done since the last call, in order."""
        outputs, self._outputs = self._outputs, []
        return outputs

    # Inputs.

    def handle_demand(self, msg: PoolDemand, now: timedelta) -> None:
        """Take a pool's demand."""
        lease = self._view.dispatchers.get(msg.pool)
        if lease is None or lease.epoch != msg.epoch:
            return
        known = self._demands.get(msg.pool)
        before = {} if known is None else known.teams
        self._n_demands += 1
        new = self._demands[msg.pool] = Demand(msg, self._n_demands, now)
        is_fresh = known is None or known.is_stale or known.n_slots != new.n_slots
        for team in before.keys() | new.teams.keys():
            if is_fresh or before.get(team) != new.teams.get(team):
                self._note_demand(team, msg.pool, new)
                self._follow(team, msg.pool, now)

    def _note_demand(self, team: str, pool: str, demand: Demand) -> None:
        asked = demand.teams.get(team)
        if asked is None:
            self._book(team).set_demand(pool, 0, 0)
            return
        n_wanted = asked.n_running + asked.n_waiting
        wish = min(n_wanted, max(demand.n_slots, asked.n_running))
        self._book(team).set_demand(pool, wish, asked.n_running)

    def _book(self, team: str) -> Book:
        book = self._books.get(team)
        if book is None:
            book = self._books[team] = Book()
        return book

    def view_changed(
        self, now: timedelta, changes: Iterable[Change] | None = None
    ) -> None:
        """Take over that the view has changed, by these changes only if given."""
        if changes is None:
            self._read_view()
            self._dirty.update(self._books)
        else:
            for change in changes:
                self._take_row(change.row)
        self._plan_dirty(now)

    def handle_in_force(self, index: int, now: timedelta) -> None:
        """Take over that every entry has applied the log up to an index.

        A team gets no allotment before the change that gave it its limit is in force.
        """
        self._in_force_index = max(self._in_force_index, index)
        for team in [name for name in self._new_limits if self._is_in_force(name)]:
            self._new_limits.discard(team)
            self._settling[team] = Settling(now, self._n_demands)
        self._dirty.update(self._books)
        self._plan_dirty(now)

    def tick(self, now: timedelta) -> None:
        """Repeat what had no effect; to be called a few times a second."""
        self._forget_silent(now)
        self._dirty.update(self._books)
        self._plan_dirty(now)

    # The view.

    def _read_view(self) -> None:
        for team, resource in self._view.resources[Kind.TEAM].items():
            if resource.spec.limit is not None and team not in self._settling:
                self._new_limits.add(team)
        for team, book in self._books.items():
            for pool in [
                p for p in book.held if (team, p) not in self._view.allotments
            ]:
                book.set_held(pool, 0)
        for allotment in self._view.allotments.values():
            self._book(allotment.team).set_held(allotment.pool, allotment.count)

    @singledispatchmethod
    def _take_row(self, row: object) -> None:
        """Take over one changed row of the view."""

    @_take_row.register
    def _(self, row: Allotment) -> None:
        self._book(row.team).set_held(row.pool, row.count)
        self._dirty.add(row.team)

    @_take_row.register
    def _(self, row: Resource) -> None:
        if not isinstance(row.spec, TeamSpec):
            return
        self._dirty.add(row.name)
        if row.spec.limit is None:
            self._settling.pop(row.name, None)
            self._new_limits.discard(row.name)
        elif row.name not in self._settling:
            self._new_limits.add(row.name)

    @_take_row.register
    def _(self, row: RemovedRow) -> None:
        if row.table is Table.ALLOTMENTS:
            team, pool = row.key
            self._book(team).set_held(pool, 0)
            self._dirty.add(team)
        elif row.table is Table.RESOURCES and row.key[0] == Kind.POOL:
            self._forget_pool(row.key[1])

    def _forget_pool(self, pool: str) -> None:
        demand = self._demands.pop(pool, None)
        for team in () if demand is None else demand.teams:
            self._book(team).set_demand(pool, 0, 0)

    # Planning.

    def _forget_silent(self, now: timedelta) -> None:
        """Count the wishes of pools that are not heard as zero; their work goes on."""
        for pool, demand in self._demands.items():
            is_stale = now - demand.heard_at >= self._cfg.stale_after
            if not is_stale or demand.is_stale:
                continue
            demand.is_stale = True
            for team, asked in demand.teams.items():
                self._book(team).set_demand(pool, 0, asked.n_running)

    def _follow(self, team: str, pool: str, now: timedelta) -> None:
        """Follow a changed demand: at once when there is enough for all."""
        limit = self._view.team(team).limit
        book = self._book(team)
        if limit is None or not self._is_in_force(team):
            return
        lack = book.lack(pool)
        free = limit - book.n_held - book.n_excess
        if book.n_wished <= limit and lack <= max(free, 0):
            if lack > 0 and self._is_settled(team, now):
                self._grant(team, {pool: lack}, lack, now)
            return
        is_due = book.planned_at is None
        if is_due or now - book.planned_at >= self._cfg.plan_interval:
            self._plan(team, now)
        else:
            self._dirty.add(team)

    def _plan_dirty(self, now: timedelta) -> None:
        names, self._dirty = self._dirty, set()
        for team in sorted(names):
            self._plan(team, now)

    def _plan(self, team: str, now: timedelta) -> None:
        """Divide a team's limit among all pools anew."""
        limit = self._view.team(team).limit
        if limit is None or not self._is_in_force(team):
            return
        book = self._book(team)
        book.planned_at = now
        wishes = sorted(book.wishes.items(), key=lambda item: (item[1], item[0]))
        parts = water_fill(limit, dict(wishes))
        held = book.held
        lacks = {
            pool: part - held.get(pool, 0)
            for pool, part in parts.items()
            if part > held.get(pool, 0)
        }
        free = limit - book.n_held - book.n_excess
        if lacks and free > 0 and self._is_settled(team, now):
            self._grant(team, lacks, free, now)
        is_over = book.n_held > limit
        if is_over or self._is_worth_recall(lacks, held, limit, free):
            self._recall(team, parts, held, now)

    def _is_in_force(self, team: str) -> bool:
        """Return whether every dispatcher keeps to the team's limit by now.

        One that still takes the team for unlimited may start more than it has.
        """
        resource = self._view.resources[Kind.TEAM].get(team)
        return resource is not None and resource.version <= self._in_force_index

    def _is_settled(self, team: str, now: timedelta) -> bool:
        """Return whether all work that began before the limit is known.

        Every dispatcher must have said what runs since the limit came in force; for
        one that does not, the time in which such work ends is waited out.
        """
        settling = self._settling.get(team)
        if settling is None:
            return False
        if not settling.is_over:
            is_late = now - settling.since >= self._longest_run()
            settling.is_over = is_late or self._all_said(settling.number)
        return settling.is_over

    def _longest_run(self) -> timedelta:
        """Return how long work that began under an older view may go on."""
        queues = self._view.resources[Kind.QUEUE].values()
        runs = [resource.spec.max_run for resource in queues]
        return max([self._cfg.longest_run, *(run + START_MARGIN for run in runs)])

    def _all_said(self, number: int) -> bool:
        return all(
            pool in self._demands and self._demands[pool].number > number
            for pool in self._view.dispatchers
        )

    def _is_worth_recall(
        self, lacks: dict[str, int], held: dict[str, int], limit: int, free: int
    ) -> bool:
        """Return whether a pool lacks enough for another to give something back.

        Hysteresis keeps small changes of demand from moving single units about; a
        pool that holds nothing gets its part in any case.
        """
        if sum(lacks.values()) <= max(free, 0):
            return False
        slack = limit // HYSTERESIS
        return any(lack > slack or pool not in held for pool, lack in lacks.items())

    def _grant(
        self,
        team: str,
        lacks: dict[str, int],
        free: int,
        now: timedelta,
    ) -> None:
        for pool, added in water_fill(free, lacks).items():
            if not added or pool not in self._view.dispatchers:
                continue
            allotment = self._view.allotment(team, pool)
            # The version makes a grant that was overtaken by a return fail.
            command = GrantAllotment(
                team=team,
                pool=pool,
                count=allotment.count + added,
                if_version=allotment.version,
            )
            self._say(team, pool, Proposed(command=command), now)

    def _recall(
        self, team: str, parts: dict[str, int], held: dict[str, int], now: timedelta
    ) -> None:
        """Ask the pools that hold more than their part to give it back."""
        for pool, count in held.items():
            part = parts.get(pool, 0)
            lease = self._view.dispatchers.get(pool)
            if count <= part or lease is None:
                continue
            message = AllotmentRecall(
                team=team, pool=pool, epoch=lease.epoch, count=part
            )
            self._say(
                team, pool, Recalled(entry_id=lease.entry_id, message=message), now
            )

    def _say(self, team: str, pool: str, output: QuotaOutput, now: timedelta) -> None:
        """Put an output out, unless the same one was put out a moment ago."""
        said = self._said.get((team, pool))
        is_said = said is not None and said[0] == output
        if is_said and now - said[1] < self._cfg.repeat:
            return
        self._said[team, pool] = (output, now)
        self._outputs.append(output)
