"""Noticing that a settings file has changed."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path

import msgspec

from ..settings import InvalidSettingsError, load_settings

__all__ = ["SettingsWatcher"]

# A file may change without a signal; a look costs one read of a small file.
INTERVAL = timedelta(seconds=2)


class SettingsWatcher:
    """Hands changed settings over, on demand or when the file has changed.

    Parameters
    ----------
    path : Path
        The settings file.
    settings_class : type
        Their type.
    take : callable
        Called with the new settings.
    report : callable
        Called with what is wrong with settings that are not taken over.
    """

    __slots__ = ("_path", "_report", "_settings_class", "_take", "_text")

    def __init__(
        self,
        path: Path,
        settings_class: type[msgspec.Struct],
        take: Callable[[msgspec.Struct], None],
        report: Callable[[str], None],
    ) -> None:
        self._path = path
        self._settings_class = settings_class
        self._take = take
        self._report = report
        self._text = _read(path)

    def check(self) -> None:
        """Hand the settings over if they have changed and are valid."""
        text = _read(self._path)
        if text == self._text:
            return
        self._text = text
        try:
            self._take(load_settings(self._path, self._settings_class))
        except InvalidSettingsError as exc:
            # The process goes on under the settings that it has.
            problems = "; ".join(str(problem) for problem in exc.exceptions)
            self._report(f"{exc.message}: {problems}")

    async def run(self) -> None:
        """Look at the file from time to time until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL.total_seconds())
            self.check()


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError:
        return b""
