"""Errors of the interface that reboots VMs."""

from ..exceptions import RedwingslipError

__all__ = ["PlatformError", "PlatformRefusedError", "PlatformUnavailableError"]


class PlatformError(RedwingslipError):
    """The platform did not do what was asked."""


class PlatformRefusedError(PlatformError):
    """The platform refuses; asking again does not help."""


class PlatformUnavailableError(PlatformError):
    """The platform gave no answer; ask again with the same operation id."""
