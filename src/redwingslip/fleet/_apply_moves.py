"""Handlers of the reports on VMs and of the commands on moves between pools."""

import msgspec

from ._budget import drain_problem
from ._commands import BeginMove, CancelMove, CompleteMove, ReportVm
from ._outcomes import NotAdmitted, Outcome
from ._placement import desired_pool, is_loan_allowed, is_move_wanted
from ._resources import VmHealth, VmPhase
from ._tables import Tables, apply_command
from ._view import Table, VmRecord


@apply_command.register
def _(cmd: ReportVm, tables: Tables) -> Outcome:
    record = tables.view.vms.get(cmd.vm)
    if record is None or record.pool != cmd.pool:
        return NotAdmitted(reason="the VM is not in that pool")
    if record.assigned_at != cmd.assigned_at:
        return NotAdmitted(reason="the report refers to an older assignment")
    if not tables.is_current(cmd.pool, cmd.epoch):
        return NotAdmitted(reason="not the epoch of the pool's current dispatcher")
    # A VM whose endpoints first come up during a drain has not served in its pool,
    # so its absence does not count against the budget.
    is_serving = record.phase is VmPhase.SERVING and cmd.health is VmHealth.UP
    joined = record.joined or is_serving
    tables.put(msgspec.structs.replace(record, health=cmd.health, joined=joined))
    return tables.accepted()


@apply_command.register
def _(cmd: BeginMove, tables: Tables) -> Outcome:
    record = tables.view.vms.get(cmd.vm)
    reason = drain_problem(tables.view, record) or _target_problem(tables, cmd, record)
    if reason is not None:
        return NotAdmitted(reason=reason)
    tables.put(
        msgspec.structs.replace(
            record,
            phase=VmPhase.LEAVING,
            move_to=cmd.to_pool,
            drain_index=tables.index,
            lent=cmd.loan,
        )
    )
    return tables.accepted()


def _target_problem(tables: Tables, cmd: BeginMove, record: VmRecord) -> str | None:
    """Return why a VM can't move to a pool, or None if it can."""
    target = tables.view.pool(cmd.to_pool)
    if target is None or cmd.to_pool == record.pool:
        return "the target pool does not exist or already holds the VM"
    if not cmd.loan:
        is_desired = cmd.to_pool == desired_pool(tables.view, record)
        return None if is_desired else "the VM's specification names another pool"
    if target.spare or not is_loan_allowed(tables.view, record):
        return "loans go from spare pools to others, on sites that allow moves"
    return None


@apply_command.register
def _(cmd: CancelMove, tables: Tables) -> Outcome:
    record = tables.view.vms.get(cmd.vm)
    if not _is_leaving(record, cmd.drain_index) or record.removing:
        return NotAdmitted(reason="the VM is not in this drain or is being removed")
    is_home = record.pool == desired_pool(tables.view, record)
    tables.put(
        msgspec.structs.replace(
            record,
            phase=VmPhase.SERVING,
            move_to="",
            drain_index=0,
            lent=record.lent and not is_home,
        )
    )
    return tables.accepted()


@apply_command.register
def _(cmd: CompleteMove, tables: Tables) -> Outcome:
    record = tables.view.vms.get(cmd.vm)
    if not _is_leaving(record, cmd.drain_index):
        return NotAdmitted(reason="the VM is not in this drain")
    if not tables.is_current(record.pool, cmd.epoch):
        return NotAdmitted(reason="not the epoch of the pool's current dispatcher")
    if record.removing:
        tables.remove(Table.VMS, cmd.vm)
        return tables.accepted()
    if not is_move_wanted(tables.view, record):
        return NotAdmitted(reason="the move is no longer wanted")
    tables.put(
        msgspec.structs.replace(
            record,
            pool=record.move_to,
            phase=VmPhase.SERVING,
            health=VmHealth.UNKNOWN,
            move_to="",
            assigned_at=tables.index,
            joined=False,
            drain_index=0,
        )
    )
    return tables.accepted()


def _is_leaving(record: VmRecord | None, drain_index: int) -> bool:
    return (
        record is not None
        and record.phase is VmPhase.LEAVING
        and record.drain_index == drain_index
    )
