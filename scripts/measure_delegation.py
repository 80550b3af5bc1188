"""Measure what a start and a poll of a VM cost the leader, with and without delegates.

The leader, its delegates and the stand-ins of the VMs run in three processes, which are
connected by real links and HTTP on the loopback. The stand-ins answer at once.
"""

import argparse
import asyncio
import json
import random
import subprocess
import sys
import time

from redwingslip.clock import SystemClock
from redwingslip.consensus import ConsensusSettings
from redwingslip.delegation import DelegatedOrders, DelegationSettings, OrderDelegate
from redwingslip.jobs import ActiveRun, TaskKey, VmRecord
from redwingslip.observe import NullSink
from redwingslip.peers import (
    DelegateLeaseRequest,
    Message,
    OrderBatch,
    OrderReplies,
    PeerHub,
    PeerSettings,
)
from redwingslip.platform import WorkerClient
from redwingslip.scheduling import OrderNotSentError, OrderOutcomeUnknownError

N_VMS = (50, 350, 700)
N_DELEGATES = (0, 2, 4)
LEADER_ID = "leader"
SECRET = "secret"
FENCE = 1
BORN_MS = 1
PAYLOAD = "x" * 200
LEASE_END_MS = 10**9
JOIN_TIMEOUT_S = 10.0
CLOCK = SystemClock()


class StandinProtocol(asyncio.Protocol):
    """Answers polls and starts, each once its body has arrived."""

    def __init__(self) -> None:
        self.buffer = b""
        self.body = json.dumps({"clockMs": 1, "born": BORN_MS}).encode()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport for the answers."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer the requests that have arrived."""
        self.buffer += data
        while True:
            head, end, rest = self.buffer.partition(b"\r\n\r\n")
            lowered = head.lower()
            length = lowered.partition(b"content-length:")[2].partition(b"\r")[0]
            if not end or len(rest) < int(length or 0):
                return
            self.buffer = rest[int(length or 0) :]
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.body)
            self.transport.write(answer + self.body)


async def serve_standins() -> None:
    """Serve the stand-ins of all VMs, and print their port."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(StandinProtocol, "127.0.0.1", 0, backlog=4_096)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


def new_hub(process_id: str, on_message) -> PeerHub:
    """Return the links of a process."""
    return PeerHub(
        process_id=process_id,
        address="127.0.0.1:0",
        secret=SECRET,
        cfg=PeerSettings(),
        clock=CLOCK,
        on_message=on_message,
        events=NullSink(),
    )


async def serve_delegates(n_delegates: int, leader_address: str) -> None:
    """Run delegates of a leader until cancelled."""
    async with asyncio.TaskGroup() as group:
        for number in range(n_delegates):
            group.create_task(serve_delegate(f"delegate-{number}", leader_address))


async def serve_delegate(process_id: str, leader_address: str) -> None:
    """Run one delegate."""

    def on_message(sender_id: str, msg: Message) -> None:
        if isinstance(msg, OrderBatch):
            delegate.receive_orders(sender_id, msg)
        else:
            delegate.receive_lease(sender_id, msg)

    hub = new_hub(process_id, on_message)
    delegate = OrderDelegate(
        own_id=process_id,
        orders=WorkerClient(),
        leader_id=lambda: LEADER_ID,
        current_term=lambda: FENCE,
        send=hub.send,
        clock=CLOCK,
        cfg=DelegationSettings(),
    )
    await hub.start()
    hub.set_address(LEADER_ID, leader_address)
    await delegate.run()


class Leader:
    """A leader that starts a run on each VM and polls it, round after round."""

    def __init__(self, n_delegates: int, rng: random.Random) -> None:
        self.n_delegates = n_delegates
        self.n_failures = 0
        self._rng = rng
        self._hub = new_hub(LEADER_ID, self._on_message)
        self._own = WorkerClient()
        self._has_joined = asyncio.Event()
        self._joined: set[str] = set()
        self._orders = DelegatedOrders(
            own_id=LEADER_ID,
            own=self._own,
            fence=FENCE,
            lease_remaining=lambda: ConsensusSettings().lease_duration,
            n_delegates=lambda: n_delegates,
            send=self._hub.send,
            clock=CLOCK,
            events=NullSink(),
            cfg=DelegationSettings(),
        )

    def _on_message(self, sender_id: str, msg: Message) -> None:
        if isinstance(msg, DelegateLeaseRequest):
            self._orders.receive_request(sender_id, msg)
            if msg.fence == FENCE:
                self._joined.add(sender_id)
            if len(self._joined) >= self.n_delegates:
                self._has_joined.set()
        elif isinstance(msg, OrderReplies):
            self._orders.receive_replies(sender_id, msg)

    async def start(self) -> str:
        """Start to listen and return the address."""
        await self._hub.start()
        self._orders.begin()
        return self._hub.address

    async def wait_joined(self) -> None:
        """Wait until all delegates have joined."""
        if self.n_delegates:
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                await self._has_joined.wait()

    async def stop(self) -> None:
        """Close the links and connections."""
        self._orders.close()
        await self._hub.stop()
        await self._own.close()

    async def run_round(self, vms: list[VmRecord]) -> int:
        """Start a run on each VM, then poll it; return the number of failures."""
        results = await asyncio.gather(*(self._start_and_poll(vm) for vm in vms))
        return results.count(False)

    async def _start_and_poll(self, vm: VmRecord) -> bool:
        key = TaskKey(f"{self._rng.getrandbits(64):016x}", 0, 0, 0)
        run = ActiveRun(key, 1, vm.vm_id, vm.born_ms, "", 0)
        try:
            await self._orders.start(
                vm,
                run,
                payload=PAYLOAD,
                ticket="",
                fence=FENCE,
                until_ms=LEASE_END_MS,
            )
            await self._orders.hold(
                vm, fence=FENCE, cursor=0, until_ms=LEASE_END_MS, wait_ms=0
            )
        except (OrderNotSentError, OrderOutcomeUnknownError):
            return False
        return True


def start_process(*args: object) -> subprocess.Popen:
    """Start this script in another process."""
    command = [sys.executable, "-m", "scripts.measure_delegation"]
    return subprocess.Popen(
        [*command, *(str(arg) for arg in args)], stdout=subprocess.PIPE, text=True
    )


async def measure(n_vms: int, n_delegates: int, args: argparse.Namespace) -> str:
    """Return the row of the table for one case."""
    processes = [start_process("--standins")]
    leader = Leader(n_delegates, random.Random(args.seed))
    try:
        port = int(processes[0].stdout.readline())
        address = await leader.start()
        if n_delegates:
            options = ("--delegates", n_delegates, "--leader", address)
            processes.append(start_process(*options))
        await leader.wait_joined()
        vms = [
            VmRecord(vm_id=f"v{n}", born_ms=BORN_MS, address=f"127.0.0.1:{port}")
            for n in range(n_vms)
        ]
        # The first round opens the connections.
        await leader.run_round(vms)
        n_calls = n_failures = 0
        began_at, cpu_s = time.perf_counter(), time.process_time()
        while time.perf_counter() - began_at < args.seconds:
            n_failures += await leader.run_round(vms)
            n_calls += n_vms
        elapsed_s = time.perf_counter() - began_at
        cpu_s = time.process_time() - cpu_s
    finally:
        await leader.stop()
        for process in processes:
            process.terminate()
            process.communicate()
    return (
        f"{n_vms:4}  {n_delegates:9}  {n_calls / elapsed_s:8.0f}"
        f"  {cpu_s / n_calls * 1e6:16.0f}  {cpu_s / elapsed_s:5.2f}  {n_failures:8}"
    )


def main() -> None:
    """Run the measurement and print the table, or run one of the other processes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--standins", action="store_true", help="serve stand-ins")
    parser.add_argument("--delegates", type=int, help="run this many delegates")
    parser.add_argument("--leader", help="address of the leader of the delegates")
    args = parser.parse_args()
    if args.standins:
        asyncio.run(serve_standins())
    elif args.delegates:
        asyncio.run(serve_delegates(args.delegates, args.leader))
    else:
        print(" VMs  delegates  starts/s  leader us a pair  cores  failures")
        for n_vms in N_VMS:
            for n_delegates in N_DELEGATES:
                row = asyncio.run(measure(n_vms, n_delegates, args))
                print(row, flush=True)


if __name__ == "__main__":
    main()
