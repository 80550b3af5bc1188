"""Errors of the links between processes."""

from ..exceptions import RedwingslipError

__all__ = ["LinkError", "PeerRefusedError"]


class LinkError(RedwingslipError):
    """A link can't be opened or has failed; the message says why."""


class PeerRefusedError(LinkError):
    """The other side does not take this process for one of the cluster."""
