"""HTTP servers and clients with limits, and problem documents."""

from ._addresses import is_address
from ._app import build_app
from ._bodies import (
    FieldError,
    decode_json,
    read_body,
    request_claim,
    strict_convert,
)
from ._body_budget import BodyBudget, BodyClaim, BodyRank, RefusalCause
from ._client import ClientAnswer, ClientPool, ClientRequest, Identify
from ._connections import NO_LIBRARY_TIMEOUTS, BoundedConnection
from ._limits import ClientLimits, HttpLimits, TlsFiles
from ._machine_memory import machine_memory_bytes
from ._problems import (
    NOT_RUN,
    PROBLEM_TYPE,
    UNKNOWN,
    Problem,
    problem_response,
    unauthorized_response,
)
from ._server import HttpServer
from ._server_memory import CONNECTION_BYTES, ServerMemory
from .exceptions import (
    AnswerLostError,
    BodyRefusedError,
    BodyTooLargeError,
    HttpError,
    NotConnectedError,
    WrongPeerError,
)

__all__ = [
    "AnswerLostError",
    "BodyBudget",
    "BodyClaim",
    "BodyRank",
    "BodyRefusedError",
    "BodyTooLargeError",
    "BoundedConnection",
    "CONNECTION_BYTES",
    "ClientAnswer",
    "ClientLimits",
    "ClientPool",
    "ClientRequest",
    "FieldError",
    "HttpError",
    "HttpLimits",
    "HttpServer",
    "Identify",
    "NOT_RUN",
    "NO_LIBRARY_TIMEOUTS",
    "NotConnectedError",
    "PROBLEM_TYPE",
    "Problem",
    "RefusalCause",
    "ServerMemory",
    "TlsFiles",
    "UNKNOWN",
    "WrongPeerError",
    "build_app",
    "decode_json",
    "is_address",
    "machine_memory_bytes",
    "problem_response",
    "read_body",
    "request_claim",
    "strict_convert",
    "unauthorized_response",
]
