"""Read a process's memory, processor time and socket traffic from the kernel.

Bytes and segments come from ``struct tcp_info``, which is read over a netlink socket.
The measurement changes neither the measured process nor its connections.
"""

import os
import socket
import struct
from pathlib import Path

__all__ = ["Counters", "Sample", "TcpTotals", "read_memory_kb", "sample"]

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
UTIME_FIELD = 11
STIME_FIELD = 12

NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLMSG_DONE = 3
NLM_F_REQUEST_DUMP = 0x301
INET_DIAG_INFO = 2
TCP_ESTABLISHED = 1
NLMSG_HEADER_BYTES = 16
RECEIVE_BUFFER_BYTES = 1 << 20
PORTS_OFFSET = 4
INODE_OFFSET = 68
DIAG_MESSAGE_BYTES = 72
BYTES_ACKED_OFFSET = 120
DATA_SEGMENTS_OFFSET = 152


class TcpTotals:
    """Payload bytes and data segments of some connections since they were opened."""

    __slots__ = (
        "n_bytes_received",
        "n_bytes_sent",
        "n_segments_received",
        "n_segments_sent",
    )

    def __init__(self) -> None:
        self.n_bytes_sent = 0
        self.n_bytes_received = 0
        self.n_segments_sent = 0
        self.n_segments_received = 0

    def minus(self, earlier: "TcpTotals") -> "TcpTotals":
        """Return the difference from an earlier reading."""
        difference = TcpTotals()
        for name in self.__slots__:
            setattr(difference, name, getattr(self, name) - getattr(earlier, name))
        return difference


class Sample:
    """One reading of a process's counters.

    Attributes
    ----------
    cpu_s : float
        Processor time in user and system mode, in seconds.
    links : TcpTotals
        Traffic on the connections between the system's processes.
    http : TcpTotals
        Traffic on all other connections.
    """

    __slots__ = ("cpu_s", "http", "links")

    def __init__(self, cpu_s: float, links: TcpTotals, http: TcpTotals) -> None:
        self.cpu_s = cpu_s
        self.links = links
        self.http = http


class Counters:
    """Rates of a process's resource usage between two readings."""

    __slots__ = ("cpu_percent", "http", "links", "seconds")

    def __init__(self, begin: Sample, end: Sample, seconds: float) -> None:
        self.seconds = seconds
        self.cpu_percent = 100 * (end.cpu_s - begin.cpu_s) / seconds
        self.links = end.links.minus(begin.links)
        self.http = end.http.minus(begin.http)

    @property
    def link_bytes_out(self) -> float:
        """Return payload bytes a second sent to other processes of the system."""
        return self.links.n_bytes_sent / self.seconds

    @property
    def link_bytes_in(self) -> float:
        """Return payload bytes a second received from other processes of the system."""
        return self.links.n_bytes_received / self.seconds

    @property
    def link_segments(self) -> float:
        """Return data segments a second on the links, in both directions."""
        return (
            self.links.n_segments_sent + self.links.n_segments_received
        ) / self.seconds

    @property
    def http_bytes(self) -> float:
        """Return payload bytes a second on HTTP, in both directions."""
        return (self.http.n_bytes_sent + self.http.n_bytes_received) / self.seconds


def read_memory_kb(pid: int) -> tuple[int, int]:
    """Return the resident memory of a process and its anonymous part, in kB."""
    values = {}
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        values[name] = value
    return int(values["VmRSS"].split()[0]), int(values["RssAnon"].split()[0])


def sample(pids: list[int], link_ports: frozenset[int]) -> dict[int, Sample]:
    """Read the counters of processes.

    A connection that uses one of `link_ports` counts as a link, any other as HTTP.
    """
    connections = _read_connections()
    return {pid: _sample_process(pid, link_ports, connections) for pid in pids}


def _sample_process(pid: int, link_ports: frozenset[int], connections: dict) -> Sample:
    links = TcpTotals()
    http = TcpTotals()
    for inode in _socket_inodes(pid):
        if inode not in connections:
            continue
        ports, counts = connections[inode]
        _add_to_totals(links if link_ports & ports else http, counts)
    return Sample(_cpu_s(pid), links, http)


def _add_to_totals(totals: TcpTotals, counts: tuple[int, int, int, int]) -> None:
    totals.n_bytes_sent += counts[0]
    totals.n_bytes_received += counts[1]
    totals.n_segments_received += counts[2]
    totals.n_segments_sent += counts[3]


def _cpu_s(pid: int) -> float:
    text = Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])) / TICKS_PER_SECOND


def _socket_inodes(pid: int) -> list[int]:
    inodes = []
    for path in Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = os.readlink(path)
        except FileNotFoundError:
            continue
        if target.startswith("socket:["):
            inodes.append(int(target[len("socket:[") : -1]))
    return inodes


def _read_connections() -> dict[int, tuple[frozenset[int], tuple[int, int, int, int]]]:
    """Return the ports and counters of each established IPv4 connection by inode.

    The counters are bytes acknowledged, bytes received, data segments received and
    data segments sent.
    """
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as sock:
        extensions = 1 << (INET_DIAG_INFO - 1)
        states = 1 << TCP_ESTABLISHED
        request = struct.pack(
            "=BBBBI48x", socket.AF_INET, socket.IPPROTO_TCP, extensions, 0, states
        )
        header = struct.pack(
            "=IHHII",
            NLMSG_HEADER_BYTES + len(request),
            SOCK_DIAG_BY_FAMILY,
            NLM_F_REQUEST_DUMP,
            1,
            0,
        )
        sock.send(header + request)
        connections: dict = {}
        while _parse_datagram(sock.recv(RECEIVE_BUFFER_BYTES), connections):
            pass
        return connections


def _parse_datagram(data: bytes, connections: dict) -> bool:
    """Add the connections of one datagram; return whether more follow."""
    offset = 0
    while offset < len(data):
        length, kind = struct.unpack_from("=IH", data, offset)
        if kind != SOCK_DIAG_BY_FAMILY:
            if kind != NLMSG_DONE:
                raise OSError(
                    "the kernel answered the netlink request without socket information"
                )
            return False
        message = data[offset + NLMSG_HEADER_BYTES : offset + length]
        ports = frozenset(struct.unpack_from("!HH", message, PORTS_OFFSET))
        inode = struct.unpack_from("=I", message, INODE_OFFSET)[0]
        info = _find_info(message)
        if info:
            acked = struct.unpack_from("=QQ", info, BYTES_ACKED_OFFSET)
            segments = struct.unpack_from("=II", info, DATA_SEGMENTS_OFFSET)
            connections[inode] = ports, acked + segments
        offset += _align_to_4(length)
    return True


def _find_info(message: bytes) -> bytes:
    """Return the ``tcp_info`` attribute of a message, empty when it has none."""
    offset = DIAG_MESSAGE_BYTES
    while offset < len(message):
        length, kind = struct.unpack_from("=HH", message, offset)
        if kind == INET_DIAG_INFO:
            return message[offset + 4 : offset + length]
        offset += _align_to_4(length)
    return b""


def _align_to_4(length: int) -> int:
    return (length + 3) & ~3
