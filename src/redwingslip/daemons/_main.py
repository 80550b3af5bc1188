"""How a daemon runs as a process."""

import asyncio
import signal
from pathlib import Path

from ..settings import load_settings

__all__ = ["run_entry", "run_replica"]


def run_entry(path: Path) -> None:
    """Run an entry until it is told to stop.

    Parameters
    ----------
    path : Path
        Its settings file.
    """
    from ._entry import EntryApp
    from ._entry_settings import EntryDaemonSettings

    asyncio.run(_run(EntryApp, load_settings(path, EntryDaemonSettings)))


def run_replica(path: Path) -> None:
    """Run a replica until it is told to stop, or its disk fails.

    Parameters
    ----------
    path : Path
        Its settings file.
    """
    from ._replica import ReplicaApp
    from ._replica_settings import ReplicaDaemonSettings

    asyncio.run(_run(ReplicaApp, load_settings(path, ReplicaDaemonSettings)))


async def _run(app_class, cfg) -> None:
    """Run an application from its start to a signal's graceful stop."""
    app = app_class(cfg)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, app.reload)
    await app.start()
    waits = {asyncio.create_task(stopping.wait())}
    if hasattr(app, "wait_failed"):
        waits.add(asyncio.create_task(app.wait_failed()))
    done, pending = await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    await app.stop()
    for task in done:
        task.result()
