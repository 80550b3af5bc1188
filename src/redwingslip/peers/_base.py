"""The base of the messages between the system's own processes."""

import msgspec

__all__ = ["PeerMessage"]


class PeerMessage(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """A message that travels alone; its type's name tells it from others."""
