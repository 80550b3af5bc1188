"""Two pools' dispatchers against endpoints that record what runs, as a machine."""

from collections import Counter
from datetime import timedelta
from random import Random

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from redwingslip.dispatch import (
    Dispatcher,
    DispatchSettings,
    Granted,
    Proposed,
    Refused,
    ToLeader,
)
from redwingslip.fleet import (
    AssignDispatcher,
    BeginMove,
    CancelMove,
    CompleteMove,
    FleetState,
    FleetView,
    GrantAllotment,
    PoolSpec,
    PutResource,
    QueueSpec,
    RegisterEntry,
    ReleaseDispatcher,
    ReportVm,
    ReturnAllotment,
    TeamSpec,
    VmPhase,
    VmSpec,
)
from redwingslip.peers import (
    AllotmentRecall,
    EndpointReport,
    Permit,
    PermitCancel,
    PermitDone,
    PermitRefusal,
    PermitRequest,
    RunningTask,
    RunResult,
    VmDrained,
)
from tests import SECOND

POOLS = ("a", "b")
VMS = {"v1": "a", "v2": "a", "v3": "b"}
N_SLOTS = 2
LIMIT = 3
MAX_RUN = 3 * SECOND
OVERLAP = SECOND


class FakeEndpoint:
    """An endpoint that refuses what it must and records what runs."""

    def __init__(self, vm: str, number: int) -> None:
        self.endpoint_id = f"e-{vm}"
        self.vm = vm
        self.number = number
        self.offset = timedelta(seconds=number * 1000)
        self.token = 0
        self.leaving = False
        self.running: dict[str, tuple[str, timedelta, PermitDone]] = {}
        self.seen: set[str] = set()

    def report(self, now: timedelta) -> EndpointReport:
        """Return an announcement."""
        running = [RunningTask(key, task[0]) for key, task in self.running.items()]
        return EndpointReport(
            endpoint_id=self.endpoint_id,
            incarnation=f"i{self.number}",
            service="s",
            address="127.0.0.1:1",
            vm=self.vm,
            slots=N_SLOTS,
            leaving=self.leaving,
            clock=now + self.offset,
            fencing_token=self.token,
            running=tuple(running),
        )

    def start(self, permit: Permit, team: str, run: timedelta, now: timedelta) -> bool:
        """Start a task unless it must be refused."""
        is_refused = (
            permit.incarnation != f"i{self.number}"
            or permit.fencing_token < self.token
            or now + self.offset > permit.start_by
            or permit.permit_id in self.seen
        )
        if is_refused:
            return False
        self.token = permit.fencing_token
        self.seen.add(permit.permit_id)
        ended = permit_done(permit, RunResult.COMPLETED, min(run, permit.lease))
        self.running[permit.permit_id] = (team, now + min(run, permit.lease), ended)
        return True


def permit_done(permit: Permit, result: RunResult, run: timedelta) -> PermitDone:
    """Return an entry's word that it has finished with a permit."""
    return PermitDone(
        permit_id=permit.permit_id,
        request_id=permit.request_id,
        pool=permit.pool,
        endpoint_id=permit.endpoint_id,
        result=result,
        run_time=run,
    )


class Follower:
    """A dispatcher with its own, perhaps lagging, view of the fleet."""

    def __init__(self, pool: str, epoch: int, snapshot, now: timedelta) -> None:
        self.pool = pool
        self.view = FleetView()
        self.view.restore(snapshot)
        self.n_synced = 0
        self.lease = now
        self.permits: dict[str, str] = {}
        self.heard: dict[tuple[str, str], tuple[EndpointReport, timedelta]] = {}
        self.dispatcher = Dispatcher(
            pool=pool,
            epoch=epoch,
            cfg=DispatchSettings(),
            view=self.view,
            rng=Random(1),
        )


class DispatchMachine(RuleBasedStateMachine):
    """Two pools whose dispatchers are replaced while messages get lost."""

    @initialize()
    def set_up(self) -> None:
        """Start two pools with a dispatcher each."""
        self.now = timedelta(0)
        self.state = FleetState()
        self.index = 0
        self.changes = []
        for pool in POOLS:
            self._apply(PutResource(name=pool, spec=PoolSpec(max_unavailable=9)))
            spec = QueueSpec(pool=pool, service="s", max_run=MAX_RUN)
            self._apply(PutResource(name=f"q-{pool}", spec=spec))
        for vm, pool in VMS.items():
            spec = VmSpec(pool=pool, data_centre="d", slots=N_SLOTS)
            self._apply(PutResource(name=vm, spec=spec))
        self._apply(PutResource(name="x", spec=TeamSpec(limit=LIMIT)))
        self._apply(PutResource(name="y", spec=TeamSpec()))
        self._apply(RegisterEntry(entry_id="n", incarnation="1", address="n"))
        self.endpoints = {
            f"e-{vm}": FakeEndpoint(vm, n) for n, vm in enumerate(VMS, start=1)
        }
        self.bag = []
        self.calls: dict[str, PermitRequest] = {}
        self.ended: set[str] = set()
        self.used: set[str] = set()
        self.started: set[str] = set()
        self.n_requests = 0
        self.current: dict[str, Follower] = {}
        self.old: list[Follower] = []
        for pool in POOLS:
            self._assign(pool)
        self._calm(3)
        self.grant_allotment("a", 2)
        self.grant_allotment("b", 1)
        self._calm(1)

    # The fleet.

    def _apply(self, command) -> None:
        self.index += 1
        _, changes = self.state.apply(self.index, command)
        self.changes += changes

    def _assign(self, pool: str) -> None:
        self._apply(AssignDispatcher(pool=pool, entry_id="n", incarnation="1"))
        follower = Follower(pool, self.index, self.state.view.snapshot(), self.now)
        follower.n_synced = len(self.changes)
        self.current[pool] = follower

    def _collect(self, follower: Follower) -> None:
        for output in follower.dispatcher.take_outputs():
            if isinstance(output, Granted):
                self._check_grant(follower, output.permit)
                self.bag.append(output.permit)
            elif isinstance(output, Refused):
                self.bag.append(output.refusal)
            elif isinstance(output, Proposed):
                self.bag.append(output.command)
            elif isinstance(output, ToLeader):
                self.bag.append(output.message)

    def _check_grant(self, follower: Follower, permit: Permit) -> None:
        """The endpoint was confirmed and heard, and the request has one permit."""
        known = follower.permits.get(permit.request_id)
        if known is not None:
            assert known == permit.permit_id, "a request was granted twice"
            return
        follower.permits[permit.request_id] = permit.permit_id
        report, heard_at = follower.heard[permit.endpoint_id, permit.incarnation]
        record = follower.view.vms[report.vm]
        assert not report.leaving, "a permit for a leaving endpoint"
        assert self.now - heard_at < 3 * SECOND, "a permit for a silent endpoint"
        assert record.pool == follower.pool, "a permit for another pool's VM"
        assert record.phase is VmPhase.SERVING, "a permit for a VM that leaves"
        token = follower.view.fencing_token(report.vm)
        assert report.fencing_token == token, "a permit for an unconfirmed endpoint"
        assert self.now + permit.start_within <= follower.lease, "beyond the lease"

    def _deliver(self, msg) -> None:
        if isinstance(msg, Permit):
            self._take_permit(msg)
        elif isinstance(msg, PermitRefusal):
            self.ended.add(msg.request_id)
        elif isinstance(msg, VmDrained):
            self._complete_move(msg)
        elif isinstance(msg, tuple):
            self._call(*msg)
        elif isinstance(msg, EndpointReport):
            self._hear(msg)
        elif isinstance(msg, PermitRequest | PermitDone | PermitCancel):
            name = type(msg).__name__.removeprefix("Permit").lower()
            follower = self.current[msg.pool]
            getattr(follower.dispatcher, name)(msg, self.now)
            self._collect(follower)
        elif isinstance(msg, AllotmentRecall):
            self.current[msg.pool].dispatcher.recall(msg, self.now)
            self._collect(self.current[msg.pool])
        elif isinstance(msg, ReturnAllotment | ReportVm):
            self._apply(msg)

    def _hear(self, msg: EndpointReport) -> None:
        for follower in [*self.current.values(), *self.old]:
            known = follower.heard.get((msg.endpoint_id, msg.incarnation))
            record = follower.view.vms.get(msg.vm)
            is_ours = record is not None and record.pool == follower.pool
            if is_ours and (known is None or known[0].clock < msg.clock):
                follower.heard[msg.endpoint_id, msg.incarnation] = (msg, self.now)
            follower.dispatcher.report(msg, self.now)
            self._collect(follower)

    def _complete_move(self, msg: VmDrained) -> None:
        record = self.state.view.vms[msg.vm]
        lease = self.state.view.dispatchers.get(msg.pool)
        is_due = record.phase is VmPhase.LEAVING and record.pool == msg.pool
        is_due = is_due and record.drain_index == msg.drain_index
        if is_due and lease is not None and lease.epoch == msg.epoch:
            assert not self.endpoints[f"e-{msg.vm}"].running, "drained while it runs"
            self._apply(
                CompleteMove(vm=msg.vm, epoch=msg.epoch, drain_index=msg.drain_index)
            )

    def _take_permit(self, permit: Permit) -> None:
        if permit.permit_id in self.used:
            return
        if permit.request_id in self.ended:
            self.bag.append(permit_done(permit, RunResult.NOT_RUN, timedelta(0)))
            return
        self.ended.add(permit.request_id)
        self.used.add(permit.permit_id)
        self.bag.append((permit, self.calls[permit.request_id]))

    def _call(self, permit: Permit, req: PermitRequest) -> None:
        endpoint = self.endpoints[permit.endpoint_id]
        if not endpoint.start(permit, req.team, req.expected_run, self.now):
            if permit.permit_id not in endpoint.seen:
                self.bag.append(permit_done(permit, RunResult.NOT_RUN, timedelta(0)))
            return
        assert permit.request_id not in self.started, "a request ran twice"
        self.started.add(permit.request_id)
        n_used = sum(int(key.split("/")[3]) for key in endpoint.running)
        assert n_used <= N_SLOTS, "more tasks than slots"
        counts = Counter(
            task[0] for e in self.endpoints.values() for task in e.running.values()
        )
        bound = max(self.state.view.team("x").limit, self.state.view.allotted("x"))
        assert counts["x"] <= bound, "more running than the limit"

    # Rules.

    @rule(
        teams=st.text("xxyY", min_size=1, max_size=5),
        pool=st.sampled_from(POOLS),
        run=st.integers(1, 4),
        deadline=st.integers(1, 20),
        late=st.booleans(),
    )
    def submit(
        self, teams: str, pool: str, run: int, deadline: int, late: bool
    ) -> None:
        """Hand requests in; a capital letter asks for two slots."""
        for team in teams:
            msg = self._request(pool, team.lower(), deadline * SECOND, run * SECOND)
            if team.isupper():
                msg = msgspec.structs.replace(msg, slots=N_SLOTS)
                self.calls[msg.request_id] = msg
            if late:
                self.bag.append(msg)
            else:
                self._deliver(msg)

    def _request(
        self, pool: str, team: str, deadline: timedelta, run: timedelta
    ) -> PermitRequest:
        self.n_requests += 1
        msg = PermitRequest(
            request_id=f"r{self.n_requests}",
            entry_id="n",
            pool=pool,
            queue=f"q-{pool}",
            service="s",
            team=team,
            urgent=self.n_requests % 2 == 0,
            deadline=deadline,
            max_run=MAX_RUN,
            expected_run=run,
        )
        self.calls[msg.request_id] = msg
        return msg

    @rule(number=st.integers(0, 50), lasts=st.booleans())
    def resend_or_cancel(self, number: int, lasts: bool) -> None:
        """Resend a request, or cancel it."""
        if not self.calls:
            return
        msg = list(self.calls.values())[number % len(self.calls)]
        if msg.request_id in self.ended:
            return
        if not lasts:
            self.ended.add(msg.request_id)
            msg = PermitCancel(request_id=msg.request_id, pool=msg.pool)
        self.bag.append(msg)

    @rule(
        number=st.integers(0, 50), fate=st.sampled_from(["take"] * 6 + ["lose", "x2"])
    )
    def network(self, number: int, fate: str) -> None:
        """Deliver, lose or double one message, in any order."""
        if not self.bag:
            return
        number %= len(self.bag)
        msg = self.bag[number] if fate == "x2" else self.bag.pop(number)
        if fate != "lose":
            self._deliver(msg)

    @rule()
    def network_settles(self) -> None:
        """Deliver everything that is under way."""
        for _ in range(len(self.bag)):
            self._deliver(self.bag.pop(0))

    @rule(vm=st.sampled_from(sorted(VMS)), is_told=st.booleans(), late=st.booleans())
    def announce(self, vm: str, is_told: bool, late: bool) -> None:
        """Let an endpoint announce itself; perhaps it hears the token."""
        endpoint = self.endpoints[f"e-{vm}"]
        report = endpoint.report(self.now)
        if is_told:
            token = self.state.view.fencing_token(vm)
            endpoint.token = max(endpoint.token, token)
        if late:
            self.bag.append(report)
        else:
            self._hear(report)

    @rule(n_half_seconds=st.integers(1, 4))
    def all_goes_well(self, n_half_seconds: int) -> None:
        """Let time pass without a fault."""
        self._calm(n_half_seconds)

    @rule(vm=st.sampled_from(sorted(VMS)), leaving=st.booleans())
    def endpoint_leaves_or_stays(self, vm: str, leaving: bool) -> None:
        """Let an endpoint say that it is leaving, or not."""
        self.endpoints[f"e-{vm}"].leaving = leaving

    @rule(vm=st.sampled_from(sorted(VMS)))
    def restart_endpoint(self, vm: str) -> None:
        """Kill an endpoint and what runs on it; its successor has seen no token."""
        number = self.endpoints[f"e-{vm}"].number + len(VMS)
        self.endpoints[f"e-{vm}"] = FakeEndpoint(vm, number)

    @rule(vm=st.sampled_from(sorted(VMS)))
    def entry_loses_answers(self, vm: str) -> None:
        """Let the connections to an endpoint break while its tasks run on."""
        for _, _, done in self.endpoints[f"e-{vm}"].running.values():
            unknown = msgspec.structs.replace(done, result=RunResult.UNKNOWN)
            self.bag.append(unknown)

    @rule(tenths=st.sampled_from([1, 5, 10, 10, 30]))
    def advance(self, tenths: int) -> None:
        """Let time pass and tasks end."""
        self.now += timedelta(seconds=tenths / 10)
        for endpoint in self.endpoints.values():
            for permit_id, task in list(endpoint.running.items()):
                if task[1] <= self.now:
                    del endpoint.running[permit_id]
                    self.bag.append(task[2])

    @rule(pool=st.sampled_from(POOLS), is_synced=st.booleans())
    def tick(self, pool: str, is_synced: bool) -> None:
        """Renew a lease and let a dispatcher do what is due."""
        follower = self.current[pool]
        follower.lease = self.now + 3 * SECOND
        follower.dispatcher.set_lease_end(follower.lease)
        if is_synced:
            self._sync(follower)
        follower.dispatcher.tick(self.now)
        self._collect(follower)

    def _sync(self, follower: Follower) -> None:
        changes = self.changes[follower.n_synced :]
        follower.n_synced = len(self.changes)
        for change in changes:
            follower.view.apply(change)
        follower.dispatcher.view_changed(self.now, changes)

    @rule(pool=st.sampled_from(POOLS))
    def replace_dispatcher(self, pool: str) -> None:
        """Give a pool to a new dispatcher while the old one goes on for a while."""
        old = self.current[pool]
        epoch = self.state.view.dispatchers[pool].epoch
        self._apply(ReleaseDispatcher(pool=pool, epoch=epoch))
        old.lease = min(old.lease, self.now + OVERLAP)
        old.dispatcher.set_lease_end(old.lease)
        self.old.append(old)
        self._assign(pool)

    @rule(pool=st.sampled_from(POOLS), count=st.integers(1, LIMIT))
    def grant_allotment(self, pool: str, count: int) -> None:
        """Let the leader grant an allotment."""
        version = self.state.view.allotment("x", pool).version
        self._apply(
            GrantAllotment(team="x", pool=pool, count=count, if_version=version)
        )

    @rule(pool=st.sampled_from(POOLS), count=st.integers(0, LIMIT))
    def recall_allotment(self, pool: str, count: int) -> None:
        """Let the leader recall an allotment."""
        epoch = self.state.view.dispatchers[pool].epoch
        self.bag.append(AllotmentRecall(team="x", pool=pool, epoch=epoch, count=count))

    @rule(limit=st.integers(1, LIMIT))
    def set_limit(self, limit: int) -> None:
        """Change the limit."""
        self._apply(PutResource(name="x", spec=TeamSpec(limit=limit)))

    @rule(vm=st.sampled_from(sorted(VMS)), pool=st.sampled_from(POOLS))
    def begin_move(self, vm: str, pool: str) -> None:
        """Begin to move a VM where the operator wants it now."""
        spec = VmSpec(pool=pool, data_centre="d", slots=N_SLOTS)
        self._apply(PutResource(name=vm, spec=spec))
        record = self.state.view.vms[vm]
        if record.phase is VmPhase.LEAVING and record.move_to != pool:
            # The planner takes back what the operator wants no more.
            self._apply(CancelMove(vm=vm, drain_index=record.drain_index))
        self._apply(BeginMove(vm=vm, to_pool=pool))

    @invariant()
    def old_dispatchers_go_on(self) -> None:
        """Replaced dispatchers still act on what they know."""
        for follower in self.old:
            follower.dispatcher.tick(self.now)
            self._collect(follower)

    # After the faults.

    def teardown(self) -> None:
        """Once nothing is lost any more, everything is drained and served."""
        if not hasattr(self, "state"):
            return
        self.old = []
        for endpoint in self.endpoints.values():
            endpoint.leaving = False
        self._calm(56)
        for pool, follower in self.current.items():
            n_running = follower.dispatcher.n_running
            assert not n_running, f"pool {pool} still counts {n_running}"
            assert not follower.dispatcher.n_waiting, "requests wait for ever"
        for pool in POOLS:
            self._check_served(pool)

    def _calm(self, n_half_seconds: int) -> None:
        for _ in range(n_half_seconds):
            self.advance(5)
            for vm in VMS:
                self.announce(vm, is_told=True, late=False)
            for pool in POOLS:
                self.tick(pool, is_synced=True)
            for _ in range(4):
                self.network_settles()

    def _check_served(self, pool: str) -> None:
        if not self.state.view.vms_of(pool):
            return
        n_before = len(self.started)
        for _ in range(N_SLOTS):
            msg = self._request(pool, "y", 5 * SECOND, SECOND / 10)
            self.bag.append(msg)
        self._calm(3)
        assert len(self.started) == n_before + N_SLOTS, f"pool {pool} serves less"
