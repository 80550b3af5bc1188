"""Recorded outcomes of writes by operators, which make resent writes idempotent."""

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
    """The recorded outcome of a write by an operator.

    Attributes
    ----------
    operation_id : str
        The id that the operator's client chose for the write.
    digest : bytes
        Hash of the write, which detects another write under the same id.
    outcome : Outcome
        The outcome when the write was first applied.
    """

    operation_id: str
    digest: bytes
    outcome: Outcome


class OperationTable:
    """The most recent writes that carried an operation id."""

    __slots__ = ("_operations",)

    def __init__(self) -> None:
        self._operations: dict[str, Operation] = {}

    def run_once(
        self, command: PutResource | DeleteResource, apply_write: Callable[[], Outcome]
    ) -> Outcome:
        """Apply a write unless its operation id is known; return its first outcome."""
        operation_id = command.operation_id
        if not operation_id:
            return apply_write()
        digest = blake2b(_ENCODER.encode(command), digest_size=DIGEST_BYTES).digest()
        known = self._operations.get(operation_id)
        if known is None:
            return self._record(operation_id, digest, apply_write())
        if known.digest != digest:
            reason = "the id belongs to another write"
            return Invalid(field="operation_id", reason=reason)
        return known.outcome

    def _record(self, operation_id: str, digest: bytes, outcome: Outcome) -> Outcome:
        self._operations[operation_id] = Operation(
            operation_id=operation_id, digest=digest, outcome=outcome
        )
        if len(self._operations) > N_OPERATIONS_KEPT:
            del self._operations[next(iter(self._operations))]
        return outcome

    def snapshot(self) -> tuple[Operation, ...]:
        """Return the operations, oldest first."""
        return tuple(self._operations.values())

    def restore(self, operations: Iterable[Operation]) -> None:
        """Replace all operations with those of a snapshot."""
        self._operations = {op.operation_id: op for op in operations}
