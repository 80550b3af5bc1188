"""Limits of the HTTP servers and clients."""

from datetime import timedelta
from typing import Annotated

import msgspec

__all__ = ["ClientLimits", "HttpLimits", "TlsFiles"]


class HttpLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a server on its clients.

    Attributes
    ----------
    max_header_bytes : int
        Largest request head that is buffered while it is incomplete. A head that
        arrives completely in a single read may be longer.
    max_body_bytes : int
        Largest request body.
    max_total_body_bytes : int or None
        Limit of the total size of all bodies that the process holds: requests that are
        being read or run, and answers that are not read. None stands for an eighth of
        the machine's memory, at least two bodies of the largest size and at most 256
        MiB. A quarter of it is reserved for bodies of up to 512 KiB.
    max_connection_bytes : int or None
        Limit of the memory of all connections. Each counts as 64 KiB, with TLS as 384
        KiB. None stands for a quarter of the machine's memory.
    header_timeout : timedelta
        Longest wait for a complete request head, from the start of the connection or
        from the first bytes of a later head.
    body_timeout : timedelta
        Longest wait for a complete request body. It is also the longest time for which
        a peer may stop reading its answer.
    body_stall : timedelta
        A body that grows by less than 16 KiB for this long is dropped when another one
        needs its memory.
    idle_timeout : timedelta
        How long an idle connection is kept.
    drain_time : timedelta
        How long a stopping server still accepts requests, each answered with
        ``Connection: close``, so that the load balancer can stop sending to it.
    max_connections_per_peer : int
        Connections from one IP address; further ones are closed immediately.
    max_connections : int
        Connections from all peers to all servers of the process. Beyond it, idle
        connections, and those with a stalled body, are closed for new ones. If there is
        none, an address with less than an equal share takes one from the address that
        has most; otherwise the new one is closed.
    """

    max_header_bytes: Annotated[int, msgspec.Meta(ge=1)] = 16_384
    max_body_bytes: Annotated[int, msgspec.Meta(ge=1)] = 4_194_304
    max_total_body_bytes: int | None = None
    max_connection_bytes: int | None = None
    header_timeout: timedelta = timedelta(seconds=10)
    body_timeout: timedelta = timedelta(seconds=30)
    body_stall: timedelta = timedelta(seconds=1)
    idle_timeout: timedelta = timedelta(seconds=30)
    drain_time: timedelta = timedelta(0)
    max_connections_per_peer: Annotated[int, msgspec.Meta(ge=1)] = 1_000
    max_connections: Annotated[int, msgspec.Meta(ge=1)] = 4_000


class ClientLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a client on its servers.

    Attributes
    ----------
    connect_timeout : timedelta
        Longest wait for a new connection.
    idle_timeout : timedelta
        How long an idle connection is kept for reuse.
    max_idle_per_peer : int
        Idle connections that are kept per address.
    max_answer_bytes : int
        Largest answer body.
    max_total_answer_bytes : int
        Limit of the bytes of all answers that are being received; answers of up to
        64 KiB are received beyond it.
    """

    connect_timeout: timedelta = timedelta(seconds=1)
    idle_timeout: timedelta = timedelta(seconds=15)
    max_idle_per_peer: int = 64
    max_answer_bytes: int = 16_777_216
    max_total_answer_bytes: int = 268_435_456


class TlsFiles(msgspec.Struct, frozen=True, kw_only=True):
    """Paths of a server's certificate, its key and the clients' authority.

    Attributes
    ----------
    ca : str
        Certificate authority that must have signed the clients' certificates; empty if
        clients need no certificate.
    """

    certificate: str
    key: str
    ca: str = ""
