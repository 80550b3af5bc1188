"""Parsing INI text with all of its errors, not only the first."""

import configparser
import io

from .exceptions import SettingsError

__all__ = ["is_duplicate_section", "read_ini"]

# No section can have this name, so that [DEFAULT] is treated like any other section.
_NO_DEFAULT_SECTION = "\0"

# Prefix of the names to which repeated sections are renamed, so that parsing goes on.
_DUPLICATE_SECTION_PREFIX = "\0repeated "


def read_ini(text: str, problems: list[SettingsError]) -> configparser.RawConfigParser:
    """Parse a text and append its syntax errors to `problems`.

    Of a repeated section or option, only the first one counts. The parser stops at a
    repetition or at a line before the first section. That line is then replaced, and
    the text is parsed again.
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
            lines[exc.lineno - 1] = f"[{_DUPLICATE_SECTION_PREFIX}{exc.lineno}]\n"
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
    """Blank an option's line and its indented continuation lines."""
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
        allowed=f"is repeated in line {exc.lineno}",
    )


def is_duplicate_section(section: str) -> bool:
    """Return whether `read_ini` renamed this section because it was a repetition."""
    return section.startswith(_DUPLICATE_SECTION_PREFIX)
