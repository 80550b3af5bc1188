"""Generating an example settings file from a settings type and its doc strings."""

import inspect
import re
import textwrap
import typing
from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from ._fields import option_fields, section_default, section_fields, section_type
from ._types import format_value

__all__ = ["render_example"]

LINE_LENGTH = 79
PLACEHOLDER = "..."
_ATTRIBUTE = re.compile(r"^(\w+(?:, \w+)*) : .+$")


def render_example(type_: type[msgspec.Struct]) -> str:
    """Return an example file with comments for a settings type.

    An option with an example is set to it; any other option is commented out and shows
    its default. A settings type may override examples in ``EXAMPLES``.
    """
    examples = getattr(type_, "EXAMPLES", {})
    lines = [*_comment_lines(_summary(type_)), ""]
    for name, field in section_fields(type_).items():
        own_type = section_type(field.type)
        if typing.get_origin(own_type) is dict:
            lines += _render_mapping(field)
        else:
            comment_prefix = "#" if field.default is None else ""
            default = section_default(field)
            lines += _render_section(
                name, own_type, examples, comment_prefix, default=default
            )
        lines.append("")
    return "\n".join(lines)


def _render_mapping(field: msgspec.structs.FieldInfo) -> Iterator[str]:
    yield f"[{field.name}]"
    yield "# One line for each process: its id and the address it listens on."
    for key, value in _example(field.type).items():
        yield f"{key} = {value}"


def _render_section(
    name: str,
    type_: type[msgspec.Struct],
    examples: Mapping[tuple[str, str], str],
    comment_prefix: str,
    *,
    default: msgspec.Struct | None,
) -> Iterator[str]:
    """Yield the lines of a section.

    `comment_prefix` is "#" for an optional section, which is commented out, and empty
    otherwise. `default` is the section of a file that leaves it out.
    """
    yield from _comment_lines(_summary(type_))
    yield f"{comment_prefix}[{name}]"
    texts = _attribute_texts(type_)
    for option, field in option_fields(type_).items():
        yield from _comment_lines(texts.get(option, ""))
        example = examples.get((name, option)) or _example(field.type)
        if example is None and field.required:
            example = PLACEHOLDER
        if example is None:
            value = _default(field) if default is None else getattr(default, option)
            yield f"#{option} = {format_value(value, option=option)}"
        else:
            yield f"{comment_prefix}{option} = {format_value(example, option=option)}"


def _default(field: msgspec.structs.FieldInfo) -> Any:
    if field.default is msgspec.NODEFAULT:
        return field.default_factory()
    return field.default


def _example(type_: Any) -> Any:
    for rule in getattr(type_, "__metadata__", ()):
        if isinstance(rule, msgspec.Meta) and rule.examples:
            return rule.examples[0]
    return None


def _comment_lines(text: str) -> list[str]:
    return textwrap.wrap(text, LINE_LENGTH, initial_indent="# ", subsequent_indent="# ")


def _summary(type_: type) -> str:
    return (inspect.getdoc(type_) or "").partition("\n\n")[0].replace("\n", " ")


def _attribute_texts(type_: type) -> dict[str, str]:
    """Return the description of each attribute in a numpy doc string."""
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
