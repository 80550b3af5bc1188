"""Connections to HTTP servers whose establishment is bounded without a lost event."""

import asyncio
from datetime import timedelta

from aiosonic.connection import Connection
from aiosonic.exceptions import ConnectTimeout
from aiosonic.timeout import Timeouts

__all__ = ["NO_LIBRARY_TIMEOUTS", "BoundedConnection"]

# The library applies its timeouts with `asyncio.wait_for`, which in Python 3.11 drops a
# cancellation that arrives just as the awaited operation ends.
NO_LIBRARY_TIMEOUTS = Timeouts(
    sock_connect=None, sock_read=None, pool_acquire=None, request_timeout=None
)


class BoundedConnection(Connection):
    """A connection that bounds its own establishment.

    Parameters
    ----------
    pool : aiosonic.pools.BasePool
        Pool of the client that the connection belongs to.
    connect_timeout : timedelta
        Longest wait for the establishment of the connection.
    """

    def __init__(self, pool, *, connect_timeout: timedelta) -> None:
        super().__init__(pool)
        self._connect_timeout = connect_timeout

    async def connect(self, *args: object, **options: object) -> None:
        """Establish the connection.

        Raises
        ------
        ConnectTimeout
            The connection was not established in time.
        """
        try:
            async with asyncio.timeout(self._connect_timeout.total_seconds()):
                await super().connect(*args, **options)
        except TimeoutError as exc:
            raise ConnectTimeout("the connection was not established in time") from exc
