"""Water-filling: the even division of a whole number up to requested counts."""

from collections.abc import Mapping

__all__ = ["water_fill"]


def water_fill(total: int, requested: Mapping[str, int]) -> dict[str, int]:
    """Divide `total` as evenly as possible without exceeding any requested count.

    A remainder that can't be divided evenly goes, one unit each, to the first names in
    the order of the mapping.

    Parameters
    ----------
    total : int
        The count to divide.
    requested : mapping of str to int
        Requested count by name.

    Returns
    -------
    dict of str to int
        Share by name. The shares add up to the smaller of `total` and the sum of all
        requested counts.
    """
    shares = dict.fromkeys(requested, 0)
    remaining = total
    unsatisfied = [name for name, count in requested.items() if count > 0]
    while remaining > 0 and unsatisfied:
        even_share = max(remaining // len(unsatisfied), 1)
        for name in unsatisfied:
            added = min(even_share, requested[name] - shares[name], remaining)
            shares[name] += added
            remaining -= added
        unsatisfied = [name for name in unsatisfied if shares[name] < requested[name]]
    return shares
