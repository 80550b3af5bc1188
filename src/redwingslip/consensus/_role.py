"""The Raft role of a replica and its allowed transitions."""

from transitions import Machine

__all__ = ["CANDIDATE", "FOLLOWER", "LEADER", "PRE_CANDIDATE", "Role"]

FOLLOWER = "follower"
PRE_CANDIDATE = "pre-candidate"
CANDIDATE = "candidate"
LEADER = "leader"

_TRANSITIONS = [
    {
        "trigger": "start_pre_vote",
        "source": [FOLLOWER, PRE_CANDIDATE, CANDIDATE],
        "dest": PRE_CANDIDATE,
    },
    {
        "trigger": "start_election",
        "source": [FOLLOWER, PRE_CANDIDATE],
        "dest": CANDIDATE,
    },
    {"trigger": "win_election", "source": CANDIDATE, "dest": LEADER},
    {"trigger": "follow", "source": "*", "dest": FOLLOWER},
]


class Role:
    """The Raft role of a replica, with one method per transition.

    Attributes
    ----------
    state : str
        The current role, one of the module's constants.
    """

    def __init__(self) -> None:
        Machine(
            model=self,
            states=[FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER],
            transitions=_TRANSITIONS,
            initial=FOLLOWER,
            auto_transitions=False,
        )
