"""Limits of the HTTP servers and clients."""

from datetime import timedelta

import msgspec

__all__ = ["ClientLimits", "HttpLimits", "TlsFiles"]


class HttpLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a server accepts from the other side.

    Attributes
    ----------
    max_header_bytes : int
        How much of a request head is waited for; one that comes whole in a single
        read may be longer.
    max_body_bytes : int
        Longest request body.
    max_total_body_bytes : int
        Bodies of callers' requests that are read or run, all together.
    header_timeout : timedelta
        Longest wait for a whole request head on a new connection.
    body_timeout : timedelta
        Longest wait for a whole request body, and for a peer to read on when it has
        stopped reading its answer.
    idle_timeout : timedelta
        How long an idle connection is kept.
    drain_time : timedelta
        How long a stopping server still takes requests, each answered with
        ``Connection: close``, while the balancer turns away from it.
    max_connections_per_peer : int
        Connections from one IP number; more are closed at once.
    max_connections : int
        Connections from all sides together.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    max_total_body_bytes: int = 268_435_456
    header_timeout: timedelta = timedelta(seconds=10)
    body_timeout: timedelta = timedelta(seconds=30)
    idle_timeout: timedelta = timedelta(seconds=30)
    drain_time: timedelta = timedelta(0)
    max_connections_per_peer: int = 1_000
    max_connections: int = 4_000


class ClientLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a client grants the other side.

    Attributes
    ----------
    connect_timeout : timedelta
        Longest wait for a new connection.
    idle_timeout : timedelta
        How long an idle connection is kept for reuse.
    max_idle_per_peer : int
        Idle connections kept to one address.
    max_answer_bytes : int
        Longest answer body.
    """

    connect_timeout: timedelta = timedelta(seconds=1)
    idle_timeout: timedelta = timedelta(seconds=15)
    max_idle_per_peer: int = 64
    max_answer_bytes: int = 16_777_216


class TlsFiles(msgspec.Struct, frozen=True, kw_only=True):
    """Paths of a certificate, its key and the authority of the other sides.

    Attributes
    ----------
    ca : str
        Authority that clients' certificates must come from; empty asks for none.
    """

    certificate: str
    key: str
    ca: str = ""
