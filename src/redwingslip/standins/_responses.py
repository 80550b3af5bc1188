"""Responses that are incomplete or never sent."""

__all__ = ["CutResponse", "SilentResponse"]


class CutResponse:
    """Announces the length of a whole body, but sends only its first part.

    Parameters
    ----------
    content : bytes
        The whole body.
    n_bytes_sent : int
        Number of bytes that are sent.
    """

    __slots__ = ("_content", "_n_bytes_sent")

    def __init__(self, content: bytes, *, n_bytes_sent: int) -> None:
        self._content = content
        self._n_bytes_sent = n_bytes_sent

    async def __call__(self, scope, receive, send) -> None:
        """Send the head and the first part of the body, then return early."""
        length = str(len(self._content)).encode()
        start = {
            "type": "http.response.start",
            "status": 200,
            "headers": [(b"content-length", length)],
        }
        await send(start)
        body = {
            "type": "http.response.body",
            "body": self._content[: self._n_bytes_sent],
            "more_body": True,
        }
        await send(body)


class SilentResponse:
    """Sends nothing until the client has closed the connection."""

    __slots__ = ()

    async def __call__(self, scope, receive, send) -> None:
        """Wait until the client has closed the connection."""
        message = await receive()
        while message["type"] != "http.disconnect":
            message = await receive()
