"""Compare the time of an endpoint call with bare asyncio streams and with aiosonic.

All cases run in one process against the same server. They are interleaved over several
rounds, so that other load on the machine affects all of them and their ratios hold.
"""

import argparse
import asyncio
import statistics
import time
from datetime import timedelta

import aiosonic

from redwingslip.endpoints import EndpointCall, EndpointClient, format_call_headers
from redwingslip.http import ClientLimits
from redwingslip.peers import Permit

BODY = b"x" * 200
CONCURRENCIES = (1, 16, 128)
TIMEOUT = timedelta(seconds=30)


class AnswerProtocol(asyncio.Protocol):
    """Answers each request once its head and a body as long as `BODY` have arrived."""

    def __init__(self) -> None:
        self.buffer = b""

    def connection_made(self, transport) -> None:
        """Store the transport for the answers."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer once a whole request has arrived."""
        self.buffer += data
        head, end, body = self.buffer.partition(b"\r\n\r\n")
        if not end or len(body) < len(BODY):
            return
        self.buffer = body[len(BODY) :]
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY)
        self.transport.write(head + BODY)


def make_call(address: str) -> EndpointCall:
    """Return an endpoint call with the body `BODY`."""
    permit = Permit(
        permit_id="p1",
        request_id="r1",
        pool="a",
        epoch=1,
        endpoint_id="e1",
        incarnation="i1",
        address=address,
        fencing_token=1,
        start_by=TIMEOUT,
        start_within=TIMEOUT,
        lease=TIMEOUT,
    )
    return EndpointCall(
        permit=permit,
        path="/run",
        team="t",
        content_type="text/plain",
        body=BODY,
        timeout=TIMEOUT,
    )


class BareStreamCase:
    """The baseline: persistent asyncio streams without an HTTP library or checks."""

    def __init__(self, address: str) -> None:
        self._host, _, self._port = address.partition(":")
        lines = [
            f"{key}: {val}"
            for key, val in format_call_headers(make_call(address)).items()
        ]
        head = ["POST /run HTTP/1.1", f"Host: {address}", *lines]
        head.append(f"Content-Length: {len(BODY)}")
        self._idle: list[tuple] = []
        self._request = "\r\n".join([*head, "", ""]).encode() + BODY

    async def send_calls(self, n_calls: int) -> None:
        """Send calls one after another on one connection."""
        if not self._idle:
            pair = await asyncio.open_connection(self._host, int(self._port))
            self._idle.append(pair)
        reader, writer = self._idle.pop()
        for _ in range(n_calls):
            writer.write(self._request)
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.partition(b"Content-Length: ")[2].partition(b"\r")[0])
            await reader.readexactly(length)
        self._idle.append((reader, writer))


class SharedAiosonicCase:
    """One aiosonic client for all workers; after a timeout, answers may be mixed up."""

    def __init__(self, address: str, concurrency: int) -> None:
        pool = aiosonic.pools.PoolConfig(size=concurrency)
        connector = aiosonic.TCPConnector(pool_configs={":default": pool})
        self._client = aiosonic.HTTPClient(connector=connector)
        self._url = f"http://{address}/run"
        self._headers = format_call_headers(make_call(address))

    async def send_calls(self, n_calls: int) -> None:
        """Send calls one after another."""
        for _ in range(n_calls):
            async with asyncio.timeout(30):
                res = await self._client.post(
                    self._url, headers=dict(self._headers), data=BODY
                )
                await res.content()


class EndpointClientCase:
    """The project's own endpoint client."""

    def __init__(self, address: str) -> None:
        self._client = EndpointClient(ClientLimits(max_idle_per_peer=128))
        self._call = make_call(address)

    async def send_calls(self, n_calls: int) -> None:
        """Send calls one after another."""
        for _ in range(n_calls):
            await self._client.call(self._call)


async def time_case(client, concurrency: int, n_calls: int) -> float:
    """Return the elapsed seconds divided by the number of calls."""
    share = max(1, n_calls // concurrency)
    await asyncio.gather(*(client.send_calls(1) for _ in range(concurrency)))
    start = time.perf_counter()
    await asyncio.gather(*(client.send_calls(share) for _ in range(concurrency)))
    return (time.perf_counter() - start) / (share * concurrency)


async def measure(n_calls: int, n_rounds: int) -> None:
    """Print the median times of all cases for each concurrency."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(AnswerProtocol, "127.0.0.1", 0, backlog=1_024)
    port = server.sockets[0].getsockname()[1]
    address = f"127.0.0.1:{port}"
    print("concurrency  streams_ms  shared_ms  safe_ms  safe/streams  safe/shared")
    for concurrency in CONCURRENCIES:
        clients = {
            "streams": BareStreamCase(address),
            "shared": SharedAiosonicCase(address, concurrency),
            "safe": EndpointClientCase(address),
        }
        times: dict[str, list[float]] = {name: [] for name in clients}
        for _ in range(n_rounds):
            for name, client in clients.items():
                seconds = await time_case(client, concurrency, n_calls)
                times[name].append(seconds * 1e3)
        streams, shared, safe = (statistics.median(times[name]) for name in clients)
        print(
            f"{concurrency:11d}  {streams:10.3f}  {shared:9.3f}  {safe:7.3f}"
            f"  {safe / streams:12.2f}  {safe / shared:11.2f}"
        )
    server.close()


def main() -> None:
    """Run the measurement with the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=2_000)
    parser.add_argument("--rounds", type=int, default=5)
    args = parser.parse_args()
    asyncio.run(measure(args.calls, args.rounds))


if __name__ == "__main__":
    main()
