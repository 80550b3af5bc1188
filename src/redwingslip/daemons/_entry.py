"""The entry daemon, which serves callers, endpoints and operators over HTTP."""

import asyncio
import contextlib
import random
import secrets
from datetime import timedelta
from functools import singledispatchmethod

from ..callers import CallerInterface, ResultLimits, ResultStore, authenticate
from ..endpoints import (
    AnnouncementError,
    AnnouncementReply,
    EndpointClient,
    announcement_routes,
)
from ..fleet import (
    Accepted,
    Change,
    Command,
    Conflict,
    FleetView,
    Outcome,
    ReleaseDispatcher,
)
from ..http import HttpServer, ServerMemory, TlsFiles, build_app
from ..leases import LeaseHolder
from ..observe import EventName
from ..operators import NoLeaderError, ProcessStatus, operator_routes
from ..peers import (
    AllotmentRecall,
    EndpointReport,
    LeaseGrant,
    Message,
    Permit,
    PermitCancel,
    PermitDone,
    PermitRefusal,
    PermitRequest,
    ProposalReply,
    RebootOrder,
    RedirectToLeader,
    ReplicasReply,
)
from ..reboots import PlatformClient, PlatformSettings
from ._claims import ClaimClient
from ._dispatch_host import DispatchHost
from ._entry_settings import EntryDaemonSettings
from ._leader import LeaderClient
from ._memory_report import report_memory
from ._permits import PermitClient
from ._process import DaemonApp
from ._reboots import RebootRunner
from ._runner import EntryRunner
from ._start_faults import listening
from ._view_follower import ViewFollower

__all__ = ["EntryApp"]

TICK_INTERVAL = timedelta(milliseconds=50)
ANNOUNCE_INTERVAL = timedelta(seconds=1)
PROPOSE_TIMEOUT = timedelta(seconds=2)
RELEASE_TIMEOUT = timedelta(seconds=3)
READYZ_OFF_BEFORE_STOP = timedelta(milliseconds=500)
N_INCARNATION_BYTES = 6


class EntryApp(DaemonApp):
    """An entry; see `DaemonApp`."""

    cfg: EntryDaemonSettings

    def _build(self) -> None:
        self._entry_id = self.cfg.process.id
        self._incarnation = secrets.token_hex(N_INCARNATION_BYTES)
        self._view = FleetView()
        self._tasks: list[asyncio.Task] = []
        self._had_lease = False
        cfg = self.cfg
        self._leader = LeaderClient(
            replicas=tuple(cfg.replicas),
            send=self._hub.send,
            reset=self._hub.reset,
            clock=self._clock,
        )
        self._permits = PermitClient(
            view=self._view, send=self._hub.send, clock=self._clock
        )
        self._claims = ClaimClient(
            cfg=cfg.requests,
            leader=self._leader,
            clock=self._clock,
            entry_id=self._entry_id,
            incarnation=self._incarnation,
        )
        self._client = EndpointClient(cfg.endpoint_calls)
        self._platform = self._new_platform_client()
        self._reboots = RebootRunner(self._platform, self._leader.send)
        self._dispatch_host = DispatchHost(
            cfg=cfg.dispatch,
            entry_id=self._entry_id,
            incarnation=self._incarnation,
            view=self._view,
            send=self._hub.send,
            send_to_leader=self._leader.send,
            propose=self._leader.propose_in_background,
            clock=self._clock,
            rng=random.Random(self._incarnation),
            events=self._events,
        )
        self.runner = EntryRunner(
            cfg=cfg.requests,
            entry_id=self._entry_id,
            view=self._view,
            has_lease=self.has_lease,
            permits=self._permits,
            claims=self._claims,
            client=self._client,
            clock=self._clock,
            events=self._events,
            metrics=self._core.metrics,
        )

    def _new_platform_client(self) -> PlatformClient | None:
        address = self.cfg.platform.address
        if address is None:
            return None
        return PlatformClient(PlatformSettings(address=address))

    # Life cycle.

    @property
    def http_address(self) -> str:
        """Return host and port of the HTTP server, with the actual port."""
        return self._server.address

    async def start(self) -> None:
        """Start to listen and to request the lease."""
        await self._core.start()
        holder = LeaseHolder(
            cfg=self.cfg.leases,
            entry_id=self._entry_id,
            incarnation=self._incarnation,
            address=self._hub.address,
            data_centre=self.cfg.process.data_centre,
            view=self._view,
        )
        self._follower = ViewFollower(holder, self._clock)
        self._build_server()
        with listening("http", "listen", self.cfg.http.listen):
            await self._server.start()
        self._tasks = [
            asyncio.create_task(self._renew_forever(), name="renew the lease"),
            asyncio.create_task(self._tick_forever(), name="tick"),
        ]
        self._core.report_start(self._incarnation)

    def _build_server(self) -> None:
        cfg = self.cfg
        limits = cfg.http_limits
        scheme = "https" if self._core.is_encrypted else "http"
        self._callers = CallerInterface(
            self.runner,
            limits,
            ResultStore(ResultLimits(), self._clock),
            own_url=f"{scheme}://{cfg.http.listen}",
            identify=lambda secret: authenticate(self._view, secret),
        )
        routes = [
            *self._callers.routes(),
            *announcement_routes(self, limits, token_hashes=cfg.endpoints.token_sha256),
            *operator_routes(self, limits, cfg.operators.token_sha256),
        ]
        host, _, port = cfg.http.listen.rpartition(":")
        memory = ServerMemory(
            limits, is_encrypted=self._core.is_encrypted, clock=self._clock
        )
        report_memory(memory, self._core)
        self._server = HttpServer(
            build_app(routes),
            limits,
            host=host,
            port=int(port),
            tls=self._tls_files(),
            memory=memory,
        )

    def _tls_files(self) -> TlsFiles | None:
        cfg = self.cfg.tls
        if not cfg.enabled:
            return None
        return TlsFiles(certificate=str(cfg.certificate), key=str(cfg.key))

    def reload(self) -> None:
        """Reload certificate and key; new connections use them."""
        if self._core.is_encrypted:
            self._server.reload_tls()
            self._core.reload()

    async def stop(self) -> None:
        """Stop gracefully: hand the pools over and finish the accepted requests."""
        self.runner.is_stopping = True
        self._server.start_draining()
        await asyncio.sleep(READYZ_OFF_BEFORE_STOP.total_seconds())
        self._dispatch_host.stop_granting()
        self._renew()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RELEASE_TIMEOUT.total_seconds()):
                await self._release_pools()
        await self._callers.drain()
        await self._server.stop(self.cfg.entry.drain_grace)
        await self._callers.close()
        await self._claims.drain()
        await self._release_lease()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._reboots.stop()
        await self._client.close()
        if self._platform is not None:
            await self._platform.close()
        await self._core.stop()

    async def _release_pools(self) -> None:
        """Hand each pool over once the start windows of its permits have expired."""
        while self._dispatch_host.pools:
            for pool, epoch in self._dispatch_host.releasable():
                with contextlib.suppress(NoLeaderError):
                    command = ReleaseDispatcher(pool=pool, epoch=epoch)
                    await self._leader.propose(command, PROPOSE_TIMEOUT)
            await asyncio.sleep(TICK_INTERVAL.total_seconds())

    async def _release_lease(self) -> None:
        """Give the lease up, so that the leader need not wait until it expires."""
        # The first task renews the lease.
        self._tasks[0].cancel()
        self._leader.send(self._follower.next_renewal(leaving=True))
        await asyncio.sleep(TICK_INTERVAL.total_seconds())

    # Lease and view.

    def _now(self) -> timedelta:
        return self._clock.monotonic()

    def has_lease(self) -> bool:
        """Return whether the entry's lease is valid."""
        return self._follower.has_lease()

    async def _renew_forever(self) -> None:
        """Renew the lease, and try another replica when the leader is unresponsive."""
        cfg = self.cfg.leases
        while True:
            self._renew()
            await asyncio.sleep(cfg.renewal.total_seconds())
            self._leader.check_contact(2 * cfg.renewal)

    def _renew(self) -> None:
        stopping = self.runner.is_stopping
        self._leader.send(self._follower.next_renewal(stopping=stopping))

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL.total_seconds())
            self._permits.resend_requests()
            self._dispatch_host.tick()
            self._emit_lease_change()

    def _emit_lease_change(self) -> None:
        """Emit an event when the lease has been acquired or lost."""
        has_lease = self.has_lease()
        if has_lease != self._had_lease:
            self._had_lease = has_lease
            name = EventName.LEASE_ACQUIRED if has_lease else EventName.LEASE_LOST
            self._core.emit(name, index=self._view.index)

    def _handle_grant(self, msg: LeaseGrant) -> None:
        """Apply a grant to the lease, the view and what depends on them."""
        is_new, changes = self._follower.apply_grant(msg)
        self._dispatch_host.set_lease_end(self._follower.lease_ends_at)
        if not is_new:
            return
        self._update_entry_addresses()
        if changes is None or changes:
            self._core.emit(EventName.COMMAND_APPLIED, index=self._view.index)
            self._dispatch_host.view_changed(changes, self._follower.lease_ends_at)
            self._permits.resend_requests()

    def _update_entry_addresses(self) -> None:
        """Set the addresses of the links to all entries of the view."""
        for entry in self._view.entries.values():
            self._hub.set_address(entry.entry_id, entry.address)

    # Messages.

    def _on_message(self, sender_id: str, msg: Message) -> None:
        self._receive(msg, sender_id)

    @singledispatchmethod
    def _receive(self, msg: Message, sender_id: str) -> None:
        self._core.emit(
            EventName.WARNING,
            peer=sender_id,
            detail=f"unexpected {type(msg).__name__}",
        )

    @_receive.register
    def _(self, msg: LeaseGrant, sender_id: str) -> None:
        self._leader.record_contact(sender_id)
        self._handle_grant(msg)

    @_receive.register
    def _(self, msg: RedirectToLeader, sender_id: str) -> None:
        self._leader.handle_redirect(sender_id, msg)

    @_receive.register
    def _(self, msg: ProposalReply, sender_id: str) -> None:
        self._leader.handle_proposal_reply(msg)

    @_receive.register
    def _(self, msg: ReplicasReply, sender_id: str) -> None:
        self._leader.handle_replicas_reply(msg)

    @_receive.register
    def _(self, msg: RebootOrder, sender_id: str) -> None:
        self._reboots.handle_order(msg)

    @_receive.register
    def _(self, msg: Permit, sender_id: str) -> None:
        self._permits.handle_permit(msg)

    @_receive.register
    def _(self, msg: PermitRefusal, sender_id: str) -> None:
        self._permits.handle_refusal(msg)

    @_receive.register(PermitRequest)
    @_receive.register(PermitCancel)
    @_receive.register(PermitDone)
    @_receive.register(AllotmentRecall)
    @_receive.register(EndpointReport)
    def _(self, msg: Message, sender_id: str) -> None:
        self._dispatch_host.receive(msg)

    # Calls of endpoints (`AnnouncementHandler`).

    def announce(self, report: EndpointReport) -> AnnouncementReply:
        """Forward an endpoint's announcement to its pool's dispatcher."""
        if not self.has_lease():
            raise AnnouncementError(
                "this entry has no lease; announce to another entry"
            )
        record = self._view.vms.get(report.vm)
        if record is None:
            raise AnnouncementError(f"VM {report.vm!r} is not declared")
        lease = self._view.dispatchers.get(record.pool)
        if lease is not None:
            self._hub.send(lease.entry_id, report)
        token = self._view.fencing_token(report.vm)
        is_current = report.fencing_token == token
        return AnnouncementReply(
            fencing_token=token,
            announce_within=ANNOUNCE_INTERVAL if is_current else timedelta(0),
        )

    # Calls of operators (`FleetService`).

    @property
    def view(self) -> FleetView:
        """Return the entry's view."""
        return self._view

    def status(self) -> ProcessStatus:
        """Return the status of this entry."""
        return ProcessStatus(
            entry_id=self._entry_id,
            has_lease=self.has_lease(),
            leader_id=self._leader.leader_id,
            applied_index=self._view.index,
            in_force_index=self._follower.in_force_index,
            dispatched_pools=self._dispatch_host.pools,
        )

    async def replicas(self, timeout: timedelta) -> ReplicasReply:
        """Request the status of the replicas from the leader."""
        return await self._leader.request_replicas(timeout)

    async def propose(self, command: Command, timeout: timedelta) -> Outcome:
        """Have a command committed, and wait until this entry's view contains it."""
        until = self._now() + timeout
        outcome = await self._leader.propose(command, timeout)
        if isinstance(outcome, Accepted | Conflict):
            await self._follower.wait_for_index(outcome.version, until - self._now())
        return outcome

    async def changes_after(
        self, index: int, timeout: timedelta
    ) -> tuple[Change, ...] | None:
        """Wait for the changes after a log index."""
        return await self._follower.changes_after(index, timeout)
