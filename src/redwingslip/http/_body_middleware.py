"""Middleware around the bodies of requests."""

import asyncio
import contextlib

from ._bodies import CLAIM_KEY

__all__ = ["HoldBody"]

# How long an answer waits for the rest of a body, if the connection ends with it.
REST_TIMEOUT_S = 2.0
FIRST_ERROR_STATUS = 400


class HoldBody:
    """Gives each request a claim on the memory for bodies, and releases it.

    If the client wants the connection closed, an early answer is sent after the rest of
    the body, which is dropped. The library closes such a connection at once, and with
    input left unread that is a reset, by which the client often loses the answer.

    Parameters
    ----------
    app : ASGI application
        The application inside.
    """

    __slots__ = ("_app",)

    def __init__(self, app) -> None:
        self._app = app

    async def __call__(self, scope, receive, send) -> None:
        """Run the application with a claim in the scope."""
        claim = scope["app"].state.bodies.claim()
        scope[CLAIM_KEY] = claim
        body = _Incoming(receive)
        headers = scope["headers"]
        is_waiting = (b"connection", b"close") in headers and not any(
            name == b"expect" for name, _ in headers
        )

        async def send_after_body(message) -> None:
            is_start = message["type"] == "http.response.start"
            if is_waiting and is_start and message["status"] >= FIRST_ERROR_STATUS:
                claim.release()
                await body.skip()
            await send(message)

        try:
            await self._app(scope, body.receive, send_after_body)
        finally:
            claim.release()


class _Incoming:
    """The body of a request on its way to the application."""

    __slots__ = ("_is_complete", "_receive")

    def __init__(self, receive) -> None:
        self._receive = receive
        self._is_complete = False

    async def receive(self):
        """Return the next message."""
        message = await self._receive()
        if not message.get("more_body", False):
            self._is_complete = True
        return message

    async def skip(self) -> None:
        """Read and drop the rest of the body, for a limited time."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REST_TIMEOUT_S):
                while not self._is_complete:
                    await self.receive()
