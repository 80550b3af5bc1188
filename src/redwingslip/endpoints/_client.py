"""The client that calls endpoints."""

import msgspec

from ..decoding import UndecodableError, decode_document
from ..http import (
    NOT_RUN,
    PROBLEM_TYPE,
    AnswerLostError,
    ClientAnswer,
    ClientLimits,
    ClientPool,
    ClientRequest,
    NotConnectedError,
    Problem,
)
from ._calls import EndpointAnswer, EndpointCall
from ._headers import PERMIT, format_call_headers
from .exceptions import (
    EndpointOutcomeUnknownError,
    EndpointRefusedError,
    EndpointUnreachableError,
)

__all__ = ["EndpointClient"]

DEFAULT_CONTENT_TYPE = "application/octet-stream"

REFUSAL_STATUSES = frozenset({409, 412, 503})

_PROBLEM_DECODER = msgspec.json.Decoder(Problem)


class EndpointClient:
    """Calls endpoints, and sends each call at most once.

    Parameters
    ----------
    cfg : ClientLimits
        Limits on waits, idle connections and the size of answers.
    """

    __slots__ = ("_pool",)

    def __init__(self, cfg: ClientLimits) -> None:
        self._pool = ClientPool(cfg)

    async def call(self, call: EndpointCall) -> EndpointAnswer:
        """Send a call and return its complete answer.

        Raises
        ------
        EndpointUnreachableError
            Nothing was sent: the work did not run.
        EndpointRefusedError
            The endpoint refused the call before running it: the work did not run.
        EndpointOutcomeUnknownError
            The call was sent, and no complete answer to it arrived: the work may have
            run.
        """
        req = ClientRequest(
            address=call.permit.address,
            method="POST",
            path=call.path,
            headers=format_call_headers(call),
            body=call.body,
            timeout=call.timeout,
        )
        try:
            answer = await self._pool.exchange(req)
        except NotConnectedError as exc:
            raise EndpointUnreachableError(str(exc)) from exc
        except AnswerLostError as exc:
            raise EndpointOutcomeUnknownError(str(exc)) from exc
        _check_answer(call, answer)
        return EndpointAnswer(
            status=answer.status,
            content_type=answer.headers.get("content-type", DEFAULT_CONTENT_TYPE),
            body=answer.body,
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.close()


def _check_answer(call: EndpointCall, answer: ClientAnswer) -> None:
    """Raise if the answer belongs to another call, or is a refusal."""
    permit_id = answer.headers.get(PERMIT.lower(), call.permit.permit_id)
    if permit_id != call.permit.permit_id:
        raise EndpointOutcomeUnknownError(
            "the answer of the endpoint names the permit of another call"
        )
    if answer.status not in REFUSAL_STATUSES:
        return
    media_type = answer.headers.get("content-type", "").partition(";")[0].strip()
    if media_type != PROBLEM_TYPE:
        return
    try:
        problem = decode_document(_PROBLEM_DECODER, answer.body)
    except UndecodableError:
        return
    if problem.outcome == NOT_RUN:
        raise EndpointRefusedError(problem.detail or problem.title)
