"""The planner of allotments, beside the leader."""

from datetime import timedelta

from ..fleet import FleetView, GrantAllotment
from ..peers import AllotmentRecall, PoolDemand, TeamDemand

__all__ = ["AllotmentPlanner"]


class AllotmentPlanner:
    """Lets the teams' allotments follow the pools' demand.

    The latest demand of each pool decides. A limit that is used up is freed by
    recalling from pools what they do not use.
    """

    __slots__ = ("_demands",)

    def __init__(self) -> None:
        self._demands: dict[str, PoolDemand] = {}

    def demand(self, msg: PoolDemand, now: timedelta) -> None:
        """Take in what a pool is asked for."""
        self._demands[msg.pool] = msg

    def plan(
        self, view: FleetView, now: timedelta
    ) -> list[GrantAllotment | AllotmentRecall]:
        """Return what to propose and to send now."""
        outputs: list[GrantAllotment | AllotmentRecall] = []
        for pool, demand in self._demands.items():
            lease = view.dispatchers.get(pool)
            if lease is None or lease.epoch != demand.epoch:
                continue
            for team in demand.teams:
                outputs += self._grant_or_recall(view, pool, team)
        return outputs

    def _grant_or_recall(
        self, view: FleetView, pool: str, team: TeamDemand
    ) -> list[GrantAllotment | AllotmentRecall]:
        limit = view.team(team.team).limit
        current = view.allotment(team.team, pool)
        n_missing = team.n_running + team.n_waiting - current.count
        if limit is None or n_missing <= 0:
            return []
        n_free = limit - view.allotted(team.team)
        if n_free <= 0:
            return self._recalls(view, pool, team.team, n_missing)
        grant = GrantAllotment(
            team=team.team,
            pool=pool,
            count=current.count + min(n_free, n_missing),
            if_version=current.version,
        )
        return [grant]

    def _recalls(
        self, view: FleetView, pool: str, team: str, n_missing: int
    ) -> list[AllotmentRecall]:
        recalls = []
        for (other_team, other), allotment in view.allotments.items():
            lease = view.dispatchers.get(other)
            if other_team != team or other == pool or lease is None:
                continue
            if allotment.count:
                recalls.append(
                    AllotmentRecall(
                        team=team,
                        pool=other,
                        epoch=lease.epoch,
                        count=min(n_missing, allotment.count),
                    )
                )
        return recalls
