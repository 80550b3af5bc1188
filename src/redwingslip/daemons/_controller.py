"""The controller daemon: a replica of the log that schedules jobs while it leads."""

import asyncio
import random
from datetime import timedelta

from .. import control
from ..consensus import ConsensusMessage, DataFolder, Replica, bootstrap_data_folder
from ..delegation import DelegatedOrders, OrderDelegate
from ..http import (
    BodyRefusedError,
    HttpServer,
    machine_memory_bytes,
)
from ..jobs import Command, ForgetJobs, JobsMachine, SubmitJob
from ..observe import EventName
from ..peers import (
    CallSource,
    DelegateLease,
    DelegateLeaseRecall,
    DelegateLeaseRequest,
    DelegateLeaseReturn,
    LeaderQuery,
    LeaderReport,
    Message,
    OrderBatch,
    OrderMessage,
    OrderReplies,
    RelayedAnswer,
    RelayedCall,
)
from ..platform import (
    AdviceClient,
    MachineClient,
    WorkerClient,
)
from ..relay import RelayBusyError
from ..scheduling import JobMemory, JobService, Scheduler, Term, VmAdmission
from ._call_answers import CallAnswers
from ._call_memory import CallClaim, claim_call
from ._fleet_app import FIRST_ERROR_STATUS, FleetApp, new_relay_error_answer
from ._fleet_settings import ControllerSettings
from ._start_faults import listening

__all__ = ["ControllerApp"]

# Nothing listens on the discard port, so calls without a configured service are refused
# immediately.
UNREACHABLE_ADDRESS = "127.0.0.1:9"
# Polls that are in progress are answered within about a second.
DELEGATE_PATIENCE = timedelta(milliseconds=1200)


class ControllerApp(FleetApp):
    """A controller; see `DaemonApp`."""

    cfg: ControllerSettings

    def _build(self) -> None:
        super()._build()
        cfg = self.cfg
        self._replica_id = cfg.peers.listen
        self.machine = JobsMachine()
        self.machine.on_applied = self._on_applied
        self.replica = Replica(
            cfg=cfg.consensus,
            data_folder=cfg.replica.data_folder,
            replica_id=self._replica_id,
            address=self._replica_id,
            peers={seed: seed for seed in cfg.seed_ids},
            machine=self.machine,
            send=self._core.send,
            clock=self._clock,
            rng=random.Random(),
            events=self._events,
        )
        self.replica.on_leadership = self._on_leadership
        self._worker_client = WorkerClient()
        self._machine_client = MachineClient(
            cfg.cloud.address or UNREACHABLE_ADDRESS, holder=cfg.process.id
        )
        self._advice_client = AdviceClient(cfg.cloud.advice or UNREACHABLE_ADDRESS)
        self._delegate = OrderDelegate(
            own_id=self._replica_id,
            orders=self._worker_client,
            leader_id=lambda: self.replica.leader_id,
            current_term=lambda: self.replica.term,
            send=self._core.send,
            clock=self._clock,
            cfg=cfg.delegation,
        )
        self._orders: DelegatedOrders | None = None
        self._scheduler: Scheduler | None = None
        self._service: JobService | None = None
        self._term = 0
        self._answers = CallAnswers(
            own_address=cfg.listen.calls, on_fault=self._report_fault
        )
        self._call_server = self._new_call_server(
            CallSource.CONTROL, cfg.relay.control_patience
        )
        self._operator_server = self._new_operator_server()

    def _new_operator_server(self) -> HttpServer | None:
        """Return the server of the interface for operators, or None if it is off."""
        address = self.cfg.listen.operators
        if address is None:
            return None
        app = control.control_app(
            self._relay_call,
            self.cfg.http,
            self.cfg.relay.control_patience,
            self.cfg.operators.token_sha256,
        )
        return self._new_server(app, address)

    async def start(self) -> None:
        """Join the replicated log and start to listen.

        Raises
        ------
        ReplicaFailedError
            If the data folder can't be read.
        """
        self._bootstrap_data_folder()
        await self._start_core()
        await self.replica.start()
        with listening("listen", "calls", self.cfg.listen.calls):
            await self._call_server.start()
        if self._operator_server is not None:
            with listening("listen", "operators", self.cfg.listen.operators):
                await self._operator_server.start()
        self._spawn(self._delegate.run())
        self._core.report_start(self.replica.incarnation)

    def _bootstrap_data_folder(self) -> None:
        """Create a seed's data folder when the system starts for the first time."""
        is_seed = self._replica_id in self.cfg.seed_ids
        folder = DataFolder(self.cfg.replica.data_folder)
        if self.cfg.cluster.is_founding and is_seed and not folder.exists():
            bootstrap_data_folder(self.cfg.replica.data_folder, self._replica_id)

    def reload(self, cfg: ControllerSettings) -> None:
        """Apply changed settings: the addresses of the seeds."""
        super().reload(cfg)
        self.replica.add_peers(cfg.seed_ids)

    async def stop(self) -> None:
        """Hand leadership over, finish the calls in progress, and stop."""
        if self._orders is not None:
            await self._orders.withdraw()
        await self._delegate.resign(DELEGATE_PATIENCE)
        await self.replica.stop()
        self._delegate.close()
        servers = [self._call_server, self._operator_server]
        await asyncio.gather(
            *(s.stop(self.cfg.drain.grace) for s in servers if s is not None)
        )
        await self._worker_client.close()
        await self._machine_client.close()
        await self._advice_client.close()
        await self._stop_core()

    async def wait_failed(self) -> None:
        """Wait until the replica stops by itself, and raise its error if it failed."""
        await self.replica.wait_closed()

    def _on_leadership(self, is_leader: bool) -> None:
        """Start a scheduler when a term as leader begins, close it when one ends."""
        if self._scheduler is not None:
            self._scheduler.close()
            self._orders.close()
            self._scheduler = None
            self._orders = None
            self._service = None
            self._term = 0
        if not is_leader:
            return
        term = Term(
            replica=self.replica,
            state=self.machine.state,
            clock=self._clock,
            events=self._events,
            metrics=self._core.metrics,
        )
        self._term = term.fence
        self._orders = DelegatedOrders(
            own_id=self._replica_id,
            own=self._worker_client,
            fence=term.fence,
            lease_remaining=self.replica.lease_remaining,
            n_delegates=lambda: len(self.replica.members) - 1,
            n_vms=lambda: len(self.machine.state.vms),
            send=self._core.send,
            clock=self._clock,
            events=self._events,
            metrics=self._core.metrics,
            cfg=self.cfg.delegation,
        )
        self._orders.begin()
        self._scheduler = Scheduler(
            term=term,
            orders=self._orders,
            operations=self._machine_client,
            adviser=self._advice_client,
            cfg=self.cfg.leader,
        )
        self._service = JobService(
            term=term,
            scheduler=self._scheduler,
            gate=self._scheduler.gate,
            memory=JobMemory(
                term=term,
                cfg=self.cfg.scheduling,
                machine_bytes=machine_memory_bytes(),
            ),
            vm_admission=VmAdmission(
                term=term, scheduler=self._scheduler, cfg=self.cfg.scheduling
            ),
        )
        self._scheduler.begin()

    def _on_applied(self, command: Command, outcome: object) -> None:
        if isinstance(command, SubmitJob | ForgetJobs):
            self._core.metrics.set_job_usage(self.machine.state.sizes.n_bytes)
        if self._scheduler is not None:
            self._scheduler.applied(command, outcome)

    def _on_message(self, sender_id: str, msg: Message) -> None:
        if isinstance(msg, ConsensusMessage):
            self.replica.receive(sender_id, msg)
        elif isinstance(msg, OrderMessage):
            self._on_order_message(sender_id, msg)
        elif isinstance(msg, RelayedCall):
            self._handle_call(sender_id, msg)
        elif isinstance(msg, LeaderQuery):
            is_serving = self._is_serving()
            report = LeaderReport(
                leader_id=self.replica.leader_id,
                has_lease=is_serving,
                term=self._term if is_serving else 0,
                members=tuple(m.replica_id for m in self.replica.members),
                takes_delegates=True,
            )
            self._core.send(sender_id, report)
        else:
            if isinstance(msg, LeaderReport):
                takes_delegates = msg.takes_delegates
                self._delegate.note_version(sender_id, takes_delegates=takes_delegates)
            super()._on_message(sender_id, msg)

    def _on_order_message(self, sender_id: str, msg: OrderMessage) -> None:
        """Pass a message of the delegation to the delegate or to the leader's side."""
        match msg:
            case OrderBatch():
                self._delegate.receive_orders(sender_id, msg)
            case DelegateLease():
                self._delegate.receive_lease(sender_id, msg)
            case DelegateLeaseRecall():
                self._delegate.receive_recall(sender_id, msg)
            case OrderReplies() if self._orders is not None:
                self._orders.receive_replies(sender_id, msg)
            case DelegateLeaseRequest() if self._orders is not None:
                self._orders.receive_request(sender_id, msg)
            case DelegateLeaseReturn() if self._orders is not None:
                self._orders.receive_return(sender_id, msg)

    def _is_serving(self) -> bool:
        """Return whether this process leads and may answer calls."""
        return self._service is not None and self.replica.has_quorum_lease()

    def _handle_call(self, sender_id: str, call: RelayedCall) -> None:
        """Start to answer a relayed call, or reject it when not serving as leader.

        A call for an earlier term may have waited on its way, while a later attempt
        was refused for good.
        """
        if not self._is_serving() or call.term not in (0, self._term):
            answer = RelayedAnswer(number=call.number, is_taken=False)
            self._core.send(sender_id, answer)
            return
        try:
            is_own = sender_id == self._replica_id
            claim = claim_call(self._memory.bodies, call, is_own=is_own)
        except BodyRefusedError:
            busy = RelayBusyError("the leader has no memory for the body")
            self._core.send(sender_id, new_relay_error_answer(call, busy))
            return
        self._spawn(self._answer_and_release(sender_id, call, self._service, claim))

    async def _answer_and_release(
        self, sender_id: str, call: RelayedCall, service: JobService, claim: CallClaim
    ) -> None:
        try:
            await self._answer_call(sender_id, call, service)
        finally:
            claim.release()

    async def _answer_call(
        self, sender_id: str, call: RelayedCall, service: JobService
    ) -> None:
        answer = await self._answers.answer(service, call)
        if answer.status >= FIRST_ERROR_STATUS:
            version = self.machine.state.plan.version
            reason = answer.body.decode(errors="replace")
            self._log_refusal(call, answer, f"under plan {version}: {reason}")
        self._core.send(sender_id, answer)

    def _report_fault(self, call: RelayedCall, exc: Exception) -> None:
        """Log the internal error that ended a call."""
        self._core.emit(EventName.WARNING, detail=f"{call.path}: {exc!r}")
