"""A network path that a partition can hold up, as a TCP proxy."""

import asyncio


class Path:
    """Forwards connections; while `is_cut`, nothing passes in either direction.

    Bytes that were sent on an open connection during the cut are delivered after it,
    unless their sender has reset the connection. A connection that was opened during
    the cut never reaches the other side.
    """

    def __init__(self, address, target):
        self.address = address
        self.target = target
        self.is_cut = False
        self.held = b""
        self._healed = asyncio.Event()
        self._healed.set()
        self._server = None
        self._tasks = set()

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def cut(self):
        self.is_cut = True
        self.held = b""
        self._healed.clear()

    def heal(self):
        self.is_cut = False
        self._healed.set()

    def close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        if self.is_cut:
            await self._healed.wait()
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, is_noted=True),
                self._pump(far_reader, writer),
            )
        except OSError:
            pass
        finally:
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pump(self, reader, writer, *, is_noted=False):
        """Copy bytes to the end of input; a reset drops what is held up."""
        while True:
            data = await reader.read(65_536)
            if self.is_cut and is_noted:
                self.held += data
            await self._healed.wait()
            if reader.exception() is not None:
                raise reader.exception()
            if not data:
                writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
