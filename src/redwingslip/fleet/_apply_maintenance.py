"""Handlers of the commands on maintenance."""

import msgspec

from ._budget import drain_problem
from ._commands import (
    BeginMaintenance,
    CancelMaintenance,
    CompleteMaintenance,
    MarkRebooted,
)
from ._outcomes import NotAdmitted, Outcome
from ._resources import Kind, VmHealth, VmPhase
from ._tables import Tables, apply_command
from ._view import VmRecord


@apply_command.register
def _(cmd: BeginMaintenance, tables: Tables) -> Outcome:
    record = tables.view.vms.get(cmd.vm)
    wave = tables.view.waves.get(cmd.wave)
    spec = tables.view.spec(Kind.WAVE, cmd.wave)
    if wave is None or record is None or cmd.wave not in record.waits_for:
        return NotAdmitted(reason="the wave has no pending maintenance of this VM")
    if spec.paused or wave.n_active >= spec.max_parallel:
        return NotAdmitted(reason="the wave is paused or has reached max_parallel")
    reason = drain_problem(tables.view, record)
    if reason is not None:
        return NotAdmitted(reason=reason)
    tables.put(
        msgspec.structs.replace(
            record,
            phase=VmPhase.MAINTENANCE,
            wave=cmd.wave,
            waits_for=tuple(name for name in record.waits_for if name != cmd.wave),
            drain_index=tables.index,
        )
    )
    tables.put(wave.with_counts_added(pending=-1, active=1))
    return tables.accepted()


@apply_command.register
def _(cmd: MarkRebooted, tables: Tables) -> Outcome:
    record = tables.view.vms.get(cmd.vm)
    if not _is_before_reboot(record, cmd.wave, cmd.drain_index):
        return NotAdmitted(reason="the VM is not waiting for this reboot")
    tables.put(
        msgspec.structs.replace(
            record,
            health=VmHealth.UNKNOWN,
            assigned_at=tables.index,
            rebooted=True,
        )
    )
    return tables.accepted()


@apply_command.register
def _(cmd: CancelMaintenance, tables: Tables) -> Outcome:
    record = tables.view.vms.get(cmd.vm)
    if not _is_before_reboot(record, cmd.wave, cmd.drain_index):
        return NotAdmitted(reason="the VM is not waiting for this reboot")
    tables.put(tables.view.waves[cmd.wave].with_counts_added(active=-1, skipped=1))
    tables.put(
        msgspec.structs.replace(record, phase=VmPhase.SERVING, wave="", drain_index=0)
    )
    return tables.accepted()


@apply_command.register
def _(cmd: CompleteMaintenance, tables: Tables) -> Outcome:
    record = tables.view.vms.get(cmd.vm)
    if record is None or not cmd.wave or record.wave != cmd.wave:
        return NotAdmitted(reason="the VM is not in the wave's maintenance")
    if not record.rebooted or record.health is not VmHealth.UP:
        return NotAdmitted(reason="the VM is not rebooted, or its endpoints are not up")
    tables.put(
        msgspec.structs.replace(
            record,
            phase=VmPhase.SERVING,
            wave="",
            rebooted=False,
            joined=True,
            drain_index=0,
        )
    )
    tables.put(tables.view.waves[cmd.wave].with_counts_added(active=-1, done=1))
    return tables.accepted()


def _is_before_reboot(record: VmRecord | None, wave: str, drain_index: int) -> bool:
    return (
        record is not None
        and record.phase is VmPhase.MAINTENANCE
        and (record.wave, record.drain_index) == (wave, drain_index)
        and not record.rebooted
    )
