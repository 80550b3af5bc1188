"""Reading a settings file into typed sections."""

import configparser
import typing
from collections.abc import Iterable, Iterator
from datetime import timedelta
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from ._checks import find_problems
from ._fields import option_fields, section_fields, section_type
from ._ini import is_repetition, read_ini
from ._types import parse_value
from .exceptions import InvalidSettingsError, SettingsError

__all__ = ["load_settings", "parse_settings"]

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)


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
    parser = read_ini(text, problems)
    values = _read_sections(parser, type_, problems)
    for name, value in values.items():
        problems += find_problems(value, name)
    if not problems:
        cfg = type_(**values)
        problems += find_problems(cfg, "")
    if problems:
        raise InvalidSettingsError(source, problems)
    return cfg


def _read_sections(
    parser: configparser.RawConfigParser,
    type_: type[msgspec.Struct],
    problems: list[SettingsError],
) -> dict[str, Any]:
    fields = section_fields(type_)
    for section in parser.sections():
        if section not in fields and not is_repetition(section):
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
    type_ = section_type(field.type)
    if typing.get_origin(type_) is not dict:
        yield from _read_struct(name, type_, given or {}, values)
    elif given is None:
        yield SettingsError(section=name, value=None, allowed="is missing")
    else:
        yield from _read_mapping(name, field.type, given, values)


def _read_mapping(
    name: str,
    type_: Any,
    given: dict[str, str],
    values: dict[str, Any],
) -> Iterator[SettingsError]:
    key_type, value_type = typing.get_args(section_type(type_))
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
        values[name] = msgspec.convert(mapping, type_)
    except msgspec.ValidationError:
        yield SettingsError(section=name, value=None, allowed="lists too few")


def _read_struct(
    name: str,
    type_: type[msgspec.Struct],
    given: dict[str, str],
    values: dict[str, Any],
) -> Iterator[SettingsError]:
    fields = option_fields(type_)
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
    if n_problems:
        return
    try:
        values[name] = type_(**options)
    except ValueError as exc:
        yield SettingsError(section=name, value=None, allowed=str(exc))


def _read_option(field: msgspec.structs.FieldInfo, text: str) -> Any:
    value = parse_value(text, field.type, option=field.name)
    is_zero_allowed = field.default == timedelta(0)
    if isinstance(value, timedelta) and not value and not is_zero_allowed:
        raise ValueError("longer than zero")
    return value


def _nearest(name: str, known: Iterable[str]) -> str:
    """Return a hint at the known name that is most like `name`."""
    # Valid settings need it never, and a process has little memory.
    import difflib

    names = sorted(known)
    matches = difflib.get_close_matches(name, names, n=1, cutoff=0.5)
    if matches:
        return f"; did you mean {matches[0]!r}?"
    return f"; known are {', '.join(names)}"
