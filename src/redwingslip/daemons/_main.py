"""Entry points that run a daemon as a process."""

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

from ..clock import SystemClock
from ..settings import load_settings
from ._gc_control import GcControl
from ._log_limit import limit_library_logs
from ._reload import SettingsWatcher

__all__ = ["run_controller", "run_entry", "run_gateway", "run_replica"]


def run_entry(path: Path) -> None:
    """Run an entry until a signal stops it.

    Parameters
    ----------
    path : Path
        The entry's settings file.
    """
    from ._entry import EntryApp
    from ._entry_settings import EntryDaemonSettings

    asyncio.run(_run_static(EntryApp, load_settings(path, EntryDaemonSettings)))


def run_replica(path: Path) -> None:
    """Run a replica until a signal stops it or its disk fails.

    Parameters
    ----------
    path : Path
        The replica's settings file.
    """
    from ._replica import ReplicaApp
    from ._replica_settings import ReplicaDaemonSettings

    asyncio.run(_run_static(ReplicaApp, load_settings(path, ReplicaDaemonSettings)))


def run_gateway(path: Path) -> None:
    """Run a gateway until a signal stops it.

    Parameters
    ----------
    path : Path
        The gateway's settings file.
    """
    from ._fleet_settings import GatewaySettings
    from ._gateway import GatewayApp

    asyncio.run(_run_reloading(GatewayApp, path, GatewaySettings))


def run_controller(path: Path) -> None:
    """Run a controller until a signal stops it or its disk fails.

    Parameters
    ----------
    path : Path
        The controller's settings file.
    """
    from ._controller import ControllerApp
    from ._fleet_settings import ControllerSettings

    asyncio.run(_run_reloading(ControllerApp, path, ControllerSettings))


async def _run_static(app_class, cfg) -> None:
    """Run an application whose settings are read once, at its start."""
    app = app_class(cfg)
    await _run(app, reload=app.reload)


async def _run_reloading(app_class, path: Path, settings_class) -> None:
    """Run an application that applies changes of its settings file."""
    app = app_class(load_settings(path, settings_class))
    watcher = SettingsWatcher(path, settings_class, app.reload, app.report_invalid)
    watch = asyncio.create_task(watcher.run())
    try:
        await _run(app, reload=watcher.check)
    finally:
        watch.cancel()


async def _run(app, *, reload: Callable[[], None]) -> None:
    """Run an application until SIGTERM, SIGINT or its own failure, then stop it."""
    limit_library_logs(SystemClock())
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    await app.start()
    # The collector is the process's, and tests run several applications in one.
    gc_control = GcControl(app.cfg.gc)
    gc_control.start()
    stop_tasks = {asyncio.create_task(stopping.wait())}
    if hasattr(app, "wait_failed"):
        stop_tasks.add(asyncio.create_task(app.wait_failed()))
    done, pending = await asyncio.wait(stop_tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in pending:
        task.cancel()
    await app.stop()
    await gc_control.stop()
    for task in done:
        task.result()
