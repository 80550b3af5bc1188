"""The memory for the answers that a client is receiving."""

from aiosonic.exceptions import HttpParsingError

from ._limits import ClientLimits

__all__ = ["AnswerBudget", "AnswerClaim"]

# Answers of up to this size are received whatever the others take.
SMALL_ANSWER_BYTES = 64 << 10


class AnswerBudget:
    """Limits the bytes of all answers that are being received, and of each.

    Parameters
    ----------
    cfg : ClientLimits
        The limits.

    Attributes
    ----------
    n_bytes : int
        Bytes that all claims hold.
    """

    __slots__ = ("_cfg", "n_bytes")

    def __init__(self, cfg: ClientLimits) -> None:
        self._cfg = cfg
        self.n_bytes = 0

    def claim(self) -> "AnswerClaim":
        """Return a claim for the answers on one connection."""
        return AnswerClaim(self, self._cfg)


class AnswerClaim:
    """The bytes of the answer that a connection is receiving."""

    __slots__ = ("_budget", "_cfg", "n_bytes")

    def __init__(self, budget: AnswerBudget, cfg: ClientLimits) -> None:
        self._budget = budget
        self._cfg = cfg
        self.n_bytes = 0

    def add(self, n_bytes: int) -> None:
        """Count bytes that are about to be received.

        Raises
        ------
        HttpParsingError
            The answer is too long, or there is no memory for it.
        """
        self.n_bytes += n_bytes
        self._budget.n_bytes += n_bytes
        if self.n_bytes > self._cfg.max_answer_bytes:
            raise HttpParsingError("the answer is longer than the limit")
        is_full = self._budget.n_bytes > self._cfg.max_total_answer_bytes
        if is_full and self.n_bytes > SMALL_ANSWER_BYTES:
            raise HttpParsingError("the answers take more memory than they may")

    def release(self) -> None:
        """Free the memory of an answer that was used or given up."""
        self._budget.n_bytes -= self.n_bytes
        self.n_bytes = 0
