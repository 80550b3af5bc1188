"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

import asyncio
import json

READ_LIMIT = 1 << 22


class Reply:
    """An HTTP answer; `status` is 0 if no complete answer was received."""

    def __init__(self, status, body=b""):
        self.status = status
        self.body = body

    @property
    def doc(self):
        """Return the JSON body, an empty dict if there is none."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def call(address, method, path, body=None, *, headers=(), timeout=3.0):
    """Send one request on a new connection and return the reply."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else json.dumps(body).encode()
            head = {
                "Host": address,
                "Content-Type": "application/json",
                "Content-Length": str(len(data)),
                "Connection": "close",
                **dict(headers),
            }
            text = f"{method} {path} HTTP/1.1\r\n"
            text += "".join(f"{name}: {value}\r\n" for name, value in head.items())
            writer.write(text.encode() + b"\r\n" + data)
            first, headers = await _read_head(reader)
            size = int(headers.get("content-length", 0))
            return Reply(int(first.split()[1]), await reader.readexactly(size))
    except (OSError, TimeoutError, EOFError, ValueError, IndexError):
        return Reply(0)
    finally:
        if writer is not None:
            writer.close()


class Server:
    """Serves `handle(method, path, headers, doc) -> (status, doc)` at an address."""

    def __init__(self, address, handle):
        self.address = address
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=READ_LIMIT
        )

    def abort(self):
        """Stop to listen, and reset every connection, as when a process is killed."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                method, path, _ = first.split(" ", 2)
                size = int(headers.get("content-length", 0))
                data = await reader.readexactly(size)
                doc = json.loads(data) if data else {}
                status, answer = await self._handle(method, path, headers, doc)
                body = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (status, len(body), body)
                )
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
