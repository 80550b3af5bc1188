"""Writing an example settings file from the sections themselves."""

import inspect
import re
import textwrap
import typing
from collections.abc import Iterator
from typing import Annotated, Any

import msgspec

from ._types import format_value

__all__ = ["describe"]

LINE_LENGTH = 79
_ATTRIBUTE = re.compile(r"^(\w+(?:, \w+)*) : .+$")


def describe(type_: type[msgspec.Struct]) -> str:
    """Return a commented example file for a settings type.

    Required options carry an example value; the others stand as comments with their
    defaults.
    """
    lines = [*_comment(_summary(type_)), ""]
    for field in msgspec.structs.fields(type_):
        section_type = _strip(field.type)
        if typing.get_origin(section_type) is dict:
            lines += _describe_mapping(field)
        else:
            lines += _describe_section(field.name, section_type)
        lines.append("")
    return "\n".join(lines)


def _describe_mapping(field: msgspec.structs.FieldInfo) -> Iterator[str]:
    yield f"[{field.name}]"
    yield "# One line for each: its id, and where the others reach it."
    for key, value in _example(field.type).items():
        yield f"{key} = {value}"


def _describe_section(name: str, type_: type[msgspec.Struct]) -> Iterator[str]:
    yield from _comment(_summary(type_))
    yield f"[{name}]"
    texts = _attribute_texts(type_)
    for field in msgspec.structs.fields(type_):
        yield from _comment(texts.get(field.name, ""))
        if field.required:
            yield f"{field.name} = {_format_example(field)}"
        else:
            value = format_value(field.default, option=field.name)
            yield f"#{field.name} = {value}"


def _format_example(field: msgspec.structs.FieldInfo) -> str:
    example = _example(field.type)
    if isinstance(example, list):
        example = tuple(example)
    return format_value(example, option=field.name)


def _example(type_: Any) -> Any:
    for rule in getattr(type_, "__metadata__", ()):
        if isinstance(rule, msgspec.Meta) and rule.examples:
            return rule.examples[0]
    raise TypeError(f"no example given for {type_}")


def _strip(type_: Any) -> Any:
    if typing.get_origin(type_) is Annotated:
        return typing.get_args(type_)[0]
    return type_


def _comment(text: str) -> list[str]:
    return textwrap.wrap(text, LINE_LENGTH, initial_indent="# ", subsequent_indent="# ")


def _summary(type_: type) -> str:
    return (inspect.getdoc(type_) or "").partition("\n\n")[0].replace("\n", " ")


def _attribute_texts(type_: type) -> dict[str, str]:
    """Return the words of each attribute in a numpy docstring."""
    _, _, section = (inspect.getdoc(type_) or "").partition("Attributes\n")
    texts: dict[str, str] = {}
    names: list[str] = []
    for line in section.splitlines():
        match = _ATTRIBUTE.match(line)
        if match:
            names = match[1].split(", ")
        elif line.startswith("    "):
            for name in names:
                texts[name] = f"{texts.get(name, '')} {line.strip()}".strip()
    return texts
