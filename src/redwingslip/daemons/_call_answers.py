"""Answers of the leader to relayed calls."""

import asyncio
from collections.abc import Callable

import msgspec

from .. import control, platform, submitters
from ..peers import CallSource, RelayedAnswer, RelayedCall
from ..relay import final_answer
from ..scheduling import JobService
from ._fleet_app import FIRST_ERROR_STATUS

__all__ = ["CallAnswers"]

_ERROR_ANSWERS = {
    CallSource.SUBMITTERS: submitters.error_answer,
    CallSource.OPERATORS: control.error_answer,
}
_RULES_OUT_EARLIER = {
    CallSource.SUBMITTERS: submitters.rules_out_earlier,
    CallSource.OPERATORS: control.rules_out_earlier,
}


REFUSED_STATUS = 503


class _Handling:
    """An attempt that is being handled on behalf of a term's service."""

    __slots__ = ("fut", "service")

    def __init__(self, service: JobService) -> None:
        self.service = service
        self.fut: asyncio.Future[RelayedAnswer] = (
            asyncio.get_running_loop().create_future()
        )


class CallAnswers:
    """Has relayed calls answered, each by the interface on which it was received.

    A call may arrive in several attempts. An attempt joins an earlier one that is in
    progress. Whether an earlier one took effect is looked up before a repeated call is
    handled, since the plan may have changed so that it would be refused.

    Parameters
    ----------
    own_address : str
        Address to which endpoints should send their next reports.
    on_fault : callable
        Called with a call and the exception that ended it.
    """

    __slots__ = ("_in_progress", "_on_fault", "_own_address")

    def __init__(
        self, *, own_address: str, on_fault: Callable[[RelayedCall, Exception], None]
    ) -> None:
        self._own_address = own_address
        self._on_fault = on_fault
        self._in_progress: dict[int, _Handling] = {}

    async def answer(self, service: JobService, call: RelayedCall) -> RelayedAnswer:
        """Return the answer of the leader's service to an attempt of a call."""
        if not call.call_id:
            return await self._handle(service, call)
        while (earlier := self._in_progress.get(call.call_id)) is not None:
            await asyncio.wait([earlier.fut])
            if earlier.service is service and not earlier.fut.cancelled():
                return msgspec.structs.replace(earlier.fut.result(), number=call.number)
        handling = self._in_progress[call.call_id] = _Handling(service)
        try:
            answer = await self._handle(service, call)
            handling.fut.set_result(answer)
        finally:
            del self._in_progress[call.call_id]
            handling.fut.cancel()
        return answer

    async def _handle(self, service: JobService, call: RelayedCall) -> RelayedAnswer:
        is_final = not call.is_repeated
        if call.is_repeated:
            earlier = _find_earlier_answer(service, call)
            if earlier is not None:
                return final_answer(earlier)
            rules_out = _RULES_OUT_EARLIER.get(call.source, platform.rules_out_earlier)
            is_final = rules_out(service, call)
        try:
            answer = await self._call_interface(service, call)
        except Exception as exc:
            # An internal error must not leave the caller without an answer.
            self._on_fault(call, exc)
            answer_error = _ERROR_ANSWERS.get(call.source, platform.error_answer)
            answer = answer_error(call, exc)
        if answer.status == REFUSED_STATUS and not service.is_leading():
            # The next leader may accept it.
            return RelayedAnswer(number=call.number, is_taken=False)
        is_success = answer.status < FIRST_ERROR_STATUS
        return final_answer(answer) if is_final or is_success else answer

    async def _call_interface(
        self, service: JobService, call: RelayedCall
    ) -> RelayedAnswer:
        match call.source:
            case CallSource.SUBMITTERS:
                return await submitters.answer_submitter(service, call)
            case CallSource.OPERATORS:
                return await control.answer_operator(service, call)
        return await platform.answer_call(service, call, own_address=self._own_address)


def _find_earlier_answer(
    service: JobService, call: RelayedCall
) -> RelayedAnswer | None:
    match call.source:
        case CallSource.SUBMITTERS:
            return submitters.find_earlier_answer(service, call)
        case CallSource.OPERATORS:
            return None
    return platform.find_earlier_answer(service, call)
