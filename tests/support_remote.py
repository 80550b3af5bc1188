"""A server on loopback that stands for the platform or one of its workers."""

import unittest
from datetime import timedelta

import msgspec
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from redwingslip.http import HttpLimits, HttpServer, build_app
from tests.support_odd import with_deep_field


class Remote:
    """A server that gives a fixed answer and keeps the last call."""

    def __init__(self):
        self.answer = Response(status_code=200)
        self.path = self.body = self.headers = None

    async def handle(self, req):
        self.path = str(req.url.path)
        body = await req.body()
        self.body = msgspec.json.decode(body) if body else None
        self.headers = req.headers
        return self.answer


class RemoteWorker(Remote):
    """A worker, one incarnation after the other at one address.

    Attributes
    ----------
    born : int
        Start time of the present incarnation.
    lists : Response or None
        Answer to a hold; one without runs by default.
    orders : list
        Paths of the calls, with the incarnation that received each.
    cursors : list of int
        Cursors of the holds.
    """

    def __init__(self):
        super().__init__()
        self.born = 1
        self.lists = None
        self.orders = []
        self.cursors = []

    async def handle(self, req):
        answer = await super().handle(req)
        self.orders.append((self.path, self.born))
        if self.path != "/hold":
            return answer
        self.cursors.append(self.body["ackCursor"])
        return self.lists or JSONResponse({"clockMs": 1, "born": self.born})


def deep_response(doc, status=200):
    """Return a response that is nested more deeply than a decoder follows."""
    body = with_deep_field(msgspec.json.encode(doc))
    return Response(body, status, media_type="application/json")


class RemoteTestCase(unittest.IsolatedAsyncioTestCase):
    """A test with a remote server on loopback."""

    new_remote = Remote

    async def asyncSetUp(self):
        self.remote = self.new_remote()
        await self.start_server()

    async def start_server(self, port=0):
        """Start the remote server."""
        route = Route("/{path:path}", self.remote.handle, methods=["GET", "POST"])
        self.server = HttpServer(build_app([route]), HttpLimits(), port=port)
        await self.server.start()

    async def asyncTearDown(self):
        await self.client.close()
        await self.server.stop(timedelta(0))

    def reply(self, doc, status=200):
        self.remote.answer = JSONResponse(doc, status_code=status)

    def reply_deeply(self, doc, status=200):
        """Answer with a document that is nested more deeply than a decoder follows."""
        self.remote.answer = deep_response(doc, status)
