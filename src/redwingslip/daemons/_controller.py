"""The controller daemon: a replica of the log that schedules while it leads."""

import asyncio
import random
from datetime import timedelta

from ..clock import Clock
from ..consensus import ConsensusMessage, DataFolder, Replica, found_data_folder
from ..http import HttpServer
from ..jobs import Command, JobsMachine
from ..observe import Event, EventName, EventSink
from ..peers import LeaderQuery, LeaderReport, Message, RelayedAnswer, RelayedCall
from ..platform import (
    AdviceClient,
    MachineClient,
    WorkerOrders,
    answer_call,
    control_app,
)
from ..scheduling import JobService, Scheduler
from ._fleet_settings import ControllerSettings
from ._gateway import refuse
from ._metrics_server import MetricsServer
from ._process import ProcessCore
from ._relay import LeaderRelay
from .exceptions import AnswerUnknownError, NoLeaderKnownError

__all__ = ["ControllerApp"]

# The discard port: refuses connections, so that calls fail at once.
NOWHERE = "127.0.0.1:9"
FIRST_ERROR_STATUS = 400


class ControllerApp:
    """A controller, from its settings to its end.

    Parameters
    ----------
    cfg : ControllerSettings
        Its settings.
    clock : Clock or None
        The machine's by default.
    events : EventSink or None
        By default the log of the settings.
    """

    def __init__(
        self,
        cfg: ControllerSettings,
        *,
        clock: Clock | None = None,
        events: EventSink | None = None,
    ) -> None:
        self.cfg = cfg
        self._id = cfg.peers.listen
        self._core = ProcessCore(
            cfg, clock=clock, events=events, on_message=self._on_message
        )
        self._clock = self._core.clock
        self._events = self._core.events
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
        self.relay = LeaderRelay(
            cfg=cfg.relay,
            seeds=(*cfg.seed_ids, self._id),
            send=self._core.send,
            clock=self._clock,
            events=self._events,
        )
        self._orders = WorkerOrders()
        self._operations = MachineClient(
            cfg.cloud.address or NOWHERE, holder=cfg.process.id
        )
        self._adviser = AdviceClient(cfg.cloud.advice or NOWHERE)
        self._scheduler: Scheduler | None = None
        self._service: JobService | None = None
        self._tasks: set[asyncio.Task] = set()
        host, _, port = cfg.listen.calls.rpartition(":")
        app = control_app(self._exchange, cfg.http, cfg.relay.control_patience)
        self._metrics_server = MetricsServer(cfg.metrics)
        self._server = HttpServer(app, cfg.http, host=host, port=int(port))

    async def start(self) -> None:
        """Take part in the log, and listen.

        Raises
        ------
        ReplicaFailedError
            If the data folder can't be read.
        """
        self._found()
        await self._core.start()
        await self.replica.start()
        self._spawn(self.relay.run())
        await self._server.start()
        await self._metrics_server.start()
        self._core.report_start(self.replica.incarnation)

    def _found(self) -> None:
        """Make the folder that of a founder, where the system starts on seeds."""
        is_seed = self._id in self.cfg.seed_ids
        folder = DataFolder(self.cfg.replica.data_folder)
        if self.cfg.cluster.is_founding and is_seed and not folder.exists():
            found_data_folder(self.cfg.replica.data_folder, self._id)

    def reload(self, cfg: ControllerSettings) -> None:
        """Take over changed settings: the replicas to ask first."""
        self.relay.add_replicas(cfg.seed_ids)
        self.replica.add_peers(cfg.seed_ids)
        self._core.emit(EventName.SETTINGS_RELOADED, detail=",".join(cfg.seed_ids))

    async def stop(self) -> None:
        """Hand leadership over, finish the calls that have begun, and stop."""
        await self.replica.stop()
        await self._server.stop(self.cfg.drain.grace)
        await self._metrics_server.stop()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._orders.close()
        await self._operations.close()
        await self._adviser.close()
        await self._core.stop()

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
        self._scheduler = Scheduler(
            replica=self.replica,
            state=self.machine.state,
            orders=self._orders,
            operations=self._operations,
            adviser=self._adviser,
            clock=self._clock,
            events=self._events,
            metrics=self._core.metrics,
            cfg=self.cfg.leader,
        )
        self._service = JobService(
            state=self.machine.state, scheduler=self._scheduler, events=self._events
        )
        self._scheduler.begin()

    def _on_applied(self, command: Command, outcome: object) -> None:
        if self._scheduler is not None:
            self._scheduler.applied(command, outcome)

    async def _exchange(self, call: RelayedCall, patience: timedelta) -> RelayedAnswer:
        try:
            return await self.relay.exchange(call, patience)
        except (NoLeaderKnownError, AnswerUnknownError) as exc:
            return refuse(call, exc, self._events)

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
        elif isinstance(msg, RelayedAnswer):
            self.relay.receive_answer(sender_id, msg)
        elif isinstance(msg, LeaderReport):
            self.relay.receive_report(sender_id, msg)

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
        answer = await answer_call(service, call, own_address=self.cfg.listen.calls)
        if answer.status >= FIRST_ERROR_STATUS:
            version = self.machine.state.plan.version
            self._events.emit(
                Event(
                    name=EventName.CALL_REFUSED,
                    request_id=call.request_id,
                    term=self.replica.term,
                    status=answer.status,
                    detail=f"{call.method} {call.path} under plan {version}: "
                    + answer.body.decode(errors="replace"),
                )
            )
        self._core.send(sender_id, answer)

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
