"""Handlers of the commands on entries and dispatchers."""

import msgspec

from ._commands import (
    AssignDispatcher,
    ExpireEntry,
    MarkTakeover,
    RegisterEntry,
    ReleaseDispatcher,
)
from ._outcomes import NotAdmitted, Outcome
from ._resources import VmHealth
from ._tables import Tables, apply_command
from ._view import DispatcherLease, EntryRecord, Table


@apply_command.register
def _(cmd: MarkTakeover, tables: Tables) -> Outcome:
    return tables.accepted()


@apply_command.register
def _(cmd: RegisterEntry, tables: Tables) -> Outcome:
    current = tables.view.entries.get(cmd.entry_id)
    if current is not None and current.incarnation != cmd.incarnation:
        return NotAdmitted(reason="the older incarnation has not expired")
    record = EntryRecord(
        entry_id=cmd.entry_id,
        incarnation=cmd.incarnation,
        address=cmd.address,
        data_centre=cmd.data_centre,
    )
    if record != current:
        tables.put(record)
    return tables.accepted()


@apply_command.register
def _(cmd: ExpireEntry, tables: Tables) -> Outcome:
    current = tables.view.entries.get(cmd.entry_id)
    if current is None or current.incarnation != cmd.incarnation:
        return NotAdmitted(reason="the entry is not registered with this incarnation")
    tables.remove(Table.ENTRIES, cmd.entry_id)
    for lease in list(tables.view.dispatchers.values()):
        if lease.entry_id == cmd.entry_id:
            tables.remove(Table.DISPATCHERS, lease.pool)
    tables.claims.expire(cmd.entry_id, cmd.incarnation)
    return tables.accepted()


@apply_command.register
def _(cmd: AssignDispatcher, tables: Tables) -> Outcome:
    entry = tables.view.entries.get(cmd.entry_id)
    if entry is None or entry.incarnation != cmd.incarnation:
        return NotAdmitted(reason="the entry is not registered with this incarnation")
    if tables.view.pool(cmd.pool) is None:
        return NotAdmitted(reason="the pool does not exist")
    if cmd.pool in tables.view.dispatchers:
        return NotAdmitted(reason="the pool already has a dispatcher")
    tables.put(
        DispatcherLease(
            pool=cmd.pool,
            entry_id=cmd.entry_id,
            incarnation=cmd.incarnation,
            epoch=tables.index,
        )
    )
    _reset_health(tables, cmd.pool)
    return tables.accepted()


def _reset_health(tables: Tables, pool: str) -> None:
    """Mark healthy VMs as unknown until the new dispatcher reports their health."""
    for vm in tables.view.vms_of(pool):
        if vm.health is VmHealth.UP:
            tables.put(msgspec.structs.replace(vm, health=VmHealth.UNKNOWN))


@apply_command.register
def _(cmd: ReleaseDispatcher, tables: Tables) -> Outcome:
    if not tables.is_current(cmd.pool, cmd.epoch):
        return NotAdmitted(reason="not the epoch of the pool's current dispatcher")
    tables.remove(Table.DISPATCHERS, cmd.pool)
    return tables.accepted()
