"""The outcomes of the operators' writes, kept for their resends."""

from collections.abc import Callable, Iterable
from hashlib import blake2b

import msgspec

from ._commands import DeleteResource, PutResource
from ._outcomes import Invalid, Outcome

__all__ = ["Operation", "OperationTable"]

N_OPERATIONS_KEPT = 10_000
DIGEST_BYTES = 8

_ENCODER = msgspec.msgpack.Encoder()


class Operation(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """The outcome of an operator's write.

    Attributes
    ----------
    digest : bytes
        Tells the write from another one under the same id.
    """

    operation_id: str
    digest: bytes
    outcome: Outcome


class OperationTable:
    """The latest writes that carried an operation id."""

    __slots__ = ("_operations",)

    def __init__(self) -> None:
        self._operations: dict[str, Operation] = {}

    def once(
        self, command: PutResource | DeleteResource, write: Callable[[], Outcome]
    ) -> Outcome:
        """Return the first outcome of a write, doing it if it is new."""
        operation_id = command.operation_id
        if not operation_id:
            return write()
        digest = blake2b(_ENCODER.encode(command), digest_size=DIGEST_BYTES).digest()
        known = self._operations.get(operation_id)
        if known is None:
            return self._keep(operation_id, digest, write())
        if known.digest != digest:
            reason = "the id belongs to another write"
            return Invalid(field="operation_id", reason=reason)
        return known.outcome

    def _keep(self, operation_id: str, digest: bytes, outcome: Outcome) -> Outcome:
        self._operations[operation_id] = Operation(
            operation_id=operation_id, digest=digest, outcome=outcome
        )
        if len(self._operations) > N_OPERATIONS_KEPT:
            del self._operations[next(iter(self._operations))]
        return outcome

    def snapshot(self) -> tuple[Operation, ...]:
        """Return the operations, the oldest first."""
        return tuple(self._operations.values())

    def restore(self, operations: Iterable[Operation]) -> None:
        """Replace everything by a snapshot."""
        self._operations = {op.operation_id: op for op in operations}
