"""The memory of the calls that a leader answers."""

from ..decoding import decoded_bytes
from ..http import BodyBudget, BodyClaim, BodyRank, BodyRefusedError, RefusalCause
from ..peers import CallSource, RelayedCall

__all__ = ["CallClaim", "claim_call"]


class CallClaim:
    """The memory of one call: its encoded body, and what decoding adds.

    Handlers keep what they decoded while they wait for a commit. A list of short texts
    takes ten times its encoded size.
    """

    __slots__ = ("_claims",)

    def __init__(self, *claims: BodyClaim) -> None:
        self._claims = claims

    def release(self) -> None:
        """Free the memory."""
        for claim in self._claims:
            claim.release()


def claim_call(bodies: BodyBudget, call: RelayedCall, *, is_own: bool) -> CallClaim:
    """Return a claim that holds the memory of a call until it is released.

    What decoding adds counts as at most what a body of the largest size leaves of an
    empty budget, so that a single body of any size is accepted.

    Parameters
    ----------
    bodies : BodyBudget
        Budget of the process.
    call : RelayedCall
        The call.
    is_own : bool
        Whether the server of this process has received the call, and has counted its
        encoded body.

    Raises
    ------
    BodyRefusedError
        There is no memory for the body.
    """
    is_caller = call.source not in (CallSource.CONTROL, CallSource.OPERATORS)
    encoded = bodies.claim(
        BodyRank.RELAYED_FOR_CALLER if is_caller else BodyRank.DIRECT
    )
    decoded = bodies.claim(
        BodyRank.RELAYED_FOR_CALLER if is_caller else BodyRank.DECODED_DIRECT
    )
    n_bytes = len(call.body)
    n_added = min(decoded_bytes(call.body) - n_bytes, bodies.max_large_bytes - n_bytes)
    claim = CallClaim(encoded, decoded)
    try:
        if not is_own:
            encoded.reserve(n_bytes, RefusalCause.RELAYED_BODY)
        decoded.reserve(max(0, n_added), RefusalCause.DECODED_BODY)
    except BodyRefusedError:
        claim.release()
        raise
    return claim
