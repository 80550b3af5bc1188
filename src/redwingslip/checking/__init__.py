"""Checks of configurations before they are sent: errors, contradictions, changes."""

from ._findings import Change, Finding, Severity
from ._plans import check_plan_document, plan_changes
from ._resources import GivenResource, check_resources

__all__ = [
    "Change",
    "Finding",
    "GivenResource",
    "Severity",
    "check_plan_document",
    "check_resources",
    "plan_changes",
]
