"""Errors of the client that has VMs rebooted."""

from ..exceptions import RedwingslipError

__all__ = ["PlatformError", "PlatformRefusedError", "PlatformUnavailableError"]


class PlatformError(RedwingslipError):
    """The platform did not confirm a request."""


class PlatformRefusedError(PlatformError):
    """The platform refused the request; sending it again does not help."""


class PlatformUnavailableError(PlatformError):
    """The platform gave no usable answer; retry with the same operation id."""
