"""Answers that go wrong on the way."""

__all__ = ["CutResponse", "SilentResponse"]


class CutResponse:
    """Promises a whole body, sends a part of it and closes the connection.

    Parameters
    ----------
    content : bytes
        The body that is promised.
    n_bytes_sent : int
        How much of it is sent.
    """

    __slots__ = ("_content", "_n_bytes_sent")

    def __init__(self, content: bytes, *, n_bytes_sent: int) -> None:
        self._content = content
        self._n_bytes_sent = n_bytes_sent

    async def __call__(self, scope, receive, send) -> None:
        """Send the head and a part of the body, then return early."""
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
    """Sends nothing until the other side has closed."""

    __slots__ = ()

    async def __call__(self, scope, receive, send) -> None:
        """Wait for the other side."""
        message = await receive()
        while message["type"] != "http.disconnect":
            message = await receive()
