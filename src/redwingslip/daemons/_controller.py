"""The controller daemon: a replica of the log that schedules while it leads."""

import random

from .. import submitters
from ..consensus import ConsensusMessage, DataFolder, Replica, found_data_folder
from ..jobs import Command, JobsMachine
from ..observe import EventName
from ..peers import (
    CallSource,
    LeaderQuery,
    LeaderReport,
    Message,
    RelayedAnswer,
    RelayedCall,
)
from ..platform import (
    AdviceClient,
    MachineClient,
    WorkerClient,
    answer_call,
    error_answer,
)
from ..scheduling import JobService, Scheduler, Term
from ._fleet_app import FIRST_ERROR_STATUS, FleetApp
from ._fleet_settings import ControllerSettings

__all__ = ["ControllerApp"]

# The discard port: refuses connections, so that calls fail at once.
NOWHERE = "127.0.0.1:9"


class ControllerApp(FleetApp):
    """A controller; see `DaemonApp`."""

    cfg: ControllerSettings

    def _build(self) -> None:
        super()._build()
        cfg = self.cfg
        self._id = cfg.peers.listen
        self.machine = JobsMachine()
        self.machine.on_applied = self._on_applied
        self.replica = Replica(
            cfg=cfg.consensus,
            data_folder=cfg.replica.data_folder,
            replica_id=self._id,
            address=self._id,
            peers={seed: seed for seed in cfg.seed_ids},
            machine=self.machine,
            send=self._core.send,
            clock=self._clock,
            rng=random.Random(),
            events=self._events,
        )
        self.replica.on_leadership = self._on_leadership
        self._orders = WorkerClient()
        self._operations = MachineClient(
            cfg.cloud.address or NOWHERE, holder=cfg.process.id
        )
        self._adviser = AdviceClient(cfg.cloud.advice or NOWHERE)
        self._scheduler: Scheduler | None = None
        self._service: JobService | None = None
        self._server = self._call_server(CallSource.CONTROL, cfg.relay.control_patience)

    async def start(self) -> None:
        """Take part in the log, and listen.

        Raises
        ------
        ReplicaFailedError
            If the data folder can't be read.
        """
        self._found()
        await self._start_core()
        await self.replica.start()
        await self._server.start()
        self._core.report_start(self.replica.incarnation)

    def _found(self) -> None:
        """Make the folder that of a founder, where the system starts on seeds."""
        is_seed = self._id in self.cfg.seed_ids
        folder = DataFolder(self.cfg.replica.data_folder)
        if self.cfg.cluster.is_founding and is_seed and not folder.exists():
            found_data_folder(self.cfg.replica.data_folder, self._id)

    def reload(self, cfg: ControllerSettings) -> None:
        """Take over changed settings: the replicas to ask first."""
        super().reload(cfg)
        self.replica.add_peers(cfg.seed_ids)

    async def stop(self) -> None:
        """Hand leadership over, finish the calls that have begun, and stop."""
        await self.replica.stop()
        await self._server.stop(self.cfg.drain.grace)
        await self._orders.close()
        await self._operations.close()
        await self._adviser.close()
        await self._stop_core()

    async def wait_failed(self) -> None:
        """Return or raise once the replica has stopped by itself."""
        await self.replica.wait_closed()

    def _on_leadership(self, is_leader: bool) -> None:
        if self._scheduler is not None:
            self._scheduler.close()
            self._scheduler = None
            self._service = None
        if not is_leader:
            return
        term = Term(
            replica=self.replica,
            state=self.machine.state,
            clock=self._clock,
            events=self._events,
            metrics=self._core.metrics,
        )
        self._scheduler = Scheduler(
            term=term,
            orders=self._orders,
            operations=self._operations,
            adviser=self._adviser,
            cfg=self.cfg.leader,
        )
        self._service = JobService(term=term, scheduler=self._scheduler)
        self._scheduler.begin()

    def _on_applied(self, command: Command, outcome: object) -> None:
        if self._scheduler is not None:
            self._scheduler.applied(command, outcome)

    def _on_message(self, sender_id: str, msg: Message) -> None:
        if isinstance(msg, ConsensusMessage):
            self.replica.receive(sender_id, msg)
        elif isinstance(msg, RelayedCall):
            self._take_call(sender_id, msg)
        elif isinstance(msg, LeaderQuery):
            report = LeaderReport(
                leader_id=self.replica.leader_id,
                has_lease=self._is_serving(),
                members=tuple(m.replica_id for m in self.replica.members),
            )
            self._core.send(sender_id, report)
        else:
            super()._on_message(sender_id, msg)

    def _is_serving(self) -> bool:
        return self._service is not None and self.replica.has_quorum_lease()

    def _take_call(self, sender_id: str, call: RelayedCall) -> None:
        if not self._is_serving():
            answer = RelayedAnswer(number=call.number, is_taken=False)
            self._core.send(sender_id, answer)
            return
        self._spawn(self._answer(sender_id, call, self._service))

    async def _answer(
        self, sender_id: str, call: RelayedCall, service: JobService
    ) -> None:
        try:
            if call.source is CallSource.SUBMITTERS:
                answer = await submitters.answer_submitter(service, call)
            else:
                own_address = self.cfg.listen.calls
                answer = await answer_call(service, call, own_address=own_address)
        except Exception as exc:
            # A fault of this program must not leave the caller without an answer.
            is_own = call.source is CallSource.SUBMITTERS
            answer = (submitters.error_answer if is_own else error_answer)(call, exc)
            self._core.emit(EventName.WARNING, detail=f"{call.path}: {exc!r}")
        if answer.status >= FIRST_ERROR_STATUS:
            version = self.machine.state.plan.version
            reason = answer.body.decode(errors="replace")
            self._log_refusal(call, answer, f"under plan {version}: {reason}")
        self._core.send(sender_id, answer)
