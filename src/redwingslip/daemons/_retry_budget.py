"""The budget of retries."""

__all__ = ["RetryBudget"]

MIN_RETRY_TOKENS = 10.0
MAX_RETRY_TOKENS = 100.0


class RetryBudget:
    """Bounds retries to a part of all requests.

    Parameters
    ----------
    part : float
        Retries for each request.
    """

    __slots__ = ("_part", "_tokens")

    def __init__(self, part: float) -> None:
        self._part = part
        self._tokens = MIN_RETRY_TOKENS

    def add_request(self) -> None:
        """Count a request."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + self._part)

    def take(self) -> bool:
        """Return whether one more retry is within the budget, and count it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
