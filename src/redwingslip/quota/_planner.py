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
from ._outputs import Proposed, QuotaOutput, Recalled
from ._settings import QuotaSettings
from ._waterfill import water_fill

__all__ = ["AllotmentPlanner"]

HYSTERESIS = 32
"""A lack below this fraction of the limit is not worth a recall."""


class _Demand:
    """The newest demand of a pool."""

    __slots__ = ("epoch", "heard_at", "n_slots", "teams")

    def __init__(self, msg: PoolDemand, now: timedelta) -> None:
        self.epoch = msg.epoch
        self.heard_at = now
        self.n_slots = msg.n_slots
        self.teams = {team.team: team for team in msg.teams}


class _Settling:
    """Since when a team's limit is in force, and how long a silent pool is awaited."""

    __slots__ = ("patience", "since")

    def __init__(self, since: timedelta, patience: timedelta) -> None:
        self.since = since
        self.patience = patience


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
        "_by_team",
        "_cfg",
        "_demands",
        "_dirty",
        "_held",
        "_in_force_index",
        "_new_limits",
        "_outputs",
        "_said",
        "_settling",
        "_view",
    )

    def __init__(self, *, cfg: QuotaSettings, view: FleetView) -> None:
        self._cfg = cfg
        self._view = view
        self._demands: dict[str, _Demand] = {}
        self._by_team: dict[str, set[str]] = {}
        self._held: dict[str, dict[str, Allotment]] = {}
        self._dirty: set[str] = set()
        self._outputs: list[QuotaOutput] = []
        self._in_force_index = 0
        self._settling: dict[str, _Settling] = {}
        self._new_limits: dict[str, timedelta] = {}
        self._said: dict[tuple[str, str], tuple[QuotaOutput, timedelta]] = {}
        self._read_view()

    def take_outputs(self) -> list[QuotaOutput]:
        """Return what is to be done since the last call, in order."""
        outputs, self._outputs = self._outputs, []
        return outputs

    # Inputs.

    def demand(self, msg: PoolDemand, now: timedelta) -> None:
        """Take a pool's demand."""
        lease = self._view.dispatchers.get(msg.pool)
        if lease is None or lease.epoch != msg.epoch:
            return
        known = self._demands.get(msg.pool)
        new = _Demand(msg, now)
        before = {} if known is None else known.teams
        self._demands[msg.pool] = new
        for team in before.keys() | new.teams.keys():
            if before.get(team) != new.teams.get(team):
                self._by_team.setdefault(team, set()).add(msg.pool)
                self._dirty.add(team)
        self._plan_dirty(now)

    def view_changed(
        self, now: timedelta, changes: Iterable[Change] | None = None
    ) -> None:
        """Take over that the view has changed, by these changes only if given."""
        if changes is None:
            self._read_view()
            self._dirty.update(self._by_team)
        else:
            for change in changes:
                self._take_row(change.row)
        self._plan_dirty(now)

    def in_force(self, index: int, now: timedelta) -> None:
        """Take over that every entry has applied the log up to an index.

        A team gets no allotment before the change that gave it its limit is in force.
        """
        self._in_force_index = max(self._in_force_index, index)
        for team in [name for name in self._new_limits if self._is_in_force(name)]:
            self._settling[team] = _Settling(now, self._new_limits.pop(team))
        self._dirty.update(self._by_team)
        self._plan_dirty(now)

    def tick(self, now: timedelta) -> None:
        """Repeat what had no effect; to be called a few times a second."""
        self._dirty.update(self._by_team)
        self._plan_dirty(now)

    # The view.

    def _read_view(self) -> None:
        for team, resource in self._view.resources[Kind.TEAM].items():
            if resource.spec.limit is not None and team not in self._settling:
                self._new_limits[team] = self._cfg.stale_after
        self._held = {}
        for allotment in self._view.allotments.values():
            self._held.setdefault(allotment.team, {})[allotment.pool] = allotment

    @singledispatchmethod
    def _take_row(self, row: object) -> None:
        """Take over one changed row of the view."""

    @_take_row.register
    def _(self, row: Allotment) -> None:
        self._held.setdefault(row.team, {})[row.pool] = row
        self._dirty.add(row.team)

    @_take_row.register
    def _(self, row: Resource) -> None:
        if not isinstance(row.spec, TeamSpec):
            return
        self._dirty.add(row.name)
        if row.spec.limit is None:
            self._settling.pop(row.name, None)
            self._new_limits.pop(row.name, None)
        elif row.name not in self._settling:
            self._new_limits[row.name] = self._cfg.longest_run

    @_take_row.register
    def _(self, row: RemovedRow) -> None:
        if row.table is Table.ALLOTMENTS:
            team, pool = row.key
            self._held.get(team, {}).pop(pool, None)
            self._dirty.add(team)

    # Planning.

    def _plan_dirty(self, now: timedelta) -> None:
        names, self._dirty = self._dirty, set()
        for team in sorted(names):
            self._plan(team, now)

    def _plan(self, team: str, now: timedelta) -> None:
        limit = self._view.team(team).limit
        if limit is None or not self._is_in_force(team):
            return
        wishes = self._wishes(team, now)
        held = {p: a.count for p, a in self._held.get(team, {}).items() if a.count}
        parts = water_fill(limit, wishes)
        lacks = {
            pool: part - held.get(pool, 0)
            for pool, part in parts.items()
            if part > held.get(pool, 0)
        }
        free = limit - self._taken(team, held)
        if lacks and free > 0 and self._is_settled(team, now):
            self._grant(team, lacks, free, now)
        n_over = sum(held.values()) - limit
        if n_over > 0 or self._is_worth_recall(lacks, held, limit, free):
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
        if now - settling.since >= settling.patience:
            return True
        return all(
            pool in self._demands and self._demands[pool].heard_at >= settling.since
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

    def _wishes(self, team: str, now: timedelta) -> dict[str, int]:
        """Return what each pool could use, the least first."""
        wishes = {}
        for pool in self._by_team.get(team, ()):
            demand = self._demands[pool]
            asked = demand.teams.get(team)
            is_stale = now - demand.heard_at >= self._cfg.stale_after
            if asked is None or is_stale or pool not in self._view.dispatchers:
                continue
            n_wanted = asked.n_running + asked.n_waiting
            wishes[pool] = min(n_wanted, max(demand.n_slots, asked.n_running))
        return dict(sorted(wishes.items(), key=lambda item: (item[1], item[0])))

    def _taken(self, team: str, held: dict[str, int]) -> int:
        """Return how much of the limit is allotted or in use beyond an allotment.

        Work that began while the team had no limit is in use without an allotment.
        """
        taken = sum(held.values())
        for pool in self._by_team.get(team, ()):
            asked = self._demands[pool].teams.get(team)
            if asked is not None and pool in self._view.dispatchers:
                taken += max(asked.n_running - held.get(pool, 0), 0)
        return taken

    def _grant(
        self,
        team: str,
        lacks: dict[str, int],
        free: int,
        now: timedelta,
    ) -> None:
        for pool, added in water_fill(free, lacks).items():
            if not added:
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
