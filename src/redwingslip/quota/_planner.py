"""The leader's allotment planner, as a state machine without I/O."""

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
from ._team_usage import LimitActivation, ReportedDemand, TeamUsage
from ._waterfill import water_fill

__all__ = ["AllotmentPlanner"]

HYSTERESIS_DIVISOR = 32
"""Shortfalls of up to the limit divided by this number cause no recall."""

# How long after the issue of its permit work may still start: the start window of a
# permit plus a margin for clock differences.
START_MARGIN = timedelta(seconds=5)


class AllotmentPlanner:
    """Divides each team's upper limit among the pools according to their demand.

    A pool requests a slot for each of the team's running and waiting requests there, up
    to the number of slots of the pool. The limit is divided over these requested slots
    by water-filling. An allotment above a pool's share is recalled only while another
    pool has a shortfall, so a pool whose queue has become empty keeps its allotment
    until it is needed elsewhere.

    The planner does not enforce the limit: the replicated state rejects a grant that
    would raise the sum of the allotments above it.

    Parameters
    ----------
    cfg : QuotaSettings
        The settings.
    view : FleetView
        The leader's view. The caller keeps it up to date.
    """

    __slots__ = (
        "_activations",
        "_cfg",
        "_demands",
        "_dirty",
        "_in_force_index",
        "_last_emitted",
        "_n_demands",
        "_outputs",
        "_pending_limits",
        "_usages",
        "_view",
    )

    def __init__(self, *, cfg: QuotaSettings, view: FleetView) -> None:
        self._cfg = cfg
        self._view = view
        self._demands: dict[str, ReportedDemand] = {}
        self._usages: dict[str, TeamUsage] = {}
        self._dirty: set[str] = set()
        self._outputs: list[QuotaOutput] = []
        self._in_force_index = 0
        self._n_demands = 0
        self._activations: dict[str, LimitActivation] = {}
        self._pending_limits: set[str] = set()
        self._last_emitted: dict[tuple[str, str], tuple[QuotaOutput, timedelta]] = {}
        self._load_view()

    def take_outputs(self) -> list[QuotaOutput]:
        """Return the outputs since the last call, in order, and clear them."""
        outputs, self._outputs = self._outputs, []
        return outputs

    # Inputs.

    def handle_demand(self, msg: PoolDemand, now: timedelta) -> None:
        """Handle a pool's demand report.

        A report of a dispatcher that has been replaced is ignored.
        """
        lease = self._view.dispatchers.get(msg.pool)
        if lease is None or lease.epoch != msg.epoch:
            return
        previous = self._demands.get(msg.pool)
        previous_teams = {} if previous is None else previous.teams
        self._n_demands += 1
        new = self._demands[msg.pool] = ReportedDemand(msg, self._n_demands, now)
        is_full_update = (
            previous is None or previous.is_stale or previous.n_slots != new.n_slots
        )
        for team in previous_teams.keys() | new.teams.keys():
            if is_full_update or previous_teams.get(team) != new.teams.get(team):
                self._note_demand(team, msg.pool, new)
                self._follow_demand(team, msg.pool, now)

    def _note_demand(self, team: str, pool: str, demand: ReportedDemand) -> None:
        team_demand = demand.teams.get(team)
        if team_demand is None:
            self._usage(team).set_demand(pool, 0, 0)
            return
        n_wanted = team_demand.n_running + team_demand.n_waiting
        n_requested = min(n_wanted, max(demand.n_slots, team_demand.n_running))
        self._usage(team).set_demand(pool, n_requested, team_demand.n_running)

    def _usage(self, team: str) -> TeamUsage:
        usage = self._usages.get(team)
        if usage is None:
            usage = self._usages[team] = TeamUsage()
        return usage

    def view_changed(
        self, now: timedelta, changes: Iterable[Change] | None = None
    ) -> None:
        """Update the planner after a change of the view.

        Parameters
        ----------
        now : timedelta
            Monotonic time.
        changes : iterable of Change or None
            The changes; None if the whole view was replaced.
        """
        if changes is None:
            self._load_view()
            self._dirty.update(self._usages)
        else:
            for change in changes:
                self._apply_row(change.row)
        self._plan_dirty(now)

    def handle_in_force(self, index: int, now: timedelta) -> None:
        """Record that every entry has applied the log up to `index`.

        A team gets no allotments before its limit is in force on every entry.
        """
        self._in_force_index = max(self._in_force_index, index)
        for team in [name for name in self._pending_limits if self._is_in_force(name)]:
            self._pending_limits.discard(team)
            self._activations[team] = LimitActivation(now, self._n_demands)
        self._dirty.update(self._usages)
        self._plan_dirty(now)

    def tick(self, now: timedelta) -> None:
        """Discount stale demand, divide all limits and repeat outputs without effect.

        The caller calls this a few times a second.
        """
        self._discount_stale_demands(now)
        self._dirty.update(self._usages)
        self._plan_dirty(now)

    # The view.

    def _load_view(self) -> None:
        for team, resource in self._view.resources[Kind.TEAM].items():
            if resource.spec.limit is not None and team not in self._activations:
                self._pending_limits.add(team)
        for team, usage in self._usages.items():
            for pool in [
                p for p in usage.allotted if (team, p) not in self._view.allotments
            ]:
                usage.set_allotted(pool, 0)
        for allotment in self._view.allotments.values():
            self._usage(allotment.team).set_allotted(allotment.pool, allotment.count)

    @singledispatchmethod
    def _apply_row(self, row: object) -> None:
        """Apply one changed row of the view."""

    @_apply_row.register
    def _(self, row: Allotment) -> None:
        self._usage(row.team).set_allotted(row.pool, row.count)
        self._dirty.add(row.team)

    @_apply_row.register
    def _(self, row: Resource) -> None:
        if not isinstance(row.spec, TeamSpec):
            return
        self._dirty.add(row.name)
        if row.spec.limit is None:
            self._activations.pop(row.name, None)
            self._pending_limits.discard(row.name)
        elif row.name not in self._activations:
            self._pending_limits.add(row.name)

    @_apply_row.register
    def _(self, row: RemovedRow) -> None:
        if row.table is Table.ALLOTMENTS:
            team, pool = row.key
            self._usage(team).set_allotted(pool, 0)
            self._dirty.add(team)
        elif row.table is Table.RESOURCES and row.key[0] == Kind.POOL:
            self._forget_pool(row.key[1])

    def _forget_pool(self, pool: str) -> None:
        demand = self._demands.pop(pool, None)
        for team in () if demand is None else demand.teams:
            self._usage(team).set_demand(pool, 0, 0)

    # Planning.

    def _discount_stale_demands(self, now: timedelta) -> None:
        """Set the requested slots of pools that stopped reporting to zero.

        Their running requests still count.
        """
        for pool, demand in self._demands.items():
            is_stale = now - demand.received_at >= self._cfg.stale_after
            if not is_stale or demand.is_stale:
                continue
            demand.is_stale = True
            for team, team_demand in demand.teams.items():
                self._usage(team).set_demand(pool, 0, team_demand.n_running)

    def _follow_demand(self, team: str, pool: str, now: timedelta) -> None:
        """Adjust the allotments to a changed demand.

        If the limit covers all requested slots and enough of it is free, the pool's
        shortfall is granted immediately. Otherwise the limit is divided, at most once
        per `plan_interval`.
        """
        limit = self._view.team(team).limit
        usage = self._usage(team)
        if limit is None or not self._is_in_force(team):
            return
        shortfall = usage.shortfall(pool)
        free = limit - usage.n_allotted - usage.n_excess
        if usage.n_requested <= limit and shortfall <= max(free, 0):
            if shortfall > 0 and self._is_settled(team, now):
                self._grant(team, {pool: shortfall}, shortfall, now)
            return
        is_first = usage.planned_at is None
        if is_first or now - usage.planned_at >= self._cfg.plan_interval:
            self._plan(team, now)
        else:
            self._dirty.add(team)

    def _plan_dirty(self, now: timedelta) -> None:
        names, self._dirty = self._dirty, set()
        for team in sorted(names):
            self._plan(team, now)

    def _plan(self, team: str, now: timedelta) -> None:
        """Divide a team's limit among all pools."""
        limit = self._view.team(team).limit
        if limit is None or not self._is_in_force(team):
            return
        usage = self._usage(team)
        usage.planned_at = now
        requested = sorted(usage.requested.items(), key=lambda item: (item[1], item[0]))
        shares = water_fill(limit, dict(requested))
        allotted = usage.allotted
        shortfalls = {
            pool: share - allotted.get(pool, 0)
            for pool, share in shares.items()
            if share > allotted.get(pool, 0)
        }
        free = limit - usage.n_allotted - usage.n_excess
        if shortfalls and free > 0 and self._is_settled(team, now):
            self._grant(team, shortfalls, free, now)
        is_over_limit = usage.n_allotted > limit
        if is_over_limit or self._is_worth_recall(shortfalls, allotted, limit, free):
            self._recall(team, shares, allotted, now)

    def _is_in_force(self, team: str) -> bool:
        """Return whether every dispatcher applies the team's limit.

        A dispatcher that does not know the limit yet may start work beyond its
        allotment.
        """
        resource = self._view.resources[Kind.TEAM].get(team)
        return resource is not None and resource.version <= self._in_force_index

    def _is_settled(self, team: str, now: timedelta) -> bool:
        """Return whether all work that started before the limit is accounted for.

        Every dispatcher must have reported its running work since the limit came into
        force. If one does not report, the planner waits for the longest time that such
        work can run.
        """
        activation = self._activations.get(team)
        if activation is None:
            return False
        if not activation.is_settled:
            is_late = now - activation.since >= self._longest_run()
            activation.is_settled = is_late or self._all_reported(activation.number)
        return activation.is_settled

    def _longest_run(self) -> timedelta:
        """Return how long work that started under an older view may run."""
        queues = self._view.resources[Kind.QUEUE].values()
        max_runs = [resource.spec.max_run for resource in queues]
        return max(
            [self._cfg.longest_run, *(max_run + START_MARGIN for max_run in max_runs)]
        )

    def _all_reported(self, number: int) -> bool:
        return all(
            pool in self._demands and self._demands[pool].number > number
            for pool in self._view.dispatchers
        )

    def _is_worth_recall(
        self,
        shortfalls: dict[str, int],
        allotted: dict[str, int],
        limit: int,
        free: int,
    ) -> bool:
        """Return whether the shortfalls justify recalling allotments of other pools.

        Hysteresis prevents small changes of demand from moving single slots between
        pools. A pool without an allotment always gets its share.
        """
        if sum(shortfalls.values()) <= max(free, 0):
            return False
        slack = limit // HYSTERESIS_DIVISOR
        return any(
            shortfall > slack or pool not in allotted
            for pool, shortfall in shortfalls.items()
        )

    def _grant(
        self,
        team: str,
        shortfalls: dict[str, int],
        free: int,
        now: timedelta,
    ) -> None:
        for pool, added in water_fill(free, shortfalls).items():
            if not added or pool not in self._view.dispatchers:
                continue
            allotment = self._view.allotment(team, pool)
            # The expected version makes the grant fail if a return was applied first.
            command = GrantAllotment(
                team=team,
                pool=pool,
                count=allotment.count + added,
                if_version=allotment.version,
            )
            self._emit(team, pool, Proposed(command=command), now)

    def _recall(
        self,
        team: str,
        shares: dict[str, int],
        allotted: dict[str, int],
        now: timedelta,
    ) -> None:
        """Request that pools return what exceeds their share."""
        for pool, count in allotted.items():
            share = shares.get(pool, 0)
            lease = self._view.dispatchers.get(pool)
            if count <= share or lease is None:
                continue
            message = AllotmentRecall(
                team=team, pool=pool, epoch=lease.epoch, count=share
            )
            self._emit(
                team, pool, Recalled(entry_id=lease.entry_id, message=message), now
            )

    def _emit(self, team: str, pool: str, output: QuotaOutput, now: timedelta) -> None:
        """Emit an output unless the same one was emitted within `repeat`."""
        last = self._last_emitted.get((team, pool))
        is_repeated = last is not None and last[0] == output
        if is_repeated and now - last[1] < self._cfg.repeat:
            return
        self._last_emitted[team, pool] = (output, now)
        self._outputs.append(output)
