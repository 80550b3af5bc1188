"""Announces a stand-in endpoint to one entry at a time."""

import asyncio
import contextlib
from datetime import timedelta

import msgspec

from ..clock import Clock
from ..http import ClientLimits, ClientPool, ClientRequest, HttpError

__all__ = ["Announcer", "AnnouncerSettings"]

MIN_ANNOUNCE_INTERVAL = timedelta(milliseconds=20)
RETRY_INTERVAL = timedelta(milliseconds=100)


class AnnouncerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The entries to announce to, and the interval.

    Attributes
    ----------
    entries : tuple of str
        Host and port of each entry; empty for no announcements.
    token : str
        Token that endpoints present to entries.
    period : timedelta
        Longest time between two announcements.
    timeout : timedelta
        Time limit of connecting and of an announcement.
    """

    entries: tuple[str, ...] = ()
    token: str = ""
    period: timedelta = timedelta(seconds=1)
    timeout: timedelta = timedelta(seconds=1)


class _Reply(msgspec.Struct, frozen=True):
    """An entry's answer to an announcement."""

    fencing_token: int
    announce_within_s: float


class Announcer:
    """Announces an endpoint at intervals until it is stopped.

    Parameters
    ----------
    endpoint : EndpointStandin
        The endpoint to announce.
    cfg : AnnouncerSettings
        The entries to announce to.
    clock : Clock
        Clock of the endpoint.
    """

    __slots__ = ("_cfg", "_clock", "_endpoint", "_n_failures", "_pool", "_task")

    def __init__(self, endpoint, cfg: AnnouncerSettings, clock: Clock) -> None:
        self._endpoint = endpoint
        self._cfg = cfg
        self._clock = clock
        self._n_failures = 0
        self._pool = ClientPool(ClientLimits(connect_timeout=cfg.timeout))
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start announcing, if there are entries."""
        if self._cfg.entries:
            self._task = asyncio.create_task(self._announce_forever())

    async def stop(self) -> None:
        """Stop announcing and close the connections."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task
            self._task = None
        await self._pool.close()

    async def announce_once(self) -> bool:
        """Announce to each entry in turn until one accepts; return whether one did."""
        for _ in self._cfg.entries:
            if await self._announce() is not None:
                return True
        return False

    async def _announce_forever(self) -> None:
        while True:
            reply = await self._announce()
            wait = RETRY_INTERVAL
            if reply is not None:
                requested = timedelta(seconds=reply.announce_within_s)
                wait = min(self._cfg.period, max(requested, MIN_ANNOUNCE_INTERVAL))
            await asyncio.sleep(wait.total_seconds())

    async def _announce(self) -> _Reply | None:
        """Announce to the current entry; switch to the next one after a failure."""
        index = self._n_failures % len(self._cfg.entries)
        try:
            answer = await self._pool.exchange(self._request(self._cfg.entries[index]))
            if answer.status != 200:
                raise HttpError(f"the entry answered {answer.status}")
            reply = msgspec.json.decode(answer.body, type=_Reply)
        except (HttpError, msgspec.DecodeError):
            self._n_failures += 1
            return None
        endpoint = self._endpoint
        endpoint.fencing_token = max(endpoint.fencing_token, reply.fencing_token)
        return reply

    def _request(self, entry: str) -> ClientRequest:
        endpoint = self._endpoint
        running = [
            {"permit_id": call.permit_id, "team": call.team}
            for call in endpoint.running.values()
        ]
        announcement = {
            "incarnation": endpoint.incarnation,
            "service": endpoint.cfg.service,
            "address": endpoint.address,
            "vm": endpoint.cfg.vm,
            "slots": endpoint.cfg.slots,
            "state": "leaving" if endpoint.is_leaving else "serving",
            "clock_s": self._clock.monotonic().total_seconds(),
            "fencing_token": endpoint.fencing_token,
            "running": running,
        }
        return ClientRequest(
            address=entry,
            method="PUT",
            path=f"/v1/endpoints/{endpoint.cfg.endpoint_id}",
            headers={
                "Authorization": f"Bearer {self._cfg.token}",
                "Content-Type": "application/json",
            },
            body=msgspec.json.encode(announcement),
            timeout=self._cfg.timeout,
        )
