"""Errors of settings that only show when a daemon starts."""

import contextlib
from collections.abc import Iterator
from pathlib import Path

from ..settings import InvalidSettingsError, SettingsError

__all__ = ["listening", "read_secret"]

CAN_LISTEN = "must be an address of this machine that no other process listens on"
SECRET = "must be a readable text file with the secret that all processes share"


@contextlib.contextmanager
def listening(section: str, option: str, address: str | None) -> Iterator[None]:
    """Name the option with the address at which a server can't listen.

    Raises
    ------
    InvalidSettingsError
        The address can't be listened on.
    """
    try:
        yield
    except OSError as exc:
        raise _fault(section, option, address, f"{CAN_LISTEN}: {exc}") from exc


def read_secret(path: Path) -> str:
    """Return the secret that the system's processes share.

    Raises
    ------
    InvalidSettingsError
        The file can't be read, or is empty.
    """
    try:
        secret = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise _fault("cluster", "secret_file", str(path), f"{SECRET}: {exc}") from exc
    if not secret:
        raise _fault("cluster", "secret_file", str(path), f"{SECRET}; it is empty")
    return secret


def _fault(
    section: str, option: str, value: str | None, allowed: str
) -> InvalidSettingsError:
    problem = SettingsError(
        section=section, option=option, value=value, allowed=allowed
    )
    return InvalidSettingsError("the process can't start with its settings", [problem])
