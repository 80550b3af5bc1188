"""The replicated state machine of the fleet.

Every replica applies the same commands in the same order. The state refuses what
would break a promise, so that no race between proposers can: two operators with the
same version, two waves that want the last spare VM, two claims of one request.
"""

from datetime import datetime
from functools import singledispatchmethod

import msgspec

from ._budget import budget_violation
from ._commands import (
    AssignDispatcher,
    BeginMaintenance,
    BeginMove,
    CancelMaintenance,
    CancelMove,
    Claim,
    ClaimKey,
    ClaimOutcome,
    Command,
    CompleteMaintenance,
    CompleteMove,
    DeleteResource,
    ExpireEntry,
    ForgetClaims,
    GrantAllotment,
    MarkRebooted,
    MarkTakeover,
    PutResource,
    RegisterEntry,
    ReleaseDispatcher,
    ReportVm,
    ReturnAllotment,
    SettleClaim,
)
from ._outcomes import Accepted, ClaimTaken, Conflict, Invalid, NotAdmitted, Outcome
from ._resources import Kind, Resource, VmHealth, VmPhase, VmSpec, WaveSpec, kind_of
from ._validation import deletion_problem, spec_problem
from ._view import (
    Allotment,
    Change,
    DispatcherLease,
    EntryRecord,
    FleetView,
    Removed,
    Row,
    Table,
    ViewSnapshot,
    VmRecord,
    WaveRecord,
)

__all__ = ["FleetState"]

N_OPERATIONS_KEPT = 10_000

UNKNOWN_OUTCOME = ClaimOutcome(run=True)


class _ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A claimed run and its outcome, None while it is open."""

    key: ClaimKey
    attempt: str
    entry_id: str
    incarnation: str
    forget_after: datetime
    outcome: ClaimOutcome | None = None


class _Operation(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of an operator's write, for its resends."""

    operation_id: str
    outcome: Outcome


class _StateSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All of the state."""

    view: ViewSnapshot
    claims: tuple[_ClaimRecord, ...]
    operations: tuple[_Operation, ...]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_StateSnapshot)


class FleetState:
    """The fleet's desired state and every decision that must be exact.

    Attributes
    ----------
    view : FleetView
        What the entries follow.
    """

    __slots__ = ("_changes", "_claims", "_index", "_operations", "view")

    def __init__(self) -> None:
        self.view = FleetView()
        self._claims: dict[ClaimKey, _ClaimRecord] = {}
        self._operations: dict[str, Outcome] = {}
        self._changes: list[Change] = []
        self._index = 0

    @property
    def n_claims(self) -> int:
        """Return how many claims are kept."""
        return len(self._claims)

    def claim(self, key: ClaimKey) -> ClaimTaken | None:
        """Return what is known of a claimed run, or None when it is not claimed."""
        record = self._claims.get(key)
        return None if record is None else _describe(record)

    def apply(self, index: int, command: Command) -> tuple[Outcome, tuple[Change, ...]]:
        """Apply the command at a log index.

        Parameters
        ----------
        index : int
            Greater than that of any command applied before.
        command : Command
            What to do.

        Returns
        -------
        outcome : Outcome
            What became of it, the same on every replica.
        changes : tuple of Change
            The rows of the view that are new, in order.
        """
        self._index = index
        self._changes = []
        outcome = self._do(command)
        self.view.index = index
        changes = tuple(self._changes)
        self._changes = []
        return outcome, changes

    def snapshot(self) -> bytes:
        """Return the whole state, encoded."""
        operations = tuple(
            _Operation(operation_id=key, outcome=outcome)
            for key, outcome in self._operations.items()
        )
        return _ENCODER.encode(
            _StateSnapshot(
                view=self.view.snapshot(),
                claims=tuple(self._claims.values()),
                operations=operations,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replace everything by an encoded snapshot."""
        snapshot = _DECODER.decode(data)
        self.view.restore(snapshot.view)
        self._claims = {record.key: record for record in snapshot.claims}
        self._operations = {op.operation_id: op.outcome for op in snapshot.operations}

    # Rows of the view.

    def _put(self, row: Row | Removed) -> None:
        change = Change(index=self._index, row=row)
        self.view.apply(change)
        self._changes.append(change)

    def _remove(self, table: Table, *key: str) -> None:
        self._put(Removed(table=table, key=key))

    def _accepted(self) -> Accepted:
        return Accepted(version=self._index)

    @singledispatchmethod
    def _do(self, command: Command) -> Outcome:
        raise TypeError(f"not a command: {type(command).__name__}")

    # Resources.

    @_do.register
    def _(self, cmd: PutResource) -> Outcome:
        return self._once(cmd.operation_id, lambda: self._write(cmd))

    @_do.register
    def _(self, cmd: DeleteResource) -> Outcome:
        return self._once(cmd.operation_id, lambda: self._delete(cmd))

    def _once(self, operation_id: str, write) -> Outcome:
        """Return the first outcome of an operation, doing it if it is new."""
        if not operation_id:
            return write()
        known = self._operations.get(operation_id)
        if known is not None:
            return known
        outcome = write()
        self._operations[operation_id] = outcome
        if len(self._operations) > N_OPERATIONS_KEPT:
            del self._operations[next(iter(self._operations))]
        return outcome

    def _conflict(
        self, kind: Kind, name: str, if_version: int | None
    ) -> Conflict | None:
        resource = self.view.resources[kind].get(name)
        version = 0 if resource is None else resource.version
        if if_version is None or if_version == version:
            return None
        return Conflict(version=version)

    def _write(self, cmd: PutResource) -> Outcome:
        kind = kind_of(cmd.spec)
        conflict = self._conflict(kind, cmd.name, cmd.if_version)
        if conflict is not None:
            return conflict
        problem = spec_problem(cmd.spec, cmd.name, self.view)
        if problem is not None:
            return problem
        if kind is Kind.VM and self._is_removing(cmd.name):
            return NotAdmitted(reason=f"VM {cmd.name} is still being removed")
        old = self.view.spec(kind, cmd.name)
        self._put(Resource(name=cmd.name, spec=cmd.spec, version=self._index))
        if isinstance(cmd.spec, VmSpec):
            self._put_vm(cmd.name, cmd.spec, old)
        if isinstance(cmd.spec, WaveSpec):
            self._put_wave(cmd.name, cmd.spec)
        return self._accepted()

    def _is_removing(self, vm: str) -> bool:
        record = self.view.vms.get(vm)
        return record is not None and record.removing

    def _put_vm(self, name: str, spec: VmSpec, old: VmSpec | None) -> None:
        record = self.view.vms.get(name)
        if record is None:
            record = VmRecord(name=name, pool=spec.pool, assigned_at=self._index)
        if old is not None and old.pool != spec.pool:
            record = msgspec.structs.replace(record, lent=False)
        record = msgspec.structs.replace(
            record, data_centre=spec.data_centre, rack=spec.rack, slots=spec.slots
        )
        self._put(record)

    def _put_wave(self, name: str, spec: WaveSpec) -> None:
        if name in self.view.waves:
            return
        names = sorted(
            vm.name
            for vm in self.view.vms.values()
            if not spec.pools or vm.pool in spec.pools
        )
        self._put(WaveRecord(name=name, pending=tuple(names)))

    def _delete(self, cmd: DeleteResource) -> Outcome:
        conflict = self._conflict(cmd.kind, cmd.name, cmd.if_version)
        if conflict is not None:
            return conflict
        if cmd.name not in self.view.resources[cmd.kind]:
            return Invalid(field="name", reason=f"there is no {cmd.kind}/{cmd.name}")
        problem = deletion_problem(cmd.kind, cmd.name, self.view)
        if problem is not None:
            return problem
        if cmd.kind is Kind.VM:
            reason = self._remove_vm(cmd.name)
            if reason is not None:
                return NotAdmitted(reason=reason)
        if cmd.kind is Kind.WAVE and self.view.waves[cmd.name].active:
            return NotAdmitted(reason="the wave has VMs in maintenance; pause it first")
        if cmd.kind is Kind.WAVE:
            self._remove(Table.WAVES, cmd.name)
        if cmd.kind is Kind.POOL:
            self._forget_pool(cmd.name)
        self._remove(Table.RESOURCES, cmd.kind, cmd.name)
        return self._accepted()

    def _remove_vm(self, name: str) -> str | None:
        """Begin to remove a VM; return why that is not admitted, or None.

        A VM that is down already is no further loss, whatever the budgets say.
        """
        record = self.view.vms[name]
        is_stuck = record.phase is VmPhase.MAINTENANCE and record.rebooted
        if record.phase is not VmPhase.SERVING and not is_stuck:
            return f"VM {name} is {record.phase}"
        if not is_stuck and record.health is not VmHealth.DOWN:
            reason = budget_violation(self.view, record)
            if reason is not None:
                return reason
        for wave in list(self.view.waves.values()):
            self._skip_in_wave(wave, name)
        self._put(
            msgspec.structs.replace(
                record,
                phase=VmPhase.LEAVING,
                removing=True,
                wave="",
                rebooted=False,
                drain_index=self._index,
            )
        )
        return None

    def _skip_in_wave(self, wave: WaveRecord, vm: str) -> None:
        """Let a wave go on without a VM."""
        if vm not in wave.pending and vm not in wave.active:
            return
        self._put(
            msgspec.structs.replace(
                wave,
                pending=_without(wave.pending, vm),
                active=_without(wave.active, vm),
                n_skipped=wave.n_skipped + 1,
            )
        )

    def _forget_pool(self, pool: str) -> None:
        self._remove(Table.DISPATCHERS, pool)
        for team, other in list(self.view.allotments):
            if other == pool:
                self._remove(Table.ALLOTMENTS, team, other)

    # Entries and dispatchers.

    @_do.register
    def _(self, cmd: MarkTakeover) -> Outcome:
        return self._accepted()

    @_do.register
    def _(self, cmd: RegisterEntry) -> Outcome:
        known = self.view.entries.get(cmd.entry_id)
        if known is not None and known.incarnation != cmd.incarnation:
            return NotAdmitted(reason="the older incarnation has not expired")
        record = EntryRecord(
            entry_id=cmd.entry_id,
            incarnation=cmd.incarnation,
            address=cmd.address,
            data_centre=cmd.data_centre,
        )
        if record != known:
            self._put(record)
        return self._accepted()

    @_do.register
    def _(self, cmd: ExpireEntry) -> Outcome:
        known = self.view.entries.get(cmd.entry_id)
        if known is None or known.incarnation != cmd.incarnation:
            return NotAdmitted(reason="not the registered incarnation")
        self._remove(Table.ENTRIES, cmd.entry_id)
        for lease in list(self.view.dispatchers.values()):
            if lease.entry_id == cmd.entry_id:
                self._remove(Table.DISPATCHERS, lease.pool)
        for record in self._claims.values():
            is_own = (record.entry_id, record.incarnation) == (
                cmd.entry_id,
                cmd.incarnation,
            )
            if is_own and record.outcome is None:
                self._claims[record.key] = msgspec.structs.replace(
                    record, outcome=UNKNOWN_OUTCOME
                )
        return self._accepted()

    @_do.register
    def _(self, cmd: AssignDispatcher) -> Outcome:
        entry = self.view.entries.get(cmd.entry_id)
        if entry is None or entry.incarnation != cmd.incarnation:
            return NotAdmitted(reason="the entry is not registered")
        if self.view.pool(cmd.pool) is None:
            return NotAdmitted(reason="there is no such pool")
        if cmd.pool in self.view.dispatchers:
            return NotAdmitted(reason="the pool has a dispatcher")
        self._put(
            DispatcherLease(
                pool=cmd.pool,
                entry_id=cmd.entry_id,
                incarnation=cmd.incarnation,
                epoch=self._index,
            )
        )
        return self._accepted()

    @_do.register
    def _(self, cmd: ReleaseDispatcher) -> Outcome:
        if not self._is_current(cmd.pool, cmd.epoch):
            return NotAdmitted(reason="not the current epoch")
        self._remove(Table.DISPATCHERS, cmd.pool)
        return self._accepted()

    def _is_current(self, pool: str, epoch: int) -> bool:
        lease = self.view.dispatchers.get(pool)
        return lease is not None and lease.epoch == epoch

    # Allotments.

    @_do.register
    def _(self, cmd: GrantAllotment) -> Outcome:
        limit = self.view.team(cmd.team).limit
        current = self.view.allotment(cmd.team, cmd.pool)
        if current.version != cmd.if_version:
            return Conflict(version=current.version)
        if limit is None or cmd.pool not in self.view.dispatchers:
            return NotAdmitted(
                reason="the team has no limit, or the pool no dispatcher"
            )
        added = cmd.count - current.count
        if added <= 0 or self.view.allotted(cmd.team) + added > limit:
            return NotAdmitted(reason=f"team {cmd.team} has no more than {limit}")
        self._put_allotment(cmd.team, cmd.pool, cmd.count)
        return self._accepted()

    @_do.register
    def _(self, cmd: ReturnAllotment) -> Outcome:
        if not self._is_current(cmd.pool, cmd.epoch):
            return NotAdmitted(reason="not the current epoch")
        current = self.view.allotment(cmd.team, cmd.pool)
        if current.version != cmd.if_version:
            return Conflict(version=current.version)
        if not 0 <= cmd.count < current.count:
            return NotAdmitted(reason="an allotment is returned in parts of itself")
        self._put_allotment(cmd.team, cmd.pool, cmd.count)
        return self._accepted()

    def _put_allotment(self, team: str, pool: str, count: int) -> None:
        self._put(Allotment(team=team, pool=pool, count=count, version=self._index))

    # Claims.

    @_do.register
    def _(self, cmd: Claim) -> Outcome:
        record = self._claims.get(cmd.key)
        if record is not None and record.attempt == cmd.attempt:
            return self._accepted() if record.outcome is None else _describe(record)
        if record is not None:
            return _describe(record)
        entry = self.view.entries.get(cmd.entry_id)
        if entry is None or entry.incarnation != cmd.incarnation:
            return NotAdmitted(reason="the entry is not registered")
        self._claims[cmd.key] = _ClaimRecord(
            key=cmd.key,
            attempt=cmd.attempt,
            entry_id=cmd.entry_id,
            incarnation=cmd.incarnation,
            forget_after=cmd.forget_after,
        )
        return self._accepted()

    @_do.register
    def _(self, cmd: SettleClaim) -> Outcome:
        record = self._claims.get(cmd.key)
        if record is None or record.attempt != cmd.attempt:
            return NotAdmitted(reason="no such claim")
        if not cmd.outcome.run:
            del self._claims[cmd.key]
            return self._accepted()
        self._claims[cmd.key] = msgspec.structs.replace(record, outcome=cmd.outcome)
        return self._accepted()

    @_do.register
    def _(self, cmd: ForgetClaims) -> Outcome:
        old = [
            record.key
            for record in self._claims.values()
            if record.forget_after <= cmd.before and record.outcome is not None
        ]
        for key in old:
            del self._claims[key]
        return self._accepted()

    # VMs.

    @_do.register
    def _(self, cmd: ReportVm) -> Outcome:
        record = self.view.vms.get(cmd.vm)
        if record is None or record.pool != cmd.pool:
            return NotAdmitted(reason="the VM is not in that pool")
        if record.assigned_at != cmd.assigned_at:
            return NotAdmitted(reason="the report is about an older assignment")
        if not self._is_current(cmd.pool, cmd.epoch):
            return NotAdmitted(reason="not the current epoch")
        joined = record.joined or cmd.health is VmHealth.UP
        self._put(msgspec.structs.replace(record, health=cmd.health, joined=joined))
        return self._accepted()

    @_do.register
    def _(self, cmd: BeginMove) -> Outcome:
        record = self.view.vms.get(cmd.vm)
        reason = self._drain_problem(record) or self._target_problem(cmd, record)
        if reason is not None:
            return NotAdmitted(reason=reason)
        self._put(
            msgspec.structs.replace(
                record,
                phase=VmPhase.LEAVING,
                move_to=cmd.to_pool,
                drain_index=self._index,
                lent=cmd.loan,
            )
        )
        return self._accepted()

    def _drain_problem(self, record: VmRecord | None) -> str | None:
        """Return why a VM can't be drained now, or None."""
        if record is None or record.phase is not VmPhase.SERVING:
            return "the VM is absent or not serving"
        if record.pool not in self.view.dispatchers:
            return "the pool has no dispatcher, so its VMs are unknown"
        return budget_violation(self.view, record)

    def _target_problem(self, cmd: BeginMove, record: VmRecord) -> str | None:
        """Return why a VM can't go to a pool, or None."""
        target = self.view.pool(cmd.to_pool)
        if target is None or cmd.to_pool == record.pool:
            return "no such pool to go to"
        wanted = self.view.vm_spec(cmd.vm).pool
        if not cmd.loan:
            return None if cmd.to_pool == wanted else "the operator wants another pool"
        home = self.view.pool(wanted)
        if not self.view.site.moves or home is None or not home.spare or target.spare:
            return "VMs are lent from spare pools only, where the site allows moves"
        return None

    @_do.register
    def _(self, cmd: CancelMove) -> Outcome:
        record = self.view.vms.get(cmd.vm)
        if not _is_leaving(record, cmd.drain_index) or record.removing:
            return NotAdmitted(reason="the VM is not in this drain")
        spec = self.view.vm_spec(cmd.vm)
        self._put(
            msgspec.structs.replace(
                record,
                phase=VmPhase.SERVING,
                move_to="",
                drain_index=0,
                lent=record.lent and spec.pool != record.pool,
            )
        )
        return self._accepted()

    @_do.register
    def _(self, cmd: CompleteMove) -> Outcome:
        record = self.view.vms.get(cmd.vm)
        if not _is_leaving(record, cmd.drain_index):
            return NotAdmitted(reason="the VM is not in this drain")
        if not self._is_current(record.pool, cmd.epoch):
            return NotAdmitted(reason="not the current epoch")
        if record.removing:
            self._remove(Table.VMS, cmd.vm)
            return self._accepted()
        self._put(
            msgspec.structs.replace(
                record,
                pool=record.move_to,
                phase=VmPhase.SERVING,
                health=VmHealth.UNKNOWN,
                move_to="",
                assigned_at=self._index,
                joined=False,
                drain_index=0,
            )
        )
        return self._accepted()

    @_do.register
    def _(self, cmd: BeginMaintenance) -> Outcome:
        record = self.view.vms.get(cmd.vm)
        wave = self.view.waves.get(cmd.wave)
        spec = self.view.spec(Kind.WAVE, cmd.wave)
        if wave is None or cmd.vm not in wave.pending:
            return NotAdmitted(reason="the wave does not wait for this VM")
        if spec.paused or len(wave.active) >= spec.max_parallel:
            return NotAdmitted(reason="the wave is paused or has its VMs")
        reason = self._drain_problem(record)
        if reason is not None:
            return NotAdmitted(reason=reason)
        self._put(
            msgspec.structs.replace(
                record,
                phase=VmPhase.MAINTENANCE,
                wave=cmd.wave,
                drain_index=self._index,
            )
        )
        self._put(
            msgspec.structs.replace(
                wave,
                pending=_without(wave.pending, cmd.vm),
                active=(*wave.active, cmd.vm),
            )
        )
        return self._accepted()

    @_do.register
    def _(self, cmd: MarkRebooted) -> Outcome:
        record = self.view.vms.get(cmd.vm)
        if not _is_before_reboot(record, cmd.wave, cmd.drain_index):
            return NotAdmitted(reason="the VM does not wait for this reboot")
        self._put(
            msgspec.structs.replace(
                record,
                health=VmHealth.UNKNOWN,
                assigned_at=self._index,
                rebooted=True,
            )
        )
        return self._accepted()

    @_do.register
    def _(self, cmd: CancelMaintenance) -> Outcome:
        record = self.view.vms.get(cmd.vm)
        if not _is_before_reboot(record, cmd.wave, cmd.drain_index):
            return NotAdmitted(reason="the VM does not wait for this reboot")
        self._skip_in_wave(self.view.waves[cmd.wave], cmd.vm)
        self._put(
            msgspec.structs.replace(
                record, phase=VmPhase.SERVING, wave="", drain_index=0
            )
        )
        return self._accepted()

    @_do.register
    def _(self, cmd: CompleteMaintenance) -> Outcome:
        record = self.view.vms.get(cmd.vm)
        wave = self.view.waves.get(cmd.wave)
        if record is None or wave is None or cmd.vm not in wave.active:
            return NotAdmitted(reason="the VM is not in the wave's maintenance")
        if not record.rebooted or record.health is not VmHealth.UP:
            return NotAdmitted(reason="its endpoints have not announced again")
        self._put(
            msgspec.structs.replace(
                record,
                phase=VmPhase.SERVING,
                wave="",
                rebooted=False,
                drain_index=0,
            )
        )
        active = _without(wave.active, cmd.vm)
        self._put(msgspec.structs.replace(wave, active=active, n_done=wave.n_done + 1))
        return self._accepted()


def _without(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    return tuple(other for other in names if other != name)


def _is_leaving(record: VmRecord | None, drain_index: int) -> bool:
    return (
        record is not None
        and record.phase is VmPhase.LEAVING
        and record.drain_index == drain_index
    )


def _is_before_reboot(record: VmRecord | None, wave: str, drain_index: int) -> bool:
    return (
        record is not None
        and record.phase is VmPhase.MAINTENANCE
        and (record.wave, record.drain_index) == (wave, drain_index)
        and not record.rebooted
    )


def _describe(record: _ClaimRecord) -> ClaimTaken:
    outcome = record.outcome
    if outcome is None:
        return ClaimTaken(settled=False)
    return ClaimTaken(
        settled=True,
        run=outcome.run,
        status=outcome.status,
        content_type=outcome.content_type,
        body=outcome.body,
    )
