"""Dividing a whole number among wishes as evenly as they allow."""

from collections.abc import Mapping

__all__ = ["water_fill"]


def water_fill(total: int, wishes: Mapping[str, int]) -> dict[str, int]:
    """Divide `total` among wishes: none gets more than its wish, the rest is even.

    What does not divide goes by one each to the first in the mapping's order.

    Parameters
    ----------
    total : int
        What there is.
    wishes : mapping
        What each asks for.

    Returns
    -------
    dict
        What each gets; the sum is the smaller of `total` and all wishes.
    """
    got = dict.fromkeys(wishes, 0)
    left = total
    open_names = [name for name, wish in wishes.items() if wish > 0]
    while left > 0 and open_names:
        part = max(left // len(open_names), 1)
        for name in open_names:
            given = min(part, wishes[name] - got[name], left)
            got[name] += given
            left -= given
        open_names = [name for name in open_names if got[name] < wishes[name]]
    return got
