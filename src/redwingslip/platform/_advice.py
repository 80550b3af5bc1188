"""The platform's service that knows which workers may run a step."""

from datetime import timedelta

import msgspec

from ..http import ClientLimits, ClientPool, ClientRequest, HttpError
from ..scheduling import Advice, OrderOutcomeUnknownError

__all__ = ["AdviceClient"]

# A call takes a fixed time and some more for each worker (platform contract).
CALL_TIMEOUT = timedelta(seconds=4)


class _AskDoc(msgspec.Struct, frozen=True):
    step: str
    workers: tuple[str, ...]


class _AdviceDoc(msgspec.Struct, frozen=True, rename="camel"):
    # Rows of a worker's id and its ticket.
    good: tuple[tuple[str, str], ...]
    validity_ms: int = 0


class AdviceClient:
    """Asks the service; see `redwingslip.scheduling.Adviser`.

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
        """Return which of some VMs may run a step; see `OrderOutcomeUnknownError`."""
        name = ".".join(str(part) for part in step)
        req = ClientRequest(
            address=self._address,
            method="POST",
            path="/advise",
            headers={"Content-Type": "application/json"},
            body=msgspec.json.encode(_AskDoc(name, vm_ids)),
            timeout=CALL_TIMEOUT,
        )
        try:
            answer = await self._pool.exchange(req)
            if answer.status != 200:
                raise OrderOutcomeUnknownError(
                    f"the advice service answers {answer.status}"
                )
            doc = msgspec.json.decode(answer.body, type=_AdviceDoc)
        except (HttpError, msgspec.DecodeError) as exc:
            raise OrderOutcomeUnknownError(f"no advice on {name}: {exc}") from exc
        return Advice(
            tickets=dict(doc.good), validity=timedelta(milliseconds=doc.validity_ms)
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._pool.close()
