"""The sections and options of a settings type."""

import types
import typing
from typing import Annotated, Any

import msgspec

__all__ = ["option_fields", "section_default", "section_fields", "section_type"]


def section_fields(type_: type[msgspec.Struct]) -> dict[str, msgspec.structs.FieldInfo]:
    """Return the sections of a settings type by name."""
    return {field.name: field for field in msgspec.structs.fields(type_)}


def section_type(type_: Any) -> Any:
    """Return the struct or mapping type of a section that may be optional."""
    if typing.get_origin(type_) is Annotated:
        return section_type(typing.get_args(type_)[0])
    if typing.get_origin(type_) in (types.UnionType, typing.Union):
        return next(arg for arg in typing.get_args(type_) if arg is not type(None))
    return type_


def section_default(field: msgspec.structs.FieldInfo) -> msgspec.Struct | None:
    """Return the section of a file that leaves it out; None if it has no options."""
    is_struct = isinstance(field.default, msgspec.Struct)
    return field.default if is_struct else None


def option_fields(type_: type[msgspec.Struct]) -> dict[str, msgspec.structs.FieldInfo]:
    """Return the options of a section by name; nested structs are not options."""
    return {
        field.name: field
        for field in msgspec.structs.fields(type_)
        if not _is_struct(section_type(field.type))
    }


def _is_struct(type_: Any) -> bool:
    return isinstance(type_, type) and issubclass(type_, msgspec.Struct)
