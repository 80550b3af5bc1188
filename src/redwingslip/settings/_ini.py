"""Reading INI text as far as it can be read."""

import configparser
import io

from .exceptions import SettingsError

__all__ = ["is_repetition", "read_ini"]

# No section can have this name, so that [DEFAULT] is a section like any other.
_NO_DEFAULT_SECTION = "\0"

# Begins the names under which repeated sections are set aside.
_REPEATED = "\0repeated "


def read_ini(text: str, problems: list[SettingsError]) -> configparser.RawConfigParser:
    """Parse a text and note what can't be; what is repeated counts once.

    The parser stops at the first such line, so that line is taken out and the rest
    is read again.
    """
    lines = list(io.StringIO(text))
    while True:
        parser = configparser.RawConfigParser(
            delimiters=("=",), default_section=_NO_DEFAULT_SECTION
        )
        parser.optionxform = str
        try:
            parser.read_file(lines)
        except configparser.MissingSectionHeaderError as exc:
            problems.append(_line_problem(exc.lineno, "stands before any [section]"))
            lines[exc.lineno - 1] = "\n"
        except configparser.DuplicateSectionError as exc:
            problems.append(_duplicate_problem(exc))
            lines[exc.lineno - 1] = f"[{_REPEATED}{exc.lineno}]\n"
        except configparser.DuplicateOptionError as exc:
            problems.append(_duplicate_problem(exc))
            _remove_option(lines, exc.lineno - 1)
        except configparser.ParsingError as exc:
            for line_number, _ in exc.errors:
                allowed = "is not of the form 'option = value'"
                problems.append(_line_problem(line_number, allowed))
            return parser
        else:
            return parser


def _remove_option(lines: list[str], start: int) -> None:
    """Blank an option's line and the indented lines that continue it."""
    lines[start] = "\n"
    for position in range(start + 1, len(lines)):
        if not lines[position][:1].isspace() or not lines[position].strip():
            return
        lines[position] = "\n"


def _line_problem(line_number: int, allowed: str) -> SettingsError:
    return SettingsError(value=None, allowed=f"line {line_number} {allowed}")


def _duplicate_problem(
    exc: configparser.DuplicateSectionError | configparser.DuplicateOptionError,
) -> SettingsError:
    return SettingsError(
        section=exc.section,
        option=getattr(exc, "option", ""),
        value=None,
        allowed=f"is given again in line {exc.lineno}",
    )


def is_repetition(section: str) -> bool:
    """Return whether a section's name stands for one that was given before."""
    return section.startswith(_REPEATED)
