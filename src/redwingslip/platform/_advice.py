"""Client of the platform's advice service, which knows the workers that suit a step."""

import contextlib
from collections.abc import Iterable, Iterator
from datetime import timedelta

import msgspec

from ..decoding import UndecodableError, Whole, decode_document, decode_page
from ..http import ClientLimits, ClientPool, ClientRequest, HttpError
from ..scheduling import Advice, OrderOutcomeUnknownError

__all__ = ["AdviceClient"]

# By the platform's contract a call takes a fixed time plus some time per worker.
CALL_TIMEOUT = timedelta(seconds=4)


class _AskDoc(msgspec.Struct, frozen=True):
    step: str
    workers: tuple[str, ...]


class _AdviceDoc(msgspec.Struct, frozen=True, rename="camel"):
    # Workers that may run the step, each as a row of its id and its ticket. They are
    # decoded one by one, so that an odd row leaves the others.
    good: tuple[msgspec.Raw, ...]
    validity_ms: Whole = 0


_DECODER = msgspec.json.Decoder(_AdviceDoc)
_ROW_DECODER = msgspec.json.Decoder(tuple[str, str])


class AdviceClient:
    """Implements `redwingslip.scheduling.Adviser` over HTTP.

    Parameters
    ----------
    address : str
        ``host:port`` of the service.
    """

    __slots__ = ("_address", "_pool")

    def __init__(self, address: str) -> None:
        self._address = address
        self._pool = ClientPool(ClientLimits(connect_timeout=timedelta(seconds=1)))

    async def request_advice(
        self, step: tuple[str, int, int], vm_ids: tuple[str, ...]
    ) -> Advice:
        """Return which of the given VMs may run a step.

        Rows that can't be decoded are left out. `OrderOutcomeUnknownError` is raised
        if the service gave no advice.
        """
        step_id = ".".join(str(part) for part in step)
        req = ClientRequest(
            address=self._address,
            method="POST",
            path="/advise",
            headers={"Content-Type": "application/json"},
            body=msgspec.json.encode(_AskDoc(step_id, vm_ids)),
            timeout=CALL_TIMEOUT,
        )
        try:
            answer = await self._pool.exchange(req)
            if answer.status != 200:
                raise OrderOutcomeUnknownError(
                    f"the advice service answered {answer.status}"
                )
            doc = await decode_page(_DECODER, answer.body)
        except (HttpError, UndecodableError) as exc:
            raise OrderOutcomeUnknownError(
                f"advice on {step_id} was not received: {exc}"
            ) from exc
        return Advice(
            tickets=dict(_decode_rows(doc.good)),
            validity=timedelta(milliseconds=doc.validity_ms),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.close()


def _decode_rows(rows: Iterable[msgspec.Raw]) -> Iterator[tuple[str, str]]:
    """Yield the rows that can be decoded."""
    for row in rows:
        with contextlib.suppress(UndecodableError):
            yield decode_document(_ROW_DECODER, bytes(row))
