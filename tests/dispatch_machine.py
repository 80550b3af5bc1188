"""A stateful test of the dispatchers of two pools against stand-in endpoints."""

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
POOL_OF_VM = {"v1": "a", "v2": "a", "v3": "b"}
N_SLOTS = 2
LIMIT = 3
MAX_RUN = 3 * SECOND
LEASE_OVERLAP = SECOND


class FakeEndpoint:
    """A stand-in endpoint that checks permits and records its running tasks.

    Attributes
    ----------
    clock_offset : timedelta
        Difference between its clock and the machine's clock.
    token : int
        Highest fencing token that it has received.
    running : dict
        Team, end and end report of each running task, by permit id.
    started_permit_ids : set of str
        Ids of all permits that it has started.
    """

    def __init__(self, vm: str, number: int) -> None:
        self.endpoint_id = f"e-{vm}"
        self.vm = vm
        self.number = number
        self.clock_offset = timedelta(seconds=number * 1000)
        self.token = 0
        self.leaving = False
        self.running: dict[str, tuple[str, timedelta, PermitDone]] = {}
        self.started_permit_ids: set[str] = set()

    def report(self, now: timedelta) -> EndpointReport:
        """Return the endpoint's report."""
        running = [RunningTask(key, task[0]) for key, task in self.running.items()]
        return EndpointReport(
            endpoint_id=self.endpoint_id,
            incarnation=f"i{self.number}",
            service="s",
            address="127.0.0.1:1",
            vm=self.vm,
            slots=N_SLOTS,
            leaving=self.leaving,
            clock=now + self.clock_offset,
            fencing_token=self.token,
            running=tuple(running),
        )

    def start(self, permit: Permit, team: str, run: timedelta, now: timedelta) -> bool:
        """Start a task and return True, or return False if the permit is not valid."""
        is_refused = (
            permit.incarnation != f"i{self.number}"
            or permit.fencing_token < self.token
            or now + self.clock_offset > permit.start_by
            or permit.permit_id in self.started_permit_ids
        )
        if is_refused:
            return False
        self.token = permit.fencing_token
        self.started_permit_ids.add(permit.permit_id)
        done = permit_done(permit, RunResult.COMPLETED, min(run, permit.lease))
        self.running[permit.permit_id] = (team, now + min(run, permit.lease), done)
        return True


def permit_done(permit: Permit, result: RunResult, run: timedelta) -> PermitDone:
    """Return an entry's report that it has finished with a permit."""
    return PermitDone(
        permit_id=permit.permit_id,
        request_id=permit.request_id,
        pool=permit.pool,
        endpoint_id=permit.endpoint_id,
        result=result,
        run_time=run,
    )


class DispatcherHost:
    """A dispatcher with its own view of the fleet, which may be out of date.

    Attributes
    ----------
    n_changes_seen : int
        Number of the machine's changes that the view contains.
    lease_ends_at : timedelta
        Time at which the dispatcher's lease ends.
    permits : dict
        Id of the granted permit by request id.
    last_reports : dict
        Last report of each endpoint and incarnation, and when it arrived.
    """

    def __init__(self, pool: str, epoch: int, snapshot, now: timedelta) -> None:
        self.pool = pool
        self.view = FleetView()
        self.view.restore(snapshot)
        self.n_changes_seen = 0
        self.lease_ends_at = now
        self.permits: dict[str, str] = {}
        self.last_reports: dict[tuple[str, str], tuple[EndpointReport, timedelta]] = {}
        self.dispatcher = Dispatcher(
            pool=pool,
            epoch=epoch,
            cfg=DispatchSettings(),
            view=self.view,
            rng=Random(1),
        )


class DispatchMachine(RuleBasedStateMachine):
    """Two pools whose dispatchers are replaced while messages are lost.

    It checks that no request is granted or run twice, that no endpoint runs more tasks
    than it has slots, that no team runs more than its limit, and that every VM which is
    reported as drained is idle.
    """

    @initialize()
    def set_up(self) -> None:
        """Create the fleet and a dispatcher for each of its two pools."""
        self.now = timedelta(0)
        self.state = FleetState()
        self.index = 0
        self.changes = []
        for pool in POOLS:
            self._apply(PutResource(name=pool, spec=PoolSpec(max_unavailable=9)))
            spec = QueueSpec(pool=pool, service="s", max_run=MAX_RUN)
            self._apply(PutResource(name=f"q-{pool}", spec=spec))
        for vm, pool in POOL_OF_VM.items():
            spec = VmSpec(pool=pool, data_centre="d", slots=N_SLOTS)
            self._apply(PutResource(name=vm, spec=spec))
        self._apply(PutResource(name="x", spec=TeamSpec(limit=LIMIT)))
        self._apply(PutResource(name="y", spec=TeamSpec()))
        self._apply(RegisterEntry(entry_id="n", incarnation="1", address="n"))
        self.endpoints = {
            f"e-{vm}": FakeEndpoint(vm, n) for n, vm in enumerate(POOL_OF_VM, start=1)
        }
        self.in_flight = []
        self.requests: dict[str, PermitRequest] = {}
        self.ended_request_ids: set[str] = set()
        self.used_permit_ids: set[str] = set()
        self.started_request_ids: set[str] = set()
        self.n_requests = 0
        self.current: dict[str, DispatcherHost] = {}
        self.replaced: list[DispatcherHost] = []
        for pool in POOLS:
            self._assign(pool)
        self._run_without_faults(3)
        self.grant_allotment("a", 2)
        self.grant_allotment("b", 1)
        self._run_without_faults(1)

    # The fleet.

    def _apply(self, command) -> None:
        self.index += 1
        _, changes = self.state.apply(self.index, command)
        self.changes += changes

    def _assign(self, pool: str) -> None:
        self._apply(AssignDispatcher(pool=pool, entry_id="n", incarnation="1"))
        host = DispatcherHost(pool, self.index, self.state.view.snapshot(), self.now)
        host.n_changes_seen = len(self.changes)
        self.current[pool] = host

    def _collect_outputs(self, host: DispatcherHost) -> None:
        for output in host.dispatcher.take_outputs():
            if isinstance(output, Granted):
                self._check_grant(host, output.permit)
                self.in_flight.append(output.permit)
            elif isinstance(output, Refused):
                self.in_flight.append(output.refusal)
            elif isinstance(output, Proposed):
                self.in_flight.append(output.command)
            elif isinstance(output, ToLeader):
                self.in_flight.append(output.message)

    def _check_grant(self, host: DispatcherHost, permit: Permit) -> None:
        """Check a permit against what its dispatcher knows.

        The endpoint must have confirmed its token and reported recently, and a request
        must have no other permit.
        """
        known = host.permits.get(permit.request_id)
        if known is not None:
            assert known == permit.permit_id, "a request was granted twice"
            return
        host.permits[permit.request_id] = permit.permit_id
        report, reported_at = host.last_reports[permit.endpoint_id, permit.incarnation]
        record = host.view.vms[report.vm]
        assert not report.leaving, "a permit for a leaving endpoint"
        assert self.now - reported_at < 3 * SECOND, (
            "a permit for an unresponsive endpoint"
        )
        assert record.pool == host.pool, "a permit for another pool's VM"
        assert record.phase is VmPhase.SERVING, "a permit for a VM that is not serving"
        token = host.view.fencing_token(report.vm)
        assert report.fencing_token == token, "a permit for an unconfirmed endpoint"
        assert self.now + permit.start_within <= host.lease_ends_at, (
            "the start window exceeds the lease"
        )

    def _deliver(self, msg) -> None:
        if isinstance(msg, Permit):
            self._receive_permit(msg)
        elif isinstance(msg, PermitRefusal):
            self.ended_request_ids.add(msg.request_id)
        elif isinstance(msg, VmDrained):
            self._complete_move(msg)
        elif isinstance(msg, tuple):
            self._start_task(*msg)
        elif isinstance(msg, EndpointReport):
            self._deliver_report(msg)
        elif isinstance(msg, PermitRequest | PermitDone | PermitCancel):
            name = type(msg).__name__.removeprefix("Permit").lower()
            host = self.current[msg.pool]
            getattr(host.dispatcher, name)(msg, self.now)
            self._collect_outputs(host)
        elif isinstance(msg, AllotmentRecall):
            self.current[msg.pool].dispatcher.recall(msg, self.now)
            self._collect_outputs(self.current[msg.pool])
        elif isinstance(msg, ReturnAllotment | ReportVm):
            self._apply(msg)

    def _deliver_report(self, msg: EndpointReport) -> None:
        for host in [*self.current.values(), *self.replaced]:
            known = host.last_reports.get((msg.endpoint_id, msg.incarnation))
            record = host.view.vms.get(msg.vm)
            is_ours = record is not None and record.pool == host.pool
            if is_ours and (known is None or known[0].clock < msg.clock):
                host.last_reports[msg.endpoint_id, msg.incarnation] = (msg, self.now)
            host.dispatcher.report(msg, self.now)
            self._collect_outputs(host)

    def _complete_move(self, msg: VmDrained) -> None:
        record = self.state.view.vms[msg.vm]
        lease = self.state.view.dispatchers.get(msg.pool)
        is_current_drain = record.phase is VmPhase.LEAVING and record.pool == msg.pool
        is_current_drain = is_current_drain and record.drain_index == msg.drain_index
        if is_current_drain and lease is not None and lease.epoch == msg.epoch:
            assert not self.endpoints[f"e-{msg.vm}"].running, (
                "a VM with running tasks was drained"
            )
            self._apply(
                CompleteMove(vm=msg.vm, epoch=msg.epoch, drain_index=msg.drain_index)
            )

    def _receive_permit(self, permit: Permit) -> None:
        if permit.permit_id in self.used_permit_ids:
            return
        if permit.request_id in self.ended_request_ids:
            self.in_flight.append(permit_done(permit, RunResult.NOT_RUN, timedelta(0)))
            return
        self.ended_request_ids.add(permit.request_id)
        self.used_permit_ids.add(permit.permit_id)
        self.in_flight.append((permit, self.requests[permit.request_id]))

    def _start_task(self, permit: Permit, req: PermitRequest) -> None:
        endpoint = self.endpoints[permit.endpoint_id]
        if not endpoint.start(permit, req.team, req.expected_run, self.now):
            if permit.permit_id not in endpoint.started_permit_ids:
                self.in_flight.append(
                    permit_done(permit, RunResult.NOT_RUN, timedelta(0))
                )
            return
        assert permit.request_id not in self.started_request_ids, "a request ran twice"
        self.started_request_ids.add(permit.request_id)
        n_slots_used = sum(int(key.split("/")[3]) for key in endpoint.running)
        assert n_slots_used <= N_SLOTS, "more tasks than slots"
        counts = Counter(
            task[0] for e in self.endpoints.values() for task in e.running.values()
        )
        max_running = max(
            self.state.view.team("x").limit, self.state.view.allotted("x")
        )
        assert counts["x"] <= max_running, "more tasks of a team than its limit"

    # Rules.

    @rule(
        teams=st.text("xxyY", min_size=1, max_size=5),
        pool=st.sampled_from(POOLS),
        run=st.integers(1, 4),
        deadline=st.integers(1, 20),
        is_delayed=st.booleans(),
    )
    def submit(
        self, teams: str, pool: str, run: int, deadline: int, is_delayed: bool
    ) -> None:
        """Submit requests; a capital letter stands for one with two slots.

        With `is_delayed` they are sent but not yet delivered.
        """
        for team in teams:
            msg = self._make_request(
                pool, team.lower(), deadline * SECOND, run * SECOND
            )
            if team.isupper():
                msg = msgspec.structs.replace(msg, slots=N_SLOTS)
                self.requests[msg.request_id] = msg
            if is_delayed:
                self.in_flight.append(msg)
            else:
                self._deliver(msg)

    def _make_request(
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
        self.requests[msg.request_id] = msg
        return msg

    @rule(number=st.integers(0, 50), resend=st.booleans())
    def resend_or_cancel(self, number: int, resend: bool) -> None:
        """Resend a request, or cancel it if `resend` is False."""
        if not self.requests:
            return
        msg = list(self.requests.values())[number % len(self.requests)]
        if msg.request_id in self.ended_request_ids:
            return
        if not resend:
            self.ended_request_ids.add(msg.request_id)
            msg = PermitCancel(request_id=msg.request_id, pool=msg.pool)
        self.in_flight.append(msg)

    @rule(
        number=st.integers(0, 50), fate=st.sampled_from(["take"] * 6 + ["lose", "x2"])
    )
    def network_delivers_one(self, number: int, fate: str) -> None:
        """Deliver, lose or duplicate one message in flight, in any order."""
        if not self.in_flight:
            return
        number %= len(self.in_flight)
        msg = self.in_flight[number] if fate == "x2" else self.in_flight.pop(number)
        if fate != "lose":
            self._deliver(msg)

    @rule()
    def network_settles(self) -> None:
        """Deliver all messages in flight."""
        for _ in range(len(self.in_flight)):
            self._deliver(self.in_flight.pop(0))

    @rule(
        vm=st.sampled_from(sorted(POOL_OF_VM)),
        has_token=st.booleans(),
        is_delayed=st.booleans(),
    )
    def announce(self, vm: str, has_token: bool, is_delayed: bool) -> None:
        """Let an endpoint report, and receive its VM's fencing token if `has_token`.

        With `is_delayed` the report is sent but not yet delivered.
        """
        endpoint = self.endpoints[f"e-{vm}"]
        report = endpoint.report(self.now)
        if has_token:
            token = self.state.view.fencing_token(vm)
            endpoint.token = max(endpoint.token, token)
        if is_delayed:
            self.in_flight.append(report)
        else:
            self._deliver_report(report)

    @rule(n_half_seconds=st.integers(1, 4))
    def advance_without_faults(self, n_half_seconds: int) -> None:
        """Let time pass without faults."""
        self._run_without_faults(n_half_seconds)

    @rule(vm=st.sampled_from(sorted(POOL_OF_VM)), leaving=st.booleans())
    def endpoint_leaves_or_stays(self, vm: str, leaving: bool) -> None:
        """Let an endpoint report from here on that it is leaving, or not."""
        self.endpoints[f"e-{vm}"].leaving = leaving

    @rule(vm=st.sampled_from(sorted(POOL_OF_VM)))
    def restart_endpoint(self, vm: str) -> None:
        """Kill an endpoint with its tasks; its successor has received no token."""
        number = self.endpoints[f"e-{vm}"].number + len(POOL_OF_VM)
        self.endpoints[f"e-{vm}"] = FakeEndpoint(vm, number)

    @rule(vm=st.sampled_from(sorted(POOL_OF_VM)))
    def entry_loses_answers(self, vm: str) -> None:
        """Report unknown results of tasks that still run, as lost connections cause."""
        for _, _, done in self.endpoints[f"e-{vm}"].running.values():
            unknown = msgspec.structs.replace(done, result=RunResult.UNKNOWN)
            self.in_flight.append(unknown)

    @rule(tenths=st.sampled_from([1, 5, 10, 10, 30]))
    def advance(self, tenths: int) -> None:
        """Let time pass and end the tasks whose run time is over."""
        self.now += timedelta(seconds=tenths / 10)
        for endpoint in self.endpoints.values():
            for permit_id, task in list(endpoint.running.items()):
                if task[1] <= self.now:
                    del endpoint.running[permit_id]
                    self.in_flight.append(task[2])

    @rule(pool=st.sampled_from(POOLS), is_synced=st.booleans())
    def tick(self, pool: str, is_synced: bool) -> None:
        """Renew a dispatcher's lease, update its view if `is_synced`, and tick it."""
        host = self.current[pool]
        host.lease_ends_at = self.now + 3 * SECOND
        host.dispatcher.set_lease_end(host.lease_ends_at)
        if is_synced:
            self._sync_view(host)
        host.dispatcher.tick(self.now)
        self._collect_outputs(host)

    def _sync_view(self, host: DispatcherHost) -> None:
        changes = self.changes[host.n_changes_seen :]
        host.n_changes_seen = len(self.changes)
        for change in changes:
            host.view.apply(change)
        host.dispatcher.view_changed(self.now, changes)

    @rule(pool=st.sampled_from(POOLS))
    def replace_dispatcher(self, pool: str) -> None:
        """Assign a pool to a new dispatcher while the lease of the old one overlaps."""
        old = self.current[pool]
        epoch = self.state.view.dispatchers[pool].epoch
        self._apply(ReleaseDispatcher(pool=pool, epoch=epoch))
        old.lease_ends_at = min(old.lease_ends_at, self.now + LEASE_OVERLAP)
        old.dispatcher.set_lease_end(old.lease_ends_at)
        self.replaced.append(old)
        self._assign(pool)

    @rule(pool=st.sampled_from(POOLS), count=st.integers(1, LIMIT))
    def grant_allotment(self, pool: str, count: int) -> None:
        """Let the leader change an allotment."""
        version = self.state.view.allotment("x", pool).version
        self._apply(
            GrantAllotment(team="x", pool=pool, count=count, if_version=version)
        )

    @rule(pool=st.sampled_from(POOLS), count=st.integers(0, LIMIT))
    def recall_allotment(self, pool: str, count: int) -> None:
        """Let the leader recall an allotment."""
        epoch = self.state.view.dispatchers[pool].epoch
        self.in_flight.append(
            AllotmentRecall(team="x", pool=pool, epoch=epoch, count=count)
        )

    @rule(limit=st.integers(1, LIMIT))
    def set_limit(self, limit: int) -> None:
        """Change the limit of the limited team."""
        self._apply(PutResource(name="x", spec=TeamSpec(limit=limit)))

    @rule(vm=st.sampled_from(sorted(POOL_OF_VM)), pool=st.sampled_from(POOLS))
    def begin_move(self, vm: str, pool: str) -> None:
        """Change the pool of a VM's specification and begin its move there."""
        spec = VmSpec(pool=pool, data_centre="d", slots=N_SLOTS)
        self._apply(PutResource(name=vm, spec=spec))
        record = self.state.view.vms[vm]
        if record.phase is VmPhase.LEAVING and record.move_to != pool:
            # The planner cancels a move whose target the operator has changed.
            self._apply(CancelMove(vm=vm, drain_index=record.drain_index))
        self._apply(BeginMove(vm=vm, to_pool=pool))

    @invariant()
    def replaced_dispatchers_keep_ticking(self) -> None:
        """Tick the replaced dispatchers, which still act on their old views."""
        for host in self.replaced:
            host.dispatcher.tick(self.now)
            self._collect_outputs(host)

    # After the run.

    def teardown(self) -> None:
        """Check that all tasks end and all pools serve once the faults have ended."""
        if not hasattr(self, "state"):
            return
        self.replaced = []
        for endpoint in self.endpoints.values():
            endpoint.leaving = False
        self._run_without_faults(56)
        for pool, host in self.current.items():
            n_running = host.dispatcher.n_running
            assert not n_running, (
                f"running tasks that pool {pool} still counts: {n_running}"
            )
            assert not host.dispatcher.n_waiting, "requests still wait"
        for pool in POOLS:
            self._check_served(pool)

    def _run_without_faults(self, n_half_seconds: int) -> None:
        for _ in range(n_half_seconds):
            self.advance(5)
            for vm in POOL_OF_VM:
                self.announce(vm, has_token=True, is_delayed=False)
            for pool in POOLS:
                self.tick(pool, is_synced=True)
            for _ in range(4):
                self.network_settles()

    def _check_served(self, pool: str) -> None:
        if not self.state.view.vms_of(pool):
            return
        n_before = len(self.started_request_ids)
        for _ in range(N_SLOTS):
            msg = self._make_request(pool, "y", 5 * SECOND, SECOND / 10)
            self.in_flight.append(msg)
        self._run_without_faults(3)
        assert len(self.started_request_ids) == n_before + N_SLOTS, (
            f"pool {pool} serves fewer than its slots"
        )
