"""A token bucket that limits retries."""

__all__ = ["RetryBudget"]

INITIAL_RETRY_TOKENS = 10.0
MAX_RETRY_TOKENS = 100.0


class RetryBudget:
    """Limits the number of retries in proportion to that of requests.

    Parameters
    ----------
    retries_per_request : float
        Retries that each request adds to the budget.
    """

    __slots__ = ("_retries_per_request", "_tokens")

    def __init__(self, retries_per_request: float) -> None:
        self._retries_per_request = retries_per_request
        self._tokens = INITIAL_RETRY_TOKENS

    def add_request(self) -> None:
        """Count a request, which adds to the budget."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + self._retries_per_request)

    def try_spend(self) -> bool:
        """Return whether the budget permits one more retry, and count that retry."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
