"""Detection of changes of a settings file."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import msgspec

from ..settings import InvalidSettingsError, load_settings

__all__ = ["SettingsWatcher"]

# A file may change without a signal; a check costs one read of a small file.
CHECK_INTERVAL = timedelta(seconds=2)


class SettingsWatcher:
    """Reads a settings file and passes changed settings to the application.

    Parameters
    ----------
    path : Path
        The settings file.
    settings_class : type
        Type of the settings.
    apply : callable
        Called with the changed settings if they are valid.
    report : callable
        Called with a description of the errors in invalid settings.
    """

    __slots__ = ("_apply", "_content", "_path", "_report", "_settings_class")

    def __init__(
        self,
        path: Path,
        settings_class: type[msgspec.Struct],
        apply: Callable[[msgspec.Struct], None],
        report: Callable[[str], None],
    ) -> None:
        self._path = path
        self._settings_class = settings_class
        self._apply = apply
        self._report = report
        self._content = _read_file(path)

    def check(self) -> None:
        """Read the file; apply its settings if they have changed and are valid."""
        content = _read_file(self._path)
        if content == self._content:
            return
        self._content = content
        try:
            self._apply(load_settings(self._path, self._settings_class))
        except InvalidSettingsError as exc:
            # The process keeps its previous settings.
            problems = "; ".join(str(problem) for problem in exc.exceptions)
            self._report(f"{exc.message}: {problems}")

    async def run(self) -> None:
        """Check the file at regular intervals until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            self.check()


def _read_file(path: Path) -> bytes:
    """Return the content of a file, empty if it can't be read."""
    try:
        return path.read_bytes()
    except OSError:
        return b""
