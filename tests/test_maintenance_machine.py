"""Stateful fuzzing of the fleet state with the planners of two leaders.

Late, duplicated and reordered messages and outdated views must not violate a budget,
interrupt a request or reboot a VM twice in one wave.
"""

import os
import unittest
from collections import Counter
from datetime import timedelta

from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from redwingslip.fleet import (
    Accepted,
    AssignDispatcher,
    BeginMaintenance,
    CompleteMove,
    DeleteResource,
    ExpireEntry,
    FleetView,
    Kind,
    PoolSpec,
    PutResource,
    RegisterEntry,
    ReportVm,
    SiteSpec,
    VmHealth,
    VmPhase,
    VmSpec,
    WaveSpec,
    is_misplaced,
)
from redwingslip.maintenance import MovePlanner, MoveSettings, WavePlanner
from redwingslip.peers._messages import (
    PoolDemand,
    RebootDone,
    RebootOrder,
    TeamDemand,
    VmDrained,
)

from . import SECOND
from .fleet_driver import FleetDriver

IS_LONG = "REDWINGSLIP_FUZZ_SEED" in os.environ
FUZZ_SEED = int(os.environ.get("REDWINGSLIP_FUZZ_SEED", "0"))
N_CASES = 2_000 if IS_LONG else 150
N_STEPS = 120 if IS_LONG else 80

HELD_FOR = timedelta(minutes=15)

POOLS = ("a", "b", "s")
VMS = tuple(f"v{i}" for i in range(9))
pools = st.sampled_from(POOLS)
vms = st.sampled_from(VMS)
leaders = st.integers(0, 1)
picks = st.integers(0, 1_000)
numbers = st.sampled_from([0, 0, 30])


class Leader:
    """A leader's planners and its view, which may be outdated."""

    def __init__(self) -> None:
        self.view = FleetView()
        self.waves = WavePlanner()
        self.moves = MovePlanner(MoveSettings(window=2 * SECOND, n_windows=2))


@seed(FUZZ_SEED)
class FleetMachine(RuleBasedStateMachine):
    """Checks each applied command against independently computed counts."""

    @initialize(budget=st.integers(1, 3), n_serving=st.integers(0, 2))
    def start(self, budget, n_serving):
        """Declare three pools with nine VMs in three racks."""
        self.fleet = FleetDriver()
        self.follower = FleetView()
        self.pool_of = {}
        self.permits = Counter()
        self.rebooted = set()
        self.proposals, self.drain_reports, self.orders, self.answers = [], [], [], []
        self.ordered_at = {}
        self.n_waves = 0
        self.incarnation = 1
        for pool in POOLS:
            spec = PoolSpec(
                spare=pool == "s",
                max_unavailable=budget,
                min_serving=n_serving,
                max_unavailable_per_rack=1,
            )
            self.apply(self.put(pool, spec))
            self.assign(pool)
        for i, vm in enumerate(VMS):
            self.declare(vm, POOLS[i % 3])
            self.fleet.report(vm, VmHealth.UP)
        self.follower.restore(self.view.snapshot())
        self.declare_wave("a", True, 9)
        self.leaders = [Leader(), Leader()]
        for leader in self.leaders:
            leader.view.restore(self.view.snapshot())

    # Model.

    @property
    def view(self):
        """Return the replicated view."""
        return self.fleet.view

    def put(self, name, spec):
        """Return a write by an operator."""
        return PutResource(name=name, spec=spec)

    def assign(self, pool):
        """Make the entry the dispatcher of a pool."""
        self.apply(
            AssignDispatcher(pool=pool, entry_id="e", incarnation=str(self.incarnation))
        )

    def apply(self, command):
        """Apply a command and check its effects on pools and budgets."""
        before = dict(self.view.vms)
        self.fleet.index += 1
        outcome, changes = self.fleet.state.apply(self.fleet.index, command)
        for change in changes:
            self.follower.apply(change)
        if not isinstance(outcome, Accepted):
            assert before == self.view.vms
            return outcome
        for name in before.keys() | self.view.vms.keys():
            self.check_pool(command, before.get(name), self.view.vms.get(name))
        drained_vms = [
            vm
            for vm in self.view.vms.values()
            if vm.phase is not VmPhase.SERVING
            and vm.name in before
            and before[vm.name].is_available
        ]
        for vm in drained_vms:
            self.check_budget(vm)
        return outcome

    def check_pool(self, command, old, new):
        """A VM's pool changes only by `CompleteMove`, once the VM has no permits."""
        if old is None or (new is not None and old.pool == new.pool):
            return
        assert isinstance(command, CompleteMove) and command.vm == old.name
        assert self.permits[old.name] == 0, "a move interrupted a request"

    def check_budget(self, drained_vm):
        """The budgets of its pool hold after an available VM was taken out."""
        spec = self.view.pool(drained_vm.pool)
        pool_vms = [vm for vm in self.view.vms.values() if vm.pool == drained_vm.pool]
        up = [vm for vm in pool_vms if vm.health is VmHealth.UP]
        serving = [vm for vm in up if vm.phase is VmPhase.SERVING]
        unavailable = [vm for vm in pool_vms if vm.joined and vm not in serving]
        rack_key = (drained_vm.data_centre, drained_vm.rack)
        unavailable_in_rack = [
            vm for vm in unavailable if (vm.data_centre, vm.rack) == rack_key
        ]
        assert len(serving) >= spec.min_serving
        assert len(unavailable) <= spec.max_unavailable
        assert len(unavailable_in_rack) <= spec.max_unavailable_per_rack

    def declare(self, vm, pool):
        """Declare a VM."""
        i = VMS.index(vm)
        spec = VmSpec(pool=pool, data_centre=f"d{i % 2}", rack=f"r{i // 3}")
        return self.apply(self.put(vm, spec))

    def record(self, vm):
        """Return a VM's record, or None."""
        return self.view.vms.get(vm)

    # Operators.

    @rule(vm=vms, pool=pools)
    def redirect_vm(self, vm, pool):
        """Change the desired pool of a VM."""
        self.declare(vm, pool)

    @rule(vm=vms)
    @precondition(lambda self: len(self.view.vms) > 6)
    def delete_vm(self, vm):
        """Remove a VM."""
        self.apply(DeleteResource(kind=Kind.VM, name=vm))

    @rule(pool=pools, budget=st.integers(0, 4), n_serving=st.sampled_from([0, 0, 2]))
    def redeclare_pool(self, pool, budget, n_serving):
        """Change a pool's budgets."""
        spec = PoolSpec(
            spare=pool == "s", max_unavailable=budget, min_serving=n_serving
        )
        self.apply(self.put(pool, spec))

    @rule(moves=st.booleans())
    def redeclare_site(self, moves):
        """Enable or disable automatic moves."""
        self.apply(self.put("default", SiteSpec(moves=moves, move_price=1.0)))

    @rule(pool=pools, whole_fleet=st.booleans(), n_parallel=st.integers(1, 9))
    @precondition(lambda self: self.n_waves < 4)
    def declare_wave(self, pool, whole_fleet, n_parallel):
        """Declare another wave, over one pool or the whole fleet."""
        wave_pools = () if whole_fleet else (pool,)
        spec = WaveSpec(pools=wave_pools, max_parallel=n_parallel)
        self.apply(self.put(f"w{self.n_waves}", spec))
        self.n_waves += 1

    @rule(pick=picks, paused=st.booleans())
    @precondition(lambda self: self.view.waves)
    def pause_wave(self, pick, paused):
        """Pause or resume a wave."""
        name = sorted(self.view.waves)[pick % len(self.view.waves)]
        old = self.view.spec(Kind.WAVE, name)
        self.apply(self.put(name, WaveSpec(pools=old.pools, paused=paused)))

    @rule(pick=picks)
    @precondition(lambda self: self.view.waves)
    def delete_wave(self, pick):
        """Delete a wave."""
        name = sorted(self.view.waves)[pick % len(self.view.waves)]
        self.apply(DeleteResource(kind=Kind.WAVE, name=name))

    # Work, endpoints and dispatchers.

    @rule()
    def grant(self):
        """Grant a permit on each available VM."""
        for record in self.view.vms.values():
            if record.is_available:
                self.permits[record.name] += 1

    @rule(vm=vms)
    def finish(self, vm):
        """End all work of a VM and queue its dispatcher's report if it is draining."""
        self.permits[vm] = 0
        record = self.record(vm)
        if record is None or record.phase is VmPhase.SERVING:
            return
        lease = self.view.dispatchers.get(record.pool)
        if lease is not None:
            drain_report = VmDrained(
                vm=vm,
                pool=record.pool,
                epoch=lease.epoch,
                drain_index=record.drain_index,
            )
            self.drain_reports.append(drain_report)

    @rule(vm=vms, health=st.sampled_from([VmHealth.UP, VmHealth.UP, VmHealth.DOWN]))
    def report(self, vm, health):
        """Report a VM's health; a VM that is down loses its work."""
        record = self.record(vm)
        if record is None or record.pool not in self.view.dispatchers:
            return
        if health is VmHealth.DOWN:
            self.permits[vm] = 0
        self.apply(
            ReportVm(
                vm=vm,
                pool=record.pool,
                epoch=self.view.dispatchers[record.pool].epoch,
                assigned_at=record.assigned_at,
                health=health,
            )
        )

    @rule()
    def report_all(self):
        """Report all VMs as up."""
        for vm in list(self.view.vms):
            self.report(vm, VmHealth.UP)

    @rule(n_assigned=st.sampled_from([0, 2, 3]))
    @precondition(lambda self: self.incarnation < 4)
    def replace_entry(self, n_assigned):
        """Expire the entry; its next incarnation dispatches some of the pools."""
        self.apply(ExpireEntry(entry_id="e", incarnation=str(self.incarnation)))
        self.incarnation += 1
        self.apply(
            RegisterEntry(
                entry_id="e", incarnation=str(self.incarnation), address="here"
            )
        )
        for pool in POOLS[:n_assigned]:
            self.assign(pool)

    @rule(pool=pools)
    def assign_dispatcher(self, pool):
        """Give a pool a dispatcher if it has none."""
        self.assign(pool)

    # Leaders.

    @rule()
    def propose_unchecked(self):
        """Propose maintenance of every pending VM regardless of the budgets."""
        for record in list(self.view.vms.values()):
            for wave in record.waits_for:
                self.apply(BeginMaintenance(vm=record.name, wave=wave))

    @rule(i=leaders)
    def refresh(self, i):
        """Update the view of a leader."""
        self.leaders[i].view.restore(self.view.snapshot())

    @rule(i=leaders, seconds=st.integers(1, 30))
    def plan(self, i, seconds):
        """Let a leader plan, and put its outputs in flight."""
        self.fleet.clock.advance(timedelta(seconds=seconds))
        leader = self.leaders[i]
        now = self.fleet.now
        for output in leader.waves.plan(leader.view, now):
            queue = self.orders if isinstance(output, RebootOrder) else self.proposals
            queue.append(output)
            self.ordered_at[getattr(output, "operation_id", "")] = now
        self.proposals += leader.moves.plan(leader.view, now)

    @rule(pick=picks, is_last=st.booleans())
    @precondition(lambda self: self.proposals)
    def deliver_proposal(self, pick, is_last):
        """Apply a proposal, which may arrive late, twice or out of order."""
        i = pick % len(self.proposals)
        command = self.proposals[i]
        if is_last:
            del self.proposals[i]
        self.apply(command)

    @rule()
    def deliver_all_proposals(self):
        """Apply all proposals in flight."""
        for command in self.proposals:
            self.apply(command)
        self.proposals = []

    @rule(pick=picks, i=leaders, is_last=st.booleans())
    @precondition(lambda self: self.drain_reports)
    def deliver_report(self, pick, i, is_last):
        """Deliver a report of a drained VM to a leader."""
        j = pick % len(self.drain_reports)
        leader = self.leaders[i]
        leader.waves.handle_vm_drained(self.drain_reports[j], self.fleet.now)
        leader.moves.handle_vm_drained(self.drain_reports[j], self.fleet.now)
        if is_last:
            del self.drain_reports[j]

    @rule(pick=picks, is_last=st.booleans(), accepted=st.sampled_from([1, 1, 1, 0]))
    @precondition(lambda self: self.orders)
    def reboot(self, pick, is_last, accepted):
        """Handle an order as the platform does, unless its operation is known."""
        j = pick % len(self.orders)
        order = self.orders[j]
        if is_last:
            del self.orders[j]
        known = [
            answer
            for answer in self.answers
            if answer.operation_id == order.operation_id
        ]
        if known:
            return
        if accepted:
            assert self.permits[order.vm] == 0, "a reboot interrupted a request"
            assert (order.wave, order.vm) not in self.rebooted, "rebooted twice"
            self.rebooted.add((order.wave, order.vm))
        answer = RebootDone(
            vm=order.vm,
            wave=order.wave,
            operation_id=order.operation_id,
            accepted=bool(accepted),
        )
        self.answers.append(answer)

    @rule(pick=picks, i=leaders)
    @precondition(lambda self: self.orders)
    def refuse(self, pick, i):
        """Deliver a refusal of an entry that can't reach the platform."""
        order = self.orders[pick % len(self.orders)]
        answer = RebootDone(
            vm=order.vm,
            wave=order.wave,
            operation_id=order.operation_id,
            accepted=False,
        )
        self.leaders[i].waves.handle_reboot_done(answer, self.fleet.now)

    @rule(i=leaders)
    def work(self, i):
        """Update a leader's view, let it plan, and apply all proposals in flight."""
        self.refresh(i)
        self.plan(i, 3)
        self.deliver_all_proposals()

    @rule(i=leaders)
    def drain_all(self, i):
        """End all work on draining VMs and deliver the reports to a leader."""
        for record in list(self.view.vms.values()):
            if record.phase is not VmPhase.SERVING:
                self.finish(record.name)
        while self.drain_reports:
            self.deliver_report(0, i, True)

    @rule(i=leaders)
    def answer_all(self, i):
        """Handle all orders and deliver the answers to a leader."""
        while self.orders:
            self.reboot(0, True, True)
        for j in range(len(self.answers)):
            self.deliver_answer(j, i)

    @rule(i=leaders)
    def go_round(self, i):
        """Run one round of planning, draining and rebooting without faults."""
        self.work(i)
        self.drain_all(i)
        self.work(i)
        self.answer_all(i)
        self.work(i)
        self.report_all()
        self.work(i)

    @rule(pick=picks, i=leaders)
    @precondition(lambda self: self.answers)
    def deliver_answer(self, pick, i):
        """Deliver an answer to a reboot order to a leader."""
        answer = self.answers[pick % len(self.answers)]
        self.leaders[i].waves.handle_reboot_done(answer, self.fleet.now)

    @rule(
        pool=pools, i=leaders, n_waiting=st.integers(0, 30), n_idle=st.integers(0, 30)
    )
    def demand(self, pool, i, n_waiting, n_idle):
        """Deliver a pool's demand to a leader."""
        teams = (TeamDemand(team="t", n_running=0, n_waiting=n_waiting),)
        msg = PoolDemand(pool=pool, epoch=1, teams=teams, n_slots=24, n_idle=n_idle)
        self.leaders[i].moves.handle_demand(msg, self.fleet.now)

    @rule(i=leaders)
    def restart(self, i):
        """Restart a leader from a snapshot of the state."""
        snapshot = self.fleet.state.snapshot()
        self.fleet.replace_leader()
        assert self.fleet.state.snapshot() == snapshot
        self.leaders[i] = Leader()
        self.leaders[i].view.restore(self.view.snapshot())

    # Invariants.

    @invariant()
    def follower_holds_the_same_view(self):
        """A view that applies all changes equals the replicas' view."""
        if hasattr(self, "leaders"):
            assert self.follower.vms == self.view.vms
            assert self.follower.waves == self.view.waves
            for pool in POOLS:
                indexed = {vm.name for vm in self.view.vms_of(pool)}
                listed = {vm.name for vm in self.view.vms.values() if vm.pool == pool}
                assert indexed == listed

    @invariant()
    def waves_count_their_vms(self):
        """A wave's counts match the VM records that name the wave."""
        if not hasattr(self, "leaders"):
            return
        for name, wave in self.view.waves.items():
            records = self.view.vms.values()
            assert wave.n_pending == sum(name in vm.waits_for for vm in records)
            assert wave.n_active == sum(vm.wave == name for vm in records)

    def teardown(self):
        """All waves and moves complete once faults end and the budgets allow them."""
        if not hasattr(self, "leaders"):
            return
        for pool in POOLS:
            if pool not in self.view.dispatchers:
                self.assign(pool)
            spec = PoolSpec(spare=pool == "s", max_unavailable=9)
            self.apply(self.put(pool, spec))
        for name in self.view.waves:
            pools = self.view.spec(Kind.WAVE, name).pools
            self.apply(self.put(name, WaveSpec(pools=pools)))
        self.apply(self.put("default", SiteSpec(moves=False)))
        fleet = self.fleet
        fleet.waves, fleet.moves = WavePlanner(), MovePlanner()
        for answer in self.answers:
            if answer.accepted:
                fleet.reboots[answer.operation_id] = timedelta(0)
        for vm in list(self.view.vms):
            fleet.report(vm, VmHealth.UP)
        fleet.run(self.is_settled, timedelta(minutes=15))

    def is_settled(self):
        """Return whether all waves and moves are complete."""
        records = self.view.vms.values()
        return (
            all(wave.is_done for wave in self.view.waves.values())
            and all(vm.phase is VmPhase.SERVING for vm in records)
            and not any(is_misplaced(self.view, vm) for vm in records)
        )


class TestFleetMachine(FleetMachine.TestCase):
    """The invariants hold under writes, failures and late messages."""

    settings = settings(max_examples=N_CASES, stateful_step_count=N_STEPS)


if __name__ == "__main__":
    unittest.main()
