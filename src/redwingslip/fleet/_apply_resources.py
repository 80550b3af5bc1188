"""Handlers of the writes by operators."""

import msgspec

from ._budget import budget_violation
from ._commands import DeleteResource, PutResource
from ._outcomes import Conflict, Invalid, NotAdmitted, Outcome
from ._resources import Kind, Resource, VmHealth, VmPhase, VmSpec, WaveSpec, kind_of
from ._tables import Tables, apply_command
from ._validation import deletion_problem, spec_problem
from ._view import Table, VmRecord, WaveRecord


@apply_command.register
def _(cmd: PutResource, tables: Tables) -> Outcome:
    return tables.operations.run_once(cmd, lambda: _write(cmd, tables))


@apply_command.register
def _(cmd: DeleteResource, tables: Tables) -> Outcome:
    return tables.operations.run_once(cmd, lambda: _delete(cmd, tables))


def _version_conflict(
    tables: Tables, kind: Kind, name: str, if_version: int | None
) -> Conflict | None:
    resource = tables.view.resources[kind].get(name)
    version = 0 if resource is None else resource.version
    if if_version is None or if_version == version:
        return None
    return Conflict(version=version)


def _write(cmd: PutResource, tables: Tables) -> Outcome:
    kind = kind_of(cmd.spec)
    conflict = _version_conflict(tables, kind, cmd.name, cmd.if_version)
    if conflict is not None:
        return conflict
    problem = spec_problem(cmd.spec, cmd.name, tables.view)
    if problem is not None:
        return problem
    if kind is Kind.VM and _is_removing(tables, cmd.name):
        return NotAdmitted(reason=f"VM {cmd.name} is still being removed")
    old_spec = tables.view.spec(kind, cmd.name)
    tables.put(Resource(name=cmd.name, spec=cmd.spec, version=tables.index))
    if isinstance(cmd.spec, VmSpec):
        _put_vm(tables, cmd.name, cmd.spec, old_spec)
    if isinstance(cmd.spec, WaveSpec):
        _put_wave(tables, cmd.name, cmd.spec)
    return tables.accepted()


def _is_removing(tables: Tables, vm: str) -> bool:
    record = tables.view.vms.get(vm)
    return record is not None and record.removing


def _put_vm(tables: Tables, name: str, spec: VmSpec, old_spec: VmSpec | None) -> None:
    """Create or update the record of a declared VM; a new desired pool ends a loan."""
    record = tables.view.vms.get(name)
    if record is None:
        record = VmRecord(name=name, pool=spec.pool, assigned_at=tables.index)
    if old_spec is not None and old_spec.pool != spec.pool:
        record = msgspec.structs.replace(record, lent=False)
    record = msgspec.structs.replace(
        record, data_centre=spec.data_centre, rack=spec.rack, slots=spec.slots
    )
    tables.put(record)


def _put_wave(tables: Tables, name: str, spec: WaveSpec) -> None:
    """Create the record of a new wave and mark its VMs as pending.

    The wave covers the VMs that are in its pools when it is declared.
    """
    if name in tables.view.waves:
        return
    vms = [
        vm
        for vm in tables.view.vms.values()
        if not vm.removing and (not spec.pools or vm.pool in spec.pools)
    ]
    tables.put(WaveRecord(name=name, n_pending=len(vms)))
    for vm in vms:
        waits_for = (*vm.waits_for, name)
        tables.put(msgspec.structs.replace(vm, waits_for=waits_for))


def _delete(cmd: DeleteResource, tables: Tables) -> Outcome:
    conflict = _version_conflict(tables, cmd.kind, cmd.name, cmd.if_version)
    if conflict is not None:
        return conflict
    if cmd.name not in tables.view.resources[cmd.kind]:
        return Invalid(field="name", reason=f"there is no {cmd.kind}/{cmd.name}")
    problem = deletion_problem(cmd.kind, cmd.name, tables.view)
    if problem is not None:
        return problem
    if cmd.kind is Kind.VM:
        reason = _remove_vm(tables, cmd.name)
        if reason is not None:
            return NotAdmitted(reason=reason)
    if cmd.kind is Kind.WAVE:
        if tables.view.waves[cmd.name].n_active:
            reason = "the wave has VMs in maintenance; pause it first"
            return NotAdmitted(reason=reason)
        _remove_wave(tables, cmd.name)
    if cmd.kind is Kind.POOL:
        _remove_pool_state(tables, cmd.name)
    tables.remove(Table.RESOURCES, cmd.kind, cmd.name)
    return tables.accepted()


def _remove_vm(tables: Tables, name: str) -> str | None:
    """Start draining a VM for its removal; return why this is rejected, or None.

    The budgets are not checked for a VM that is down or has not come back from its
    reboot, because its removal takes away no further capacity.
    """
    record = tables.view.vms[name]
    is_awaiting_return = record.phase is VmPhase.MAINTENANCE and record.rebooted
    if record.phase is not VmPhase.SERVING and not is_awaiting_return:
        return f"VM {name} is {record.phase}"
    if not is_awaiting_return and record.health is not VmHealth.DOWN:
        reason = budget_violation(tables.view, record)
        if reason is not None:
            return reason
    for wave in record.waits_for:
        tables.put(tables.view.waves[wave].with_counts_added(pending=-1, skipped=1))
    if record.wave:
        tables.put(
            tables.view.waves[record.wave].with_counts_added(active=-1, skipped=1)
        )
    tables.put(
        msgspec.structs.replace(
            record,
            phase=VmPhase.LEAVING,
            removing=True,
            wave="",
            waits_for=(),
            rebooted=False,
            drain_index=tables.index,
        )
    )
    return None


def _remove_wave(tables: Tables, name: str) -> None:
    tables.remove(Table.WAVES, name)
    for vm in tables.view.pending_vms(name):
        waits_for = tuple(wave for wave in vm.waits_for if wave != name)
        tables.put(msgspec.structs.replace(vm, waits_for=waits_for))


def _remove_pool_state(tables: Tables, pool: str) -> None:
    tables.remove(Table.DISPATCHERS, pool)
    for team, allotment_pool in list(tables.view.allotments):
        if allotment_pool == pool:
            tables.remove(Table.ALLOTMENTS, team, allotment_pool)
