"""How the commands on entries and dispatchers apply."""

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
    known = tables.view.entries.get(cmd.entry_id)
    if known is not None and known.incarnation != cmd.incarnation:
        return NotAdmitted(reason="the older incarnation has not expired")
    record = EntryRecord(
        entry_id=cmd.entry_id,
        incarnation=cmd.incarnation,
        address=cmd.address,
        data_centre=cmd.data_centre,
    )
    if record != known:
        tables.put(record)
    return tables.accepted()


@apply_command.register
def _(cmd: ExpireEntry, tables: Tables) -> Outcome:
    known = tables.view.entries.get(cmd.entry_id)
    if known is None or known.incarnation != cmd.incarnation:
        return NotAdmitted(reason="not the registered incarnation")
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
        return NotAdmitted(reason="the entry is not registered")
    if tables.view.pool(cmd.pool) is None:
        return NotAdmitted(reason="there is no such pool")
    if cmd.pool in tables.view.dispatchers:
        return NotAdmitted(reason="the pool has a dispatcher")
    tables.put(
        DispatcherLease(
            pool=cmd.pool,
            entry_id=cmd.entry_id,
            incarnation=cmd.incarnation,
            epoch=tables.index,
        )
    )
    _forget_health(tables, cmd.pool)
    return tables.accepted()


def _forget_health(tables: Tables, pool: str) -> None:
    """Take the VMs that an earlier dispatcher saw as unknown until they are seen."""
    for vm in tables.view.vms_of(pool):
        if vm.health is VmHealth.UP:
            tables.put(msgspec.structs.replace(vm, health=VmHealth.UNKNOWN))


@apply_command.register
def _(cmd: ReleaseDispatcher, tables: Tables) -> Outcome:
    if not tables.is_current(cmd.pool, cmd.epoch):
        return NotAdmitted(reason="not the current epoch")
    tables.remove(Table.DISPATCHERS, cmd.pool)
    return tables.accepted()
