"""Handlers of the commands on allotments of team limits."""

from ._commands import GrantAllotment, ReturnAllotment
from ._outcomes import Conflict, NotAdmitted, Outcome
from ._tables import Tables, apply_command
from ._view import Allotment


@apply_command.register
def _(cmd: GrantAllotment, tables: Tables) -> Outcome:
    limit = tables.view.team(cmd.team).limit
    current = tables.view.allotment(cmd.team, cmd.pool)
    if current.version != cmd.if_version:
        return Conflict(version=current.version)
    if limit is None or cmd.pool not in tables.view.dispatchers:
        return NotAdmitted(
            reason="the team has no limit, or the pool has no dispatcher"
        )
    n_added = cmd.count - current.count
    if n_added <= 0 or tables.view.allotted(cmd.team) + n_added > limit:
        return NotAdmitted(
            reason=f"team {cmd.team} may not exceed its limit of {limit}"
        )
    _put_allotment(tables, cmd.team, cmd.pool, cmd.count)
    return tables.accepted()


@apply_command.register
def _(cmd: ReturnAllotment, tables: Tables) -> Outcome:
    if not tables.is_current(cmd.pool, cmd.epoch):
        return NotAdmitted(reason="not the epoch of the pool's current dispatcher")
    current = tables.view.allotment(cmd.team, cmd.pool)
    if current.version != cmd.if_version:
        return Conflict(version=current.version)
    if not 0 <= cmd.count < current.count:
        return NotAdmitted(
            reason="the new size must be at least 0 and below the current size"
        )
    _put_allotment(tables, cmd.team, cmd.pool, cmd.count)
    return tables.accepted()


def _put_allotment(tables: Tables, team: str, pool: str, count: int) -> None:
    tables.put(Allotment(team=team, pool=pool, count=count, version=tables.index))
