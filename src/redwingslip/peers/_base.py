"""The base class of the messages between the processes of a system."""

import msgspec

__all__ = ["PeerMessage"]


class PeerMessage(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """A message, not a struct inside one; its class name is its tag on the wire."""
