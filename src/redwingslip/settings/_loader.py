"""Loading a settings file into typed sections."""

import configparser
import typing
from collections.abc import Iterable, Iterator
from datetime import timedelta
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from ._checks import find_problems
from ._fields import option_fields, section_default, section_fields, section_type
from ._ini import is_duplicate_section, read_ini
from ._types import parse_value
from .exceptions import InvalidSettingsError, SettingsError

__all__ = ["load_settings", "parse_settings"]

SettingsT = TypeVar("SettingsT", bound=msgspec.Struct)


def load_settings(path: Path | str, type_: type[SettingsT]) -> SettingsT:
    """Load a settings file.

    Parameters
    ----------
    path : Path or str
        The file, INI in UTF-8.
    type_ : type
        A struct with an attribute for each section, such as `EntrySettings`.

    Raises
    ------
    InvalidSettingsError
        Contains a `SettingsError` for each problem of the file.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        problem = SettingsError(value=None, allowed=f"can't be read: {exc.strerror}")
        raise InvalidSettingsError(f"settings file {path}", [problem]) from exc
    except UnicodeDecodeError as exc:
        problem = SettingsError(value=None, allowed="is not UTF-8 text")
        raise InvalidSettingsError(f"settings file {path}", [problem]) from exc
    return parse_settings(text, type_, source=f"settings file {path}")


def parse_settings(
    text: str, type_: type[SettingsT], *, source: str = "settings"
) -> SettingsT:
    """Load settings from INI text; see `load_settings`.

    Parameters
    ----------
    text : str
        The text of a settings file.
    type_ : type
        A struct with an attribute for each section.
    source : str
        What the error message calls the text.
    """
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
        if section not in fields and not is_duplicate_section(section):
            problems.append(
                SettingsError(
                    section=section,
                    value=None,
                    allowed="is not a section" + _suggestion(section, fields),
                )
            )
    values: dict[str, Any] = {}
    for name, field in fields.items():
        texts = dict(parser.items(name)) if parser.has_section(name) else None
        section_problems = list(_read_section(name, field, texts, values))
        problems += section_problems
    return values


def _read_section(
    name: str,
    field: msgspec.structs.FieldInfo,
    texts: dict[str, str] | None,
    values: dict[str, Any],
) -> Iterator[SettingsError]:
    """Yield the problems of a section; if there are none, store it in `values`."""
    if texts is None and not field.required:
        values[name] = field.default
        return
    type_ = section_type(field.type)
    if typing.get_origin(type_) is not dict:
        yield from _read_struct(
            name, type_, texts or {}, values, section_default(field)
        )
    elif texts is None:
        yield SettingsError(section=name, value=None, allowed="is missing")
    else:
        yield from _read_mapping(name, field.type, texts, values)


def _read_mapping(
    name: str,
    type_: Any,
    texts: dict[str, str],
    values: dict[str, Any],
) -> Iterator[SettingsError]:
    key_type, value_type = typing.get_args(section_type(type_))
    mapping = {}
    n_problems = 0
    for option, text in texts.items():
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
        yield SettingsError(section=name, value=None, allowed="has too few entries")


def _read_struct(
    name: str,
    type_: type[msgspec.Struct],
    texts: dict[str, str],
    values: dict[str, Any],
    default: msgspec.Struct | None,
) -> Iterator[SettingsError]:
    """Yield the problems of a section; if there are none, store it in `values`.

    Options that are left out are those of `default`, if the section has one.
    """
    fields = option_fields(type_)
    options = {} if default is None else msgspec.structs.asdict(default)
    n_problems = 0
    for option in texts:
        if option not in fields:
            n_problems += 1
            yield SettingsError(
                section=name,
                option=option,
                value=None,
                allowed="is not an option" + _suggestion(option, fields),
            )
    for option, field in fields.items():
        if option not in texts:
            if field.required and default is None:
                n_problems += 1
                yield SettingsError(
                    section=name, option=option, value=None, allowed="is missing"
                )
            continue
        try:
            options[option] = _read_option(field, texts[option])
        except ValueError as exc:
            n_problems += 1
            yield SettingsError(
                section=name, option=option, value=texts[option], allowed=str(exc)
            )
    if n_problems:
        return
    try:
        values[name] = type_(**options)
    except ValueError as exc:
        yield SettingsError(section=name, value=None, allowed=str(exc))


def _read_option(field: msgspec.structs.FieldInfo, text: str) -> Any:
    """Parse an option; a duration of zero is valid only if it is the default."""
    value = parse_value(text, field.type, option=field.name)
    is_zero_allowed = field.default == timedelta(0)
    if isinstance(value, timedelta) and not value and not is_zero_allowed:
        raise ValueError("longer than zero")
    return value


def _suggestion(name: str, known: Iterable[str]) -> str:
    """Return a hint at the known name closest to `name`, or at all known names."""
    # Imported only for invalid settings, to save memory in the daemons.
    import difflib

    names = sorted(known)
    matches = difflib.get_close_matches(name, names, n=1, cutoff=0.5)
    if matches:
        return f"; did you mean {matches[0]!r}?"
    return f"; known names are {', '.join(names)}"
