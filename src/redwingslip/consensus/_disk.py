"""Access to a replica's data folder in a thread, with one save at a time."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from ._folder import DataFolder
from ._messages import Member
from ._ready import Ready
from ._records import Identity, StoredState

__all__ = ["Disk"]


class Disk:
    """Runs the saves of a node in a thread, so that the event loop is not blocked.

    Parameters
    ----------
    folder : DataFolder
        The replica's data folder.
    """

    __slots__ = ("_executor", "_folder", "_ready", "_saving")

    def __init__(self, folder: DataFolder) -> None:
        self._folder = folder
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="disk")
        self._ready: Ready | None = None
        self._saving: asyncio.Future | None = None

    async def load(self, replica_id: str) -> StoredState:
        """Return the stored state; see `DataFolder.load` for the errors."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, self._folder.load, replica_id)

    async def save_initial_members(
        self, identity: Identity, members: tuple[Member, ...]
    ) -> Identity:
        """Store the initial members and return the new identity."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self._executor, self._folder.save_initial_members, identity, members
        )

    def begin_save(self, ready: Ready, on_finished: Callable[[], None]) -> None:
        """Start the save of a `Ready`; `on_finished` is called at its end."""
        loop = asyncio.get_running_loop()
        self._ready = ready
        self._saving = loop.run_in_executor(
            self._executor, self._folder.save, ready.save, ready.snapshot
        )
        self._saving.add_done_callback(lambda _: on_finished())

    def take_finished(self) -> Ready | None:
        """Return the `Ready` whose save has finished, None if there is none.

        Raises
        ------
        StorageWriteError
            If the save failed.
        """
        if self._saving is None or not self._saving.done():
            return None
        self._saving.result()
        ready, self._ready, self._saving = self._ready, None, None
        return ready

    async def wait(self) -> None:
        """Wait until no save is in progress."""
        if self._saving is not None:
            await asyncio.wait([self._saving])

    def close(self) -> None:
        """Close the files."""
        self._folder.close()

    def shutdown(self, *, wait: bool) -> None:
        """Stop the thread."""
        self._executor.shutdown(wait=wait)
