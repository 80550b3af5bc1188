"""The codec of the frames between processes: msgpack by msgspec."""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from ._messages import Message

__all__ = ["Frame", "FrameCodec"]


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """What one write carries: all the messages that have gathered."""

    messages: tuple[Message, ...] = ()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


class FrameCodec(CodecBase):
    """Encodes frames for grpclib."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return a frame's bytes."""
        return _ENCODER.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Frame:
        """Return the frame that the bytes hold."""
        return _DECODER.decode(data)
