"""Reading a settings file into typed sections."""

import configparser
import difflib
import io
import typing
from collections.abc import Iterable, Iterator
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec

from ._checks import find_problems
from ._types import parse_value
from .exceptions import InvalidSettingsError, SettingsError

__all__ = ["load_settings", "parse_settings"]

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)

# No section can have this name, so that [DEFAULT] is a section like any other.
_NO_DEFAULT_SECTION = "\0"

# Begins the names under which repeated sections are set aside.
_REPEATED = "\0repeated "


def load_settings(path: Path | str, type_: type[SettingsT]) -> SettingsT:
    """Read a settings file.

    Parameters
    ----------
    path : Path or str
        The file, INI in UTF-8.
    type_ : type
        A struct with an attribute for each section, such as `EntrySettings`.

    Raises
    ------
    InvalidSettingsError
        Everything that is wrong with the file, each as a `SettingsError`.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        problem = SettingsError(value=None, allowed=f"can't be read: {exc.strerror}")
        raise InvalidSettingsError(f"settings file {path}", [problem]) from exc
    except UnicodeDecodeError as exc:
        problem = SettingsError(value=None, allowed="is not text in UTF-8")
        raise InvalidSettingsError(f"settings file {path}", [problem]) from exc
    return parse_settings(text, type_, source=f"settings file {path}")


def parse_settings(
    text: str, type_: type[SettingsT], *, source: str = "settings"
) -> SettingsT:
    """Read settings from a text; see `load_settings`."""
    problems: list[SettingsError] = []
    parser = _read_ini(text, problems)
    values = _read_sections(parser, type_, problems)
    for name, value in values.items():
        problems += find_problems(value, name)
    if not problems:
        cfg = type_(**values)
        problems += find_problems(cfg, "")
    if problems:
        raise InvalidSettingsError(source, problems)
    return cfg


def _read_ini(text: str, problems: list[SettingsError]) -> configparser.RawConfigParser:
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


def _read_sections(
    parser: configparser.RawConfigParser,
    type_: type[msgspec.Struct],
    problems: list[SettingsError],
) -> dict[str, Any]:
    fields = {field.name: field for field in msgspec.structs.fields(type_)}
    for section in parser.sections():
        if section not in fields and not section.startswith(_REPEATED):
            problems.append(
                SettingsError(
                    section=section,
                    value=None,
                    allowed="is not a section" + _nearest(section, fields),
                )
            )
    values: dict[str, Any] = {}
    for name, field in fields.items():
        given = dict(parser.items(name)) if parser.has_section(name) else None
        found = list(_read_section(name, field, given, values))
        problems += found
    return values


def _read_section(
    name: str,
    field: msgspec.structs.FieldInfo,
    given: dict[str, str] | None,
    values: dict[str, Any],
) -> Iterator[SettingsError]:
    """Yield the problems of a section; without any, put its value in `values`."""
    if given is None and not field.required:
        values[name] = field.default
        return
    type_, rules = _unwrap(field.type)
    if given is None and typing.get_origin(type_) is dict:
        yield SettingsError(section=name, value=None, allowed="is missing")
        return
    if typing.get_origin(type_) is dict:
        yield from _read_mapping(name, field.type, type_, rules, given, values)
        return
    yield from _read_struct(name, type_, given or {}, values)


def _unwrap(type_: Any) -> tuple[Any, tuple]:
    if typing.get_origin(type_) is Annotated:
        return typing.get_args(type_)[0], type_.__metadata__
    return type_, ()


def _read_mapping(
    name: str,
    whole_type: Any,
    type_: Any,
    rules: tuple,
    given: dict[str, str],
    values: dict[str, Any],
) -> Iterator[SettingsError]:
    key_type, value_type = typing.get_args(type_)
    mapping = {}
    n_problems = 0
    for option, text in given.items():
        try:
            key = parse_value(option, key_type)
            mapping[key] = parse_value(text, value_type, option=option)
        except ValueError as exc:
            n_problems += 1
            yield SettingsError(
                section=name, option=option, value=text, allowed=str(exc)
            )
    if n_problems:
        return
    try:
        values[name] = msgspec.convert(mapping, whole_type)
    except msgspec.ValidationError:
        yield SettingsError(section=name, value=None, allowed="lists too few")


def _read_struct(
    name: str,
    type_: type[msgspec.Struct],
    given: dict[str, str],
    values: dict[str, Any],
) -> Iterator[SettingsError]:
    fields = {field.name: field for field in msgspec.structs.fields(type_)}
    options = {}
    n_problems = 0
    for option in given:
        if option not in fields:
            n_problems += 1
            yield SettingsError(
                section=name,
                option=option,
                value=None,
                allowed="is not an option" + _nearest(option, fields),
            )
    for option, field in fields.items():
        if option not in given:
            if field.required:
                n_problems += 1
                yield SettingsError(
                    section=name, option=option, value=None, allowed="is missing"
                )
            continue
        try:
            options[option] = _read_option(field, given[option])
        except ValueError as exc:
            n_problems += 1
            yield SettingsError(
                section=name, option=option, value=given[option], allowed=str(exc)
            )
    if not n_problems:
        values[name] = type_(**options)


def _read_option(field: msgspec.structs.FieldInfo, text: str) -> Any:
    value = parse_value(text, field.type, option=field.name)
    is_zero_allowed = field.default == timedelta(0)
    if isinstance(value, timedelta) and not value and not is_zero_allowed:
        raise ValueError("longer than zero")
    return value


def _nearest(name: str, known: Iterable[str]) -> str:
    """Return a hint at the known name that is most like `name`."""
    names = sorted(known)
    matches = difflib.get_close_matches(name, names, n=1, cutoff=0.5)
    if matches:
        return f"; did you mean {matches[0]!r}?"
    return f"; known are {', '.join(names)}"
