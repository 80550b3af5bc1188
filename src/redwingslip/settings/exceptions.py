"""What can be wrong with a settings file."""

from collections.abc import Sequence

from ..exceptions import RedwingslipError

__all__ = ["InvalidSettingsError", "SettingsError"]

MAX_SHOWN_CHARACTERS = 80


class SettingsError(RedwingslipError):
    """One problem of a settings file.

    Parameters
    ----------
    section : str
        Name of the section; empty when the file as a whole is meant.
    option : str
        Name of the option; empty when the section as a whole is meant.
    value : str or None
        The given value; None when none was given.
    allowed : str
        What is allowed there.
    """

    def __init__(
        self, *, section: str = "", option: str = "", value: str | None, allowed: str
    ) -> None:
        super().__init__(_sentence(section, option, value, allowed))
        self.section = section
        self.option = option
        self.value = value
        self.allowed = allowed


class InvalidSettingsError(ExceptionGroup, RedwingslipError):
    """All problems of one settings file together."""

    def derive(self, excs: Sequence[Exception]) -> "InvalidSettingsError":
        """Return a group of the same kind over other errors."""
        return InvalidSettingsError(self.message, excs)


def _sentence(section: str, option: str, value: str | None, allowed: str) -> str:
    place = f"[{section}] " if section else ""
    if option:
        place += f"{option} "
    if value is None:
        return f"{place}{allowed}"
    if len(value) > MAX_SHOWN_CHARACTERS:
        value = value[:MAX_SHOWN_CHARACTERS] + "..."
    return f"{place}= {value!r}: {allowed}"
