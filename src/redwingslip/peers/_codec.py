"""The codec of the frames between processes; frames are msgpack."""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from ._messages import Message

__all__ = ["Frame", "FrameCodec"]


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """A batch of messages sent in one write; an empty one is a heartbeat."""

    messages: tuple[Message, ...] = ()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


class FrameCodec(CodecBase):
    """Encodes and decodes frames for grpclib."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the encoded frame."""
        return _ENCODER.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Frame:
        """Return the decoded frame."""
        return _DECODER.decode(data)
