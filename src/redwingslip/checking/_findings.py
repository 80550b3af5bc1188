"""Findings of a check, and changes against another version."""

import enum
from typing import Any

import msgspec

__all__ = ["Change", "Finding", "Severity"]


class Severity(enum.StrEnum):
    """Whether the servers refuse a document, or accept what is hardly meant."""

    ERROR = "error"
    WARNING = "warning"


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """A problem of a configuration.

    Attributes
    ----------
    place : str
        Where in the document it is.
    problem : str
        What is wrong.
    fix : str
        What to change.
    """

    severity: Severity
    place: str
    problem: str
    fix: str


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """A difference of meaning between two versions.

    An entry that exists in one version only is one change with an empty field name.
    """

    kind: str
    name: str
    field: str = ""
    current: Any = None
    wanted: Any = None
