"""When the garbage collector runs."""

import asyncio
import gc

from ..settings import GcSettings

__all__ = ["GcControl"]


class GcControl:
    """Sets the garbage collector for a process that holds its state for long.

    Python's defaults collect after a few hundred new objects, and all objects whenever
    their number has grown by a quarter. A busy process makes that many objects in
    milliseconds, most of which reference counts free.

    Parameters
    ----------
    cfg : GcSettings
        The thresholds.
    """

    __slots__ = ("_cfg", "_task", "_thresholds")

    def __init__(self, cfg: GcSettings) -> None:
        self._cfg = cfg
        self._thresholds = gc.get_threshold()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Exempt the objects that exist, and set the thresholds.

        It needs a running event loop. Modules, settings and components live until the
        process ends; reference counts still free what is exempt.
        """
        gc.collect()
        gc.freeze()
        self._thresholds = gc.get_threshold()
        gc.set_threshold(self._cfg.young_objects, *self._thresholds[1:])
        self._task = asyncio.create_task(self._collect_forever(), name="gc")

    async def stop(self) -> None:
        """Restore the defaults; does nothing if it was not started."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None
        gc.set_threshold(*self._thresholds)
        gc.unfreeze()

    async def _collect_forever(self) -> None:
        """Collect all generations in regular intervals, which bounds the memory."""
        while True:
            await asyncio.sleep(self._cfg.full_interval.total_seconds())
            gc.collect()
