"""Errors of settings files."""

from collections.abc import Sequence

from ..exceptions import RedwingslipError

__all__ = ["InvalidSettingsError", "SettingsError"]

MAX_SHOWN_CHARACTERS = 80


class SettingsError(RedwingslipError):
    """One problem of a settings file.

    Parameters
    ----------
    section : str
        Name of the section; empty if the problem is not in one section.
    option : str
        Name of the option; empty if the problem is not in one option.
    value : str or None
        The invalid value; None if the problem is not a value.
    allowed : str
        What is allowed, or what is wrong if there is no value.
    """

    def __init__(
        self, *, section: str = "", option: str = "", value: str | None, allowed: str
    ) -> None:
        super().__init__(_format_message(section, option, value, allowed))
        self.section = section
        self.option = option
        self.value = value
        self.allowed = allowed


class InvalidSettingsError(ExceptionGroup, RedwingslipError):
    """A group of all problems of one settings file."""

    def derive(self, excs: Sequence[Exception]) -> "InvalidSettingsError":
        """Return a group of the same type with other errors."""
        return InvalidSettingsError(self.message, excs)


def _format_message(section: str, option: str, value: str | None, allowed: str) -> str:
    location = f"[{section}] " if section else ""
    if option:
        location += f"{option} "
    if value is None:
        return f"{location}{allowed}"
    if len(value) > MAX_SHOWN_CHARACTERS:
        value = value[:MAX_SHOWN_CHARACTERS] + "..."
    return f"{location}= {value!r}: {allowed}"
